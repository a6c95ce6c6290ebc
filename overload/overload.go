// Package overload tells when more is asked for than the cell's owner can order, or
// than its workers have room for, and which jobs are rejected then.
//
// Usage, by the owner:
//
//	var g overload.Gauge
//	g.Looked(now, bound)  // after each look for starts: whether it left tasks for want of its own means
//	g.Started()           // for each start
//	if b := g.Backlog(now); b != nil { // it doesn't keep up
//		b.Add(priority, tasks)  // for each step that waits
//	}
//	priority, full := overload.Full(late, whole) // for each pool; into Backlog.Full
//	// tell the other instances
//
// and where jobs are handed in:
//
//	lag := b.Lag(priority)
//	if overload.Rejects(lag, tasks, rand.Float64()) || lasting && !b.HasRoom(service, priority) {
//		return fault.New(fault.Overloaded, "...").After(overload.RetryAfter(lag, rand.Float64()))
//	}
//
// What goes wrong without it: an owner with little of a processor orders 400 to 500
// starts a second of 600 that are asked for. All jobs are accepted, and those that
// come last wait behind a backlog that grows by a third of a second each second;
// they are late, and some aren't begun when everything else is over. It shows as
// tasks that wait beside workers with room, and looks that end because enough
// starts are without an answer. What can't be ordered in time is rejected at the
// door, where its caller can still do something else.
//
// The other thing that can be short is room. A lasting task holds its room for as long
// as its job lasts, and one that waits fits each hole that another leaves, also where
// an urgent one of a third of a worker doesn't. What goes wrong: some workers are
// lost, lasting tasks come to hold nearly all of the rest, and urgent ones get a
// fraction of what they ask for, until the end. It shows as urgent tasks beyond their
// objective by the thousand beside workers without any room. So lasting jobs are
// rejected while urgent ones of their pool wait for room (Full). A reserve wouldn't
// do: a lasting task that was accepted mustn't wait beside free room.
package overload

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// window is the time over which starts are counted. Answers take 80 ms under
	// load, and the rate is the mean of some windows.
	window = 250 * time.Millisecond
	// gain is the share of a new window that is believed.
	gain = 0.3
	// boundLooks is the share of a window's looks that have to end for want of the
	// owner's own means for the backlog to count as its doing. Where workers have no
	// room a look reaches the end of what waits.
	boundLooks = 0.5
	// bearableLag is the lag up to which no job is rejected: a burst that an owner
	// works off in this time costs its callers a late job or two.
	bearableLag = 1500 * time.Millisecond
	// hopelessLag is the lag from which every job is rejected: objectives are one to
	// ten seconds, for all steps of a job together.
	hopelessLag = 6 * time.Second
	// usualTasks is the size of a job for which the share of rejected ones grows evenly
	// between the two. Of larger ones more are rejected, of smaller ones fewer: to
	// reject one of 80 tasks makes room for five of 16.
	usualTasks = 32
	// leastRetry and retrySpread make callers come back one after the other, when
	// what waits has been worked off.
	leastRetry  = time.Second
	retrySpread = 2 * time.Second
	// mostLag bounds what is told where hardly anything starts.
	mostLag = 10 * time.Second
	// crowdedShare is the share of a pool's processors that urgent tasks beyond their
	// objective wait for, from which lasting jobs are rejected. Urgent jobs ask for 6%
	// of a pool in the mean, so that less is a single wide step.
	crowdedShare = 0.02
)

// RoomPatience is how long an urgent task that is beyond its objective waits for room
// before it counts in Full. A takeover, or an outage of the store, leaves many that are
// late and find room at once.
const RoomPatience = time.Second

// Gauge measures whether an owner keeps up. The zero Gauge is ready.
type Gauge struct {
	begun   time.Duration // of the window
	looks   int           // in it
	bound   int           // of those, the ones that left tasks for want of the owner's means
	starts  int
	rate    float64 // starts a second, over bound windows
	lagging bool    // the last window was bound
}

