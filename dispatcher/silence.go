package dispatcher

import (
	"sync"
	"time"
)

// silence tells a store that gives no answers from one that is slow.
//
// What goes wrong: while the store is silent, each request waits until its
// deadline and is told that its job may be on record, so that its caller may
// neither count on it nor safely send it elsewhere. It shows as answers 504 after
// nearly the whole deadline. So a request that comes while an older one has been
// without an answer for long is rejected before anything of it is sent: it has
// provably not run, and its caller knows when to come back.
type silence struct {
	mu    sync.Mutex
	next  int
	open  map[int]time.Time // writes under way, and when they began
	since time.Time         // when the first write without an answer began; zero after an answer
}

const (
	// silentAfter is how long a write may be without an answer before others are
	// rejected. A store that is fifty times slower than usual takes up to 1.1 s
	// where seven instances write (TestSlowStoreTakesJobsInTime).
	silentAfter = 1500 * time.Millisecond
	// longestRetry bounds when callers are told to come back: outages last 4 to
	// 9 s, and a caller has a few tries.
	longestRetry = 3 * time.Second
)

// begin takes note of a write, and returns its number for end.
func (s *silence) begin() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[int]time.Time)
	}
	s.next++
	s.open[s.next] = time.Now()
	return s.next
}

// end takes note of how a write ended.
func (s *silence) end(number int, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun := s.open[number]
	delete(s.open, number)
	switch {
	case answered:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = begun
	}
}

// lasts returns how long the store has been silent, zero if it isn't. While no
// write is under way the next one finds out.
func (s *silence) lasts() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) == 0 {
		return 0
	}
	if !s.since.IsZero() {
		return time.Since(s.since)
	}
	longest := time.Duration(0)
	for _, begun := range s.open {
		longest = max(longest, time.Since(begun))
	}
	if longest < silentAfter {
		return 0
	}
	return longest
}

// retryAfter returns when a caller should come back after a silence so far. The
// longer an outage has lasted, the longer it is likely to last.
func retryAfter(lasted time.Duration) time.Duration {
	return min(longestRetry, max(rejectedRetry, lasted))
}
