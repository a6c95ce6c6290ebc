package interference_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/interference"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

const interval = 5 * time.Second

// world feeds an estimator with reports of one service, whose latency is 10
// ms times the true factors of the tasks beside it.
type world struct {
	e      *interference.Estimator
	now    time.Time
	random *rand.Rand
	noise  float64
	load   int // requests in an interval
	truth  map[string]float64
	beside map[string][]string // running classes by worker
}

func newWorld(opts ...interference.Option) *world {
	return &world{
		e: interference.New(opts...), now: start, load: 500, noise: 0.05,
		random: rand.New(rand.NewPCG(7, 7)), truth: map[string]float64{}, beside: map[string][]string{},
	}
}

func service(id string) interference.Task {
	return interference.Task{ID: id, Class: "price", Kind: provider.KindService}
}

func batch(id, class string) interference.Task {
	return interference.Task{ID: id, Class: class, Kind: provider.KindBatch}
}

func usage(task string, at time.Time, latency time.Duration) provider.Usage {
	return provider.Usage{Task: task, Measured: at, Interval: interval, Latency: latency, Requests: 500}
}

// settle places one replica and the classes on a worker.
func (w *world) settle(worker string, classes ...string) {
	w.e.Placed(w.now, worker, service("r-"+worker))
	for _, class := range classes {
		w.e.Placed(w.now, worker, batch(worker+class, class))
	}
	w.beside[worker] = classes
}

// remove ends a class on a worker.
func (w *world) remove(worker, class string) {
	w.e.Removed(w.now, worker, worker+class)
	var rest []string
	for _, c := range w.beside[worker] {
		if c != class {
			rest = append(rest, c)
		}
	}
	w.beside[worker] = rest
}

func (w *world) latency(worker string) time.Duration {
	factor := math.Exp(w.noise * w.random.NormFloat64())
	for _, class := range w.beside[worker] {
		if f := w.truth[class]; f > 0 {
			factor *= f
		}
	}
	own := 1 + float64(w.load)/1000 // the service's own load slows it, too
	return time.Duration(factor * own * 1e7)
}

// run lets all workers report for a number of intervals without lag.
func (w *world) run(intervals int, workers ...string) {
	for range intervals {
		w.now = w.now.Add(interval)
		for _, worker := range workers {
			u := usage("r-"+worker, w.now, w.latency(worker))
			u.Requests = w.load
			w.e.Observe(w.now, worker, u)
		}
	}
}

func (w *world) slowdown(class string) float64 {
	ratio, _ := w.e.Slowdown(w.now, "price", class)
	return ratio
}

func near(got, want, by float64) bool { return math.Abs(got-want) <= by }

// Symptom: a harmless task placed after a harmful one is throttled.
// Sequence: loud runs beside the service, leaves, quiet takes its place, then
// the reports measured before arrive, 30 s late.
// Cause: attribution to who runs when a report arrives.
func TestLateReportBlamesWhoWasThere(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.truth["loud"] = 1.6
	w.settle("w1", "loud")
	w.settle("w2")
	w.run(40, "w1", "w2")
	known := w.slowdown("loud")
	is.True(near(known, 1.6, 0.1))

	var late []provider.Usage
	for range 6 {
		w.now = w.now.Add(interval)
		late = append(late, usage("r-w1", w.now, w.latency("w1")))
	}
	w.remove("w1", "loud")
	w.e.Placed(w.now, "w1", batch("q", "quiet"))
	w.now = w.now.Add(30 * time.Second)
	for _, u := range late {
		is.Equal(w.e.Observe(w.now, "w1", u), interference.Used)
	}
	is.True(near(w.slowdown("loud"), 1.6, 0.1))
	_, confidence := w.e.Slowdown(w.now, "price", "quiet")
	is.Equal(confidence, 0.0) // no report was measured beside it
}

// Symptom: tasks that start at the end of a bad interval take blame for it.
// Sequence: loud runs for 4.5 of 5 seconds and quiet for the rest, each time.
// Cause: a class counts as there whether it ran for all or a part of it.
func TestPartOfAnIntervalCountsInPart(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.truth["loud"] = 1.6
	w.settle("w2")
	for i := range 40 {
		from := w.now
		loud, quiet := batch("l"+string(rune('a'+i)), "loud"), batch("q"+string(rune('a'+i)), "quiet")
		if i == 0 {
			w.e.Placed(from, "w1", service("r-w1"))
		}
		w.e.Placed(from, "w1", loud)
		w.e.Removed(from.Add(4500*time.Millisecond), "w1", loud.ID)
		w.e.Placed(from.Add(4500*time.Millisecond), "w1", quiet)
		w.beside["w1"] = []string{"loud"}
		w.run(1, "w1", "w2")
		w.e.Removed(w.now, "w1", quiet.ID)
	}
	is.True(w.slowdown("loud") > 1.4)
	is.True(w.slowdown("quiet") < 1.15)
}

