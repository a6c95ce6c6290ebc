package relay

import (
	"sync/atomic"
	"time"
)

// gap decides how far apart the messages of a connection are, in each direction.
// What comes in between goes together with the next message.
//
// What goes wrong without one: a message costs its sender and its receiver a call
// and a wake-up, whatever it carries, and a small owner starts fewer tasks than it
// could. What goes wrong with a gap that is always as long: each end, and the start
// that follows it, wait for it, also where the owner has processors to spare. So the
// gap follows the rate of messages, held against what this instance's processors carry.
type gap struct {
	most    float64      // messages a second, sent and received
	nanos   atomic.Int64 // in force
	counted int64        // messages so far, as of the last look
	looked  time.Time
}

const (
	// messagesPerCore is how many messages a second are left to a core, sent and
	// received. The rest is for what the messages say.
	messagesPerCore = 4000
	// leastGap is below the time that an order takes to a worker and back, 3 ms.
	leastGap = time.Millisecond
	// mostGap bounds what an end and the start that follows it wait. Above it the
	// bound on starts without an answer takes over.
	mostGap = 10 * time.Millisecond
	// gapEvery is the time between two looks: bursts come within a second.
	gapEvery = 200 * time.Millisecond
	// quickestFall is the least part of a gap that one look leaves of it. It grows
	// as far as it has to at once, since an owner that is behind stays behind.
	quickestFall = 0.5
)

// newGap returns the gap of an instance with so many processors.
func newGap(processors float64) *gap {
	g := &gap{most: processors * messagesPerCore}
	g.reset()
	return g
}

// reset begins with the longest gap: a new owner has every worker to ask.
func (g *gap) reset() {
	g.nanos.Store(int64(mostGap))
}

// inForce returns the gap in force.
func (g *gap) inForce() time.Duration {
	return time.Duration(g.nanos.Load())
}

// look sets the gap by how many messages there were so far.
func (g *gap) look(now time.Time, messages int64) {
	passed := now.Sub(g.looked)
	if passed < gapEvery {
		return
	}
	rate := float64(messages-g.counted) / passed.Seconds()
	g.counted = messages
	g.looked = now
	g.nanos.Store(int64(nextGap(g.inForce(), rate, g.most)))
}

// nextGap returns the gap that follows one with which there were so many messages
// a second, where most of them are wanted. Connections that always have something
// to send have messages in inverse proportion to the gap.
func nextGap(last time.Duration, rate, most float64) time.Duration {
	next := time.Duration(float64(last) * max(rate/most, quickestFall))
	return min(max(next, leastGap), mostGap)
}
