// Package overload detects when the cell's owner can't start tasks as fast as they
// arrive, or its workers lack free capacity, and decides which jobs are rejected then.
//
// Usage, by the owner:
//
//	var g overload.Gauge
//	g.RecordPass(now, bound) // after each scheduling pass: whether the owner's own limits left tasks waiting
//	g.RecordStart()          // for each start
//	if b := g.Backlog(now); b != nil { // the owner doesn't keep up
//		b.Add(priority, tasks)  // for each waiting step
//	}
//	priority, full := overload.IsFull(lateDemand, capacity) // for each pool; into Backlog.Full
//	// write the Backlog for the other instances
//
// for each pool, where full ones are shared by package contention:
//
//	f.RecordStart(now, origin, work)           // for each start, in core-seconds
//	changed := f.SetFull(now, lacking)         // after each scheduling pass
//	backlog.Pools[service] = f.Pool(now, work) // nil unless full
//
// and where jobs are submitted:
//
//	lag := b.Lag(priority)
//	if overload.Rejects(lag, tasks, rand.Float64()) || lasting && !b.Admits(service, priority) {
//		return fault.New(fault.Overloaded, "...").After(overload.RetryAfter(lag, rand.Float64()))
//	}
//
// An owner with a small share of a processor orders 400 to 500 starts a second where
// 600 are requested. Without admission control, all jobs are accepted and the backlog
// grows by a third of a second each second: the last jobs are late, and some aren't
// started when everything else is done. Tasks then wait although workers have free
// capacity, and scheduling passes end at the limit of unacknowledged starts.
// Jobs that can't be started in time are rejected at submission, while their callers
// can still send them elsewhere.
//
// Capacity can be short, too. A lasting task holds its capacity as long as its job
// lasts, and a waiting one fits each gap that another leaves, also where an
// urgent task of a third of a worker doesn't. So after the loss of some workers, lasting
// tasks come to hold nearly all of the rest, and urgent tasks get a fraction of their
// demand until the end: thousands of them exceed their objective while workers
// have no free capacity. So lasting jobs are rejected while urgent ones of their pool
// wait for capacity (IsFull). A reservation for urgent tasks is no alternative, since an
// accepted lasting task mustn't wait beside free capacity.
package overload

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// window is the time over which starts are counted. It spans some answers, which
	// take 80 ms under load.
	window = 250 * time.Millisecond
	// gain is the weight of a new window in the moving average of the rate.
	gain = 0.3
	// minBoundShare is the share of a window's passes that must end at the owner's own
	// limits for the owner to count as overloaded. Where only workers lack free
	// capacity, a pass reaches the end of the queue.
	minBoundShare = 0.5
	// maxToleratedLag is the lag up to which no job is rejected: a burst that an owner
	// works off in this time makes at most a job or two late.
	maxToleratedLag = 1500 * time.Millisecond
	// rejectAllLag is the lag from which every job is rejected: objectives are one to
	// ten seconds, for all steps of a job together.
	rejectAllLag = 6 * time.Second
	// referenceTasks is the number of tasks of a job whose rejection probability grows
	// linearly between the two lags. Larger jobs are rejected more often, smaller ones
	// less often: rejecting one job of 80 tasks admits five of 16.
	referenceTasks = 32
	// minRetryAfter and retrySpread spread the retries of callers over the time after the
	// backlog has been worked off.
	minRetryAfter = time.Second
	retrySpread   = 2 * time.Second
	// maxLag bounds the reported lag where hardly any task starts.
	maxLag = 10 * time.Second
	// fullShare is the share of a pool's processors above which the demand of urgent
	// tasks beyond their objective makes the pool full. Urgent jobs request 6% of a
	// pool on average, so that less may be a single wide step.
	fullShare = 0.02
)

// MinCapacityWait is how long an urgent task beyond its objective waits for free capacity
// before it counts in IsFull. After a takeover or an outage of the store many tasks are
// late but find free capacity at once.
const MinCapacityWait = time.Second

// Gauge measures whether an owner starts tasks as fast as they arrive. The zero Gauge is
// ready to use.
type Gauge struct {
	windowStart time.Duration // start of the current window
	passes      int           // scheduling passes in the window
	boundPasses int           // number of these passes that the owner's own limits ended
	starts      int           // in the window
	rate        float64       // starts a second, averaged over windows in which the owner lagged
	lagging     bool          // in the last window
}