// Looked takes note of a look for starts, and of whether it left tasks because
// the owner couldn't order more.
func (g *Gauge) Looked(now time.Duration, bound bool) {
	g.roll(now)
	g.looks++
	if bound {
		g.bound++
	}
}

// Started takes note of a start.
func (g *Gauge) Started() {
	g.starts++
}

// roll ends a window that is over.
func (g *Gauge) roll(now time.Duration) {
	passed := now - g.begun
	if passed < window {
		return
	}
	g.lagging = g.looks > 0 && float64(g.bound) >= boundLooks*float64(g.looks)
	if g.lagging {
		rate := float64(g.starts) / passed.Seconds()
		if g.rate == 0 {
			g.rate = rate
		}
		g.rate += gain * (rate - g.rate)
	}
	g.begun = now
	g.looks, g.bound, g.starts = 0, 0, 0
}

// Backlog returns an empty backlog to be filled, nil while the owner keeps up.
func (g *Gauge) Backlog(now time.Duration) *Backlog {
	g.roll(now)
	if !g.lagging {
		return nil
	}
	return &Backlog{Rate: g.rate, Tasks: make(map[int]int)}
}

// Backlog is what an owner that doesn't keep up has to order, and which of its pools
// are full.
type Backlog struct {
	Rate  float64     `cbor:"1,keyasint"` // starts a second
	Tasks map[int]int `cbor:"2,keyasint"` // that wait, by priority
	// Full has the services whose pools are full, with the priority of the urgent tasks
	// that wait for room there.
	Full map[string]int `cbor:"3,keyasint,omitempty"`
}

// Full reports whether so much is waited for in a pool, by urgent tasks beyond their
// objective, that it counts as full: from which priority on lasting jobs are rejected.
// Late is what each priority waits for, whole what the pool has, in the same unit.
func Full(late map[int]int64, whole int64) (priority int, full bool) {
	sum := int64(0)
	for _, p := range slices.Sorted(maps.Keys(late)) {
		sum += late[p]
		if float64(sum) > crowdedShare*float64(whole) {
			return p, true
		}
	}
	return 0, false
}

// HasRoom reports whether a lasting job finds room in a service's pool without taking
// it from urgent ones that go before it or are its equals. It is true for a nil
// Backlog.
func (b *Backlog) HasRoom(service string, priority int) bool {
	if b == nil {
		return true
	}
	waiting, full := b.Full[service]
	return !full || priority < waiting
}

// Add counts the tasks of a step that waits.
func (b *Backlog) Add(priority, tasks int) {
	b.Tasks[priority] += tasks
}

// Lag returns how long the owner takes to order what goes before a job, or was there
// before it. It is zero for a nil Backlog.
func (b *Backlog) Lag(priority int) time.Duration {
	if b == nil {
		return 0
	}
	ahead := 0
	for p, tasks := range b.Tasks {
		if p <= priority {
			ahead += tasks
		}
	}
	if ahead == 0 {
		return 0
	}
	if b.Rate <= 0 {
		return mostLag
	}
	return min(mostLag, time.Duration(float64(ahead)/b.Rate*float64(time.Second)))
}

// Rejects reports whether a job of so many tasks is rejected by an owner that lags
// by so much. Random is from 0 to 1: the larger the lag, the more jobs are rejected,
// so that what is accepted comes as fast as it is ordered.
func Rejects(lag time.Duration, tasks int, random float64) bool {
	part := float64(lag-bearableLag) / float64(hopelessLag-bearableLag)
	if part <= 0 {
		return false
	}
	taken := math.Pow(1-min(1, part), float64(tasks)/usualTasks)
	return random >= taken
}

// RetryAfter returns when the caller of a rejected job should come back. Random is
// from 0 to 1.
func RetryAfter(lag time.Duration, random float64) time.Duration {
	return max(leastRetry, lag) + time.Duration(random*float64(retrySpread))
}
