package relay

import (
	"sync/atomic"
	"time"
)

// gap controls the least time between two messages of a connection, in each direction.
// Orders and results that arrive in between are batched into the next message.
//
// Each message costs its sender and its receiver a system call and a wake-up, whatever
// its size; without a gap a small owner starts fewer tasks than it could. A fixed gap
// would delay each end of a task, and the start that follows it, even on an owner with
// idle processors. The gap therefore follows the ratio of the message rate to the rate
// that this instance's processors can handle.
type gap struct {
	targetRate   float64      // target rate of messages per second, sent and received
	value        atomic.Int64 // gap in force
	lastCount    int64        // number of messages at the last adjustment
	lastAdjusted time.Time
}

const (
	// messagesPerCore is the target rate of messages per second and core, sent and
	// received. The rest of the core's time is for processing their contents.
	messagesPerCore = 4000
	// minGap is below the round trip of an order to a worker, 3 ms.
	minGap = time.Millisecond
	// maxGap bounds the delay of an end and of the start that follows it. With a longer
	// gap the bound on unanswered starts would limit the rate instead.
	maxGap = 10 * time.Millisecond
	// gapInterval is the time between two adjustments: bursts build up within a second.
	gapInterval = 200 * time.Millisecond
	// minGapFactor is the smallest factor by which one adjustment shrinks the gap.
	// Growth is unlimited, since an overloaded owner doesn't catch up otherwise.
	minGapFactor = 0.5
)

// newGap returns the gap for an instance with the given number of processors.
func newGap(processors float64) *gap {
	g := &gap{targetRate: processors * messagesPerCore}
	g.reset()
	return g
}

// reset sets the longest gap, as a new owner sends a hold to every worker at once.
func (g *gap) reset() {
	g.value.Store(int64(maxGap))
}

// current returns the gap in force.
func (g *gap) current() time.Duration {
	return time.Duration(g.value.Load())
}

// adjust updates the gap from the number of messages so far.
func (g *gap) adjust(now time.Time, messages int64) {
	passed := now.Sub(g.lastAdjusted)
	if passed < gapInterval {
		return
	}
	rate := float64(messages-g.lastCount) / passed.Seconds()
	g.lastCount = messages
	g.lastAdjusted = now
	g.value.Store(int64(nextGap(g.current(), rate, g.targetRate)))
}

// nextGap returns the gap to use after the last one resulted in the given message rate.
// The rate of connections that always have something to send is inversely proportional
// to the gap.
func nextGap(last time.Duration, rate, targetRate float64) time.Duration {
	next := time.Duration(float64(last) * max(rate/targetRate, minGapFactor))
	return min(max(next, minGap), maxGap)
}