// Symptom: all neighbours look harmful at the busy time of day.
// Sequence: the service's own load doubles while harmless tasks run beside.
// Cause: its own slowdown is put on the tasks beside it.
func TestOwnLoadIsNotBlamedOnNeighbours(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.settle("w1", "quiet")
	w.settle("w2")
	w.run(40, "w1", "w2")
	w.load = 1000
	w.run(40, "w1", "w2")
	is.True(w.slowdown("quiet") < 1.05)
}

// Symptom: a service stays slow and none of its neighbours is throttled.
// Sequence: its load rises to where it never was, and at the same time loud,
// which runs beside all its replicas, begins to harm.
// Cause: the new load's baseline is unknown and takes up all of the harm.
func TestHarmAtAnUnseenLoadIsNotTheServicesOwn(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.settle("w1", "loud")
	w.settle("w2", "loud")
	w.settle("w3", "loud")
	w.run(200, "w1", "w2", "w3")
	w.load, w.truth["loud"] = 1000, 1.6
	w.run(60, "w1", "w2", "w3")
	is.True(w.slowdown("loud") > 1.1) // the rest can't be told apart while no replica is without it
}

// Symptom: a harmless class that often runs beside a harmful one is throttled.
// Sequence: both run on one worker, the harmless one alone on another.
// Cause: the sum is known there, but not who makes it up.
func TestCompanionIsCleared(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.truth["loud"] = 1.5
	w.settle("w1", "loud", "quiet")
	w.settle("w2", "quiet")
	w.settle("w3")
	w.run(60, "w1", "w2", "w3")
	is.True(near(w.slowdown("loud"), 1.5, 0.1))
	is.True(w.slowdown("quiet") < 1.05)
}

// Symptom: a throttled task's class seems harmless, and is placed everywhere.
// Sequence: loud runs at 25% and slows the service by a quarter as much.
// Cause: its effect is taken for that of a task at full speed.
func TestThrottledTaskCountsInPart(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.settle("w1", "loud")
	w.settle("w2")
	w.e.Throttled(w.now, "w1", "w1loud", 25)
	w.truth["loud"] = math.Exp(math.Log(1.8) / 4)
	w.run(150, "w1", "w2")
	is.True(near(w.slowdown("loud"), 1.8, 0.25))
}

// Symptom: one wild report has every task of a class throttled.
// Sequence: after many good reports one says a hundred times the latency.
// Cause: the estimate follows the size of a surprise without a bound.
func TestOutlierMovesLittle(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.settle("w1", "quiet")
	w.settle("w2")
	w.run(60, "w1", "w2")
	w.now = w.now.Add(interval)
	w.e.Observe(w.now, "w1", usage("r-w1", w.now, 100*w.latency("w1")))
	is.True(w.slowdown("quiet") < 1.05)
	victim := w.e.Pressure(w.now, "w1")[0]
	is.True(victim.Observed < 1.2) // a median
	is.True(victim.Level < 1.2)
}

// Symptom: a class keeps its bad name for hours after the load shifted.
// Sequence: loud harms, then its harm ends while it goes on running.
// Cause: the filter has grown so sure that new reports count for nothing.
func TestShiftIsFollowed(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.truth["loud"] = 1.6
	w.settle("w1", "loud")
	w.settle("w2")
	w.run(720, "w1", "w2")
	is.True(near(w.slowdown("loud"), 1.6, 0.1))
	w.truth["loud"] = 1
	w.run(60, "w1", "w2")
	is.True(w.slowdown("loud") < 1.15)
}

func TestUnseenPairTakesTheCulpritsName(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.truth["loud"] = 1.6
	w.settle("w1", "loud", "quiet")
	w.settle("w2", "quiet")
	w.run(60, "w1", "w2")
	loud, confidence := w.e.Slowdown(w.now, "another", "loud")
	quiet, _ := w.e.Slowdown(w.now, "another", "quiet")
	is.Equal(confidence, 0.0)
	is.True(loud > quiet+0.05)
	is.True(loud < 1.6) // drawn towards the prior
}