// RecordPass counts a scheduling pass. Bound reports whether it left tasks waiting because
// the owner couldn't order more starts.
func (g *Gauge) RecordPass(now time.Duration, bound bool) {
	g.roll(now)
	g.passes++
	if bound {
		g.boundPasses++
	}
}

// RecordStart counts a start.
func (g *Gauge) RecordStart() {
	g.starts++
}

// roll evaluates the current window if it is over, and begins the next one.
func (g *Gauge) roll(now time.Duration) {
	passed := now - g.windowStart
	if passed < window {
		return
	}
	g.lagging = g.passes > 0 && float64(g.boundPasses) >= minBoundShare*float64(g.passes)
	if g.lagging {
		rate := float64(g.starts) / passed.Seconds()
		if g.rate == 0 {
			g.rate = rate
		}
		g.rate += gain * (rate - g.rate)
	}
	g.windowStart = now
	g.passes, g.boundPasses, g.starts = 0, 0, 0
}

// Backlog returns an empty backlog for the caller to fill, nil while the owner keeps up.
func (g *Gauge) Backlog(now time.Duration) *Backlog {
	g.roll(now)
	if !g.lagging {
		return nil
	}
	return &Backlog{Rate: g.rate, Tasks: make(map[int]int)}
}

// Backlog holds the waiting tasks of an owner that doesn't keep up, and its full pools.
type Backlog struct {
	Rate  float64     `cbor:"1,keyasint"` // starts a second
	Tasks map[int]int `cbor:"2,keyasint"` // waiting tasks by priority
	// Full maps the services whose pools are full to the priority of the urgent tasks
	// that wait for capacity there.
	Full map[string]int `cbor:"3,keyasint,omitempty"`
	// Pools holds the figures of the pools that are shared because some of their work finds
	// no free capacity, by service.
	Pools map[string]*Pool `cbor:"4,keyasint,omitempty"`
}

// IsFull reports whether a pool is full, and the priority from which on lasting jobs are
// rejected then. A pool is full when the demand of waiting urgent tasks beyond their
// objective exceeds fullShare of its capacity. LateDemand is that demand by priority, in
// the unit of capacity.
func IsFull(lateDemand map[int]int64, capacity int64) (priority int, full bool) {
	sum := int64(0)
	for _, p := range slices.Sorted(maps.Keys(lateDemand)) {
		sum += lateDemand[p]
		if float64(sum) > fullShare*float64(capacity) {
			return p, true
		}
	}
	return 0, false
}

// Admits reports whether a lasting job may enter a service's pool: the pool isn't full,
// or the job goes before the urgent tasks that wait there. It is true for a nil Backlog.
func (b *Backlog) Admits(service string, priority int) bool {
	if b == nil {
		return true
	}
	waiting, full := b.Full[service]
	return !full || priority < waiting
}

// Add counts the tasks of a waiting step.
func (b *Backlog) Add(priority, tasks int) {
	b.Tasks[priority] += tasks
}

// Lag returns how long the owner takes to start the waiting tasks of the same or a more
// urgent priority. It is zero for a nil Backlog.
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
		return maxLag
	}
	return min(maxLag, time.Duration(float64(ahead)/b.Rate*float64(time.Second)))
}

// Rejects reports whether to reject a job with a number of tasks at a lag of the owner.
// Random is from 0 to 1. The larger the lag, the more jobs are rejected, so that
// tasks are accepted as fast as the owner starts them.
func Rejects(lag time.Duration, tasks int, random float64) bool {
	rejectShare := float64(lag-maxToleratedLag) / float64(rejectAllLag-maxToleratedLag)
	if rejectShare <= 0 {
		return false
	}
	acceptProbability := math.Pow(1-min(1, rejectShare), float64(tasks)/referenceTasks)
	return random >= acceptProbability
}

// RetryAfter returns when the caller of a rejected job should retry. Random is
// from 0 to 1.
func RetryAfter(lag time.Duration, random float64) time.Duration {
	return max(minRetryAfter, lag) + time.Duration(random*float64(retrySpread))
}
