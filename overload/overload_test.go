package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/overload"
)

// owner models an owner that starts a limited number of tasks a second, first come,
// first served.
type owner struct {
	gauge     overload.Gauge
	now       time.Duration
	perSecond float64 // maximum rate of starts
	credit    float64
	waiting   []time.Duration // arrival times of the waiting tasks
	capacity  int             // tasks that fit into the workers' free capacity
	started   int
	maxWait   time.Duration // longest wait of a task
}

const passInterval = 5 * time.Millisecond

func (o *owner) submit(tasks int) {
	for range tasks {
		o.waiting = append(o.waiting, o.now)
	}
}

// schedule runs a scheduling pass.
func (o *owner) schedule() {
	o.now += passInterval
	added := o.perSecond * passInterval.Seconds()
	o.credit = min(o.credit+added, added+1)
	n := min(len(o.waiting), o.capacity, int(o.credit))
	for _, since := range o.waiting[:n] {
		o.gauge.RecordStart()
		o.maxWait = max(o.maxWait, o.now-since)
	}
	o.started += n
	o.waiting = o.waiting[n:]
	o.credit -= float64(n)
	o.capacity -= n
	o.gauge.RecordPass(o.now, len(o.waiting) > 0 && o.capacity > 0)
}

// backlog returns the backlog that the owner would write.
func (o *owner) backlog() *overload.Backlog {
	b := o.gauge.Backlog(o.now)
	if b != nil {
		b.Add(0, len(o.waiting))
	}
	return b
}

func TestLag(t *testing.T) {
	tests := []struct {
		name      string
		perSecond float64
		capacity  int
		waiting   int
		min, max  time.Duration
	}{
		{"keeps up", 3000, 1 << 20, 100, 0, 0},
		{"the owner lags", 400, 1 << 20, 2000, 3 * time.Second, 5 * time.Second},
		{"a burst", 3000, 1 << 20, 3000, 0, time.Second},
		{"workers have no free capacity", 400, 50, 2000, 0, 0},
		{"no starts", 0, 100, 100, 10 * time.Second, 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			o := owner{perSecond: test.perSecond, capacity: test.capacity}
			o.submit(test.waiting)
			for o.now < time.Second {
				o.schedule()
			}
			lag := o.backlog().Lag(0)
			is.True(lag >= test.min)
			is.True(lag <= test.max)
		})
	}
}

// TestLagByPriority checks that the lag of a job doesn't count less urgent tasks.
func TestLagByPriority(t *testing.T) {
	is := is.New(t)
	b := &overload.Backlog{Rate: 100, Tasks: make(map[int]int)}
	b.Add(1, 200)
	b.Add(2, 300)
	is.Equal(b.Lag(0), time.Duration(0))
	is.Equal(b.Lag(1), 2*time.Second)
	is.Equal(b.Lag(2), 5*time.Second)
}

func TestRejects(t *testing.T) {
	const between = 3750 * time.Millisecond // halfway between maxToleratedLag and rejectAllLag
	tests := []struct {
		name   string
		lag    time.Duration
		tasks  int
		random float64
		want   bool
	}{
		{"no lag", 0, 1000, 1, false},
		{"tolerated", 1500 * time.Millisecond, 1000, 1, false},
		{"half are accepted", between, 32, 0.49, false},
		{"half are rejected", between, 32, 0.51, true},
		{"a quarter of larger ones is accepted", between, 64, 0.26, true},
		{"a quarter of larger ones is accepted", between, 64, 0.24, false},
		{"most small ones are accepted", between, 8, 0.83, false},
		{"reject all", 6 * time.Second, 1, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(overload.Rejects(test.lag, test.tasks, test.random), test.want)
		})
	}
}

func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(overload.RetryAfter(0, 0), time.Second)
	is.Equal(overload.RetryAfter(2*time.Second, 0.5), 3*time.Second)
}

// Guards against accepted jobs that wait ten seconds and more because an overloaded owner
// accepted everything: 600 tasks a second arrive for 40 s, in jobs of 14 and of 80 tasks,
// and the owner starts 450 a second. A third of the large jobs and few small ones should
// be rejected, accepted tasks start within four seconds, and the owner is fully used. An
// owner that keeps up rejects nothing.
func TestWhatCallersGetFromASmallOwner(t *testing.T) {
	const requested = 600
	tests := []struct {
		name      string
		perSecond float64
		small     [2]float64 // minimum and maximum share of rejected jobs
		large     [2]float64
		maxWait   time.Duration
	}{
		{"small", 450, [2]float64{0.02, 0.12}, [2]float64{0.2, 0.4}, 4 * time.Second},
		{"keeps up", 700, [2]float64{}, [2]float64{}, 500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			o := owner{perSecond: test.perSecond, capacity: 1 << 30}
			written := make(map[time.Duration]*overload.Backlog) // other instances read it half a second later
			jobs, rejected := map[int]float64{}, map[int]float64{}
			next := 14
			for due := 0.0; o.now < 40*time.Second; {
				o.schedule()
				written[o.now] = o.backlog()
				lag := written[o.now-500*time.Millisecond].Lag(0)
				for due += requested * passInterval.Seconds(); due >= float64(next); next = 94 - next {
					due -= float64(next)
					jobs[next]++
					if overload.Rejects(lag, next, random.Float64()) {
						rejected[next]++
						continue
					}
					o.submit(next)
				}
			}
			small, large := rejected[14]/jobs[14], rejected[80]/jobs[80]
			t.Logf("rejected: %.2f of the small, %.2f of the large; longest wait %v", small, large, o.maxWait)
			is.True(small >= test.small[0] && small <= test.small[1])
			is.True(large >= test.large[0] && large <= test.large[1])
			is.True(o.maxWait <= test.maxWait)
			is.True(float64(o.started) >= 0.95*min(test.perSecond, requested)*o.now.Seconds())
		})
	}
}

func TestIsFull(t *testing.T) {
	const whole = 100_000
	tests := []struct {
		name     string
		late     map[int]int64
		priority int
		full     bool
	}{
		{"nothing waits", nil, 0, false},
		{"a wide step", map[int]int64{0: 2000}, 0, false},
		{"more than a wide step", map[int]int64{0: 2100}, 0, true},
		{"less urgent jobs", map[int]int64{0: 1000, 2: 3000}, 2, true},
		{"the sum of both priorities", map[int]int64{0: 1500, 2: 1500}, 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			priority, full := overload.IsFull(test.late, whole)
			is.Equal(full, test.full)
			is.Equal(priority, test.priority)
		})
	}
}

func TestAdmits(t *testing.T) {
	is := is.New(t)
	var unknown *overload.Backlog
	is.True(unknown.Admits("pool", 0))
	b := &overload.Backlog{Full: map[string]int{"pool": 1}}
	is.Equal(b.Lag(5), time.Duration(0))
	is.True(!b.Admits("pool", 1))
	is.True(!b.Admits("pool", 2))
	is.True(b.Admits("pool", 0)) // more urgent than the waiting tasks
	is.True(b.Admits("other", 1))
}