func TestBadReportsTouchNothing(t *testing.T) {
	cases := []struct {
		name   string
		worker string
		change func(u *provider.Usage)
		want   interference.Outcome
	}{
		{"future", "w1", func(u *provider.Usage) { u.Measured = u.Measured.Add(time.Minute) }, interference.Future},
		{"repeated", "w1", func(u *provider.Usage) { u.Measured = u.Measured.Add(-interval) }, interference.Repeated},
		{"out of order", "w1", func(u *provider.Usage) { u.Measured = u.Measured.Add(-2 * interval) }, interference.OutOfOrder},
		{"stale", "w1", func(u *provider.Usage) { u.Measured = u.Measured.Add(-time.Hour) }, interference.Stale},
		{"unknown task", "w1", func(u *provider.Usage) { u.Task = "nobody" }, interference.UnknownTask},
		{"another worker's task", "w2", func(*provider.Usage) {}, interference.UnknownTask},
		{"unknown worker", "w9", func(*provider.Usage) {}, interference.UnknownTask},
		{"negative processors", "w1", func(u *provider.Usage) { u.Used = resource.Vector{Processors: -1} }, interference.Negative},
		{"negative latency", "w1", func(u *provider.Usage) { u.Latency = -1 }, interference.Negative},
		{"negative requests", "w1", func(u *provider.Usage) { u.Requests = -1 }, interference.Negative},
		{"empty interval", "w1", func(u *provider.Usage) { u.Interval = 0 }, interference.Negative},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			w.settle("w1", "loud")
			w.settle("w2")
			w.run(10, "w1", "w2")
			w.now = w.now.Add(interval)
			before, victims := w.e.State(w.now), w.e.Pressure(w.now, "w1")
			u := usage("r-w1", w.now, time.Hour)
			c.change(&u)
			is.Equal(w.e.Observe(w.now, c.worker, u), c.want)
			after := w.e.State(w.now)
			is.Equal(after.Pairs, before.Pairs)
			is.Equal(w.e.Pressure(w.now, "w1"), victims)
			is.Equal(after.Reports[c.want.String()], uint64(1))
		})
	}
}

// Symptom: services drown on a worker that looks fine.
// Sequence: a worker's reports stop while its tasks run.
// Cause: the last reports are taken for the present.
func TestSilentWorkerIsSeen(t *testing.T) {
	is := is.New(t)
	w := newWorld(interference.WithSilence(time.Minute))
	w.settle("w1", "loud")
	w.settle("w2", "loud")
	w.run(3, "w1", "w2")
	before := w.e.Pressure(w.now, "w1")[0].Level
	w.run(13, "w2")
	is.True(w.e.Silent(w.now, "w1"))
	is.True(!w.e.Silent(w.now, "w2"))
	is.Equal(w.e.State(w.now).Silent, []string{"w1"})
	is.True(w.e.Pressure(w.now, "w1")[0].Silent)
	is.True(w.e.Pressure(w.now, "w1")[0].Level > before)
	w.run(1, "w1")
	is.True(!w.e.Silent(w.now, "w1"))
}

func TestMemoryIsBounded(t *testing.T) {
	pairs := func(s interference.State) int { return len(s.Pairs) }
	spans := func(s interference.State) int { return s.Spans }
	services := func(s interference.State) int {
		seen := map[string]bool{}
		for _, p := range s.Pairs {
			seen[p.Victim] = true
		}
		return len(seen)
	}
	cases := []struct {
		name    string
		option  interference.Option
		measure func(interference.State) int
		most    int
	}{
		{"pairs", interference.WithMaxPairs(40), pairs, 40},
		{"culprits of each service", interference.WithMaxCulprits(16), pairs, 10 * 16},
		{"services", interference.WithMaxServices(4), services, 4},
		{"spans of each worker", interference.WithMaxSpans(20), spans, 10 * 21},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(interference.WithLagBound(time.Hour), c.option)
			for i := range 1000 {
				worker, job := fmt.Sprint("w", i%10), fmt.Sprint("job", i%97)
				replica := interference.Task{ID: "r" + worker, Class: "service" + worker, Kind: provider.KindService}
				w.e.Placed(w.now, worker, replica)
				w.e.Placed(w.now, worker, batch(job, job))
				w.now = w.now.Add(interval)
				w.e.Observe(w.now, worker, usage(replica.ID, w.now, time.Millisecond))
				w.e.Removed(w.now, worker, job)
				is.True(c.measure(w.e.State(w.now)) <= c.most)
			}
		})
	}
}

func TestForgetsWorkersThatAreGone(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.settle("w1")
	w.e.Removed(w.now, "w1", "r-w1")
	w.now = w.now.Add(time.Hour)
	w.e.Placed(w.now, "last", service("r"))
	is.Equal(w.e.State(w.now).Workers, 1)
}
