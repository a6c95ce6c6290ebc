package dispatcher

import (
	"sync"
	"time"
)

// outageDetector detects a store that doesn't answer writes, as opposed to a slow one.
//
// Without it each request during an outage would wait until its deadline and end with
// status 504 and the answer that its job may be on record, so that the caller can
// neither rely on the job nor safely submit it elsewhere. So while an older write has
// been unanswered for unansweredTimeout, new requests are rejected before anything is
// sent: their jobs are certain not to run, and the callers get a Retry-After.
type outageDetector struct {
	mu              sync.Mutex
	next            int
	inFlight        map[int]time.Time // start times of the writes in flight
	unansweredSince time.Time         // start of the first write that ended unanswered; zero after an answer
}

const (
	// unansweredTimeout is the age of an unanswered write from which others are rejected. A
	// store that is fifty times slower than usual takes up to 1.1 s with seven
	// instances writing (TestSlowStoreTakesJobsInTime).
	unansweredTimeout = 1500 * time.Millisecond
	// maxRetryAfter bounds the Retry-After: outages last 4 to 9 s, and a caller makes a
	// few attempts.
	maxRetryAfter = 3 * time.Second
)

// beginWrite records the start of a write and returns its number for endWrite.
func (o *outageDetector) beginWrite() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight == nil {
		o.inFlight = make(map[int]time.Time)
	}
	o.next++
	o.inFlight[o.next] = time.Now()
	return o.next
}

// endWrite records the end of a write.
func (o *outageDetector) endWrite(number int, answered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	startedAt := o.inFlight[number]
	delete(o.inFlight, number)
	switch {
	case answered:
		o.unansweredSince = time.Time{}
	case o.unansweredSince.IsZero():
		o.unansweredSince = startedAt
	}
}

// duration returns the duration of the current outage, zero if there is none. Without a
// write in flight it is zero, so that the next request probes the store.
func (o *outageDetector) duration() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.inFlight) == 0 {
		return 0
	}
	if !o.unansweredSince.IsZero() {
		return time.Since(o.unansweredSince)
	}
	longest := time.Duration(0)
	for _, startedAt := range o.inFlight {
		longest = max(longest, time.Since(startedAt))
	}
	if longest < unansweredTimeout {
		return 0
	}
	return longest
}

// retryAfter returns the Retry-After during an outage. The longer an outage has lasted,
// the longer it is likely to last.
func retryAfter(outage time.Duration) time.Duration {
	return min(maxRetryAfter, max(rejectedRetryAfter, outage))
}
