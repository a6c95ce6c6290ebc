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

// simulation simulates reports of one service, whose latency is 10 ms times the true
// factors of the tasks beside it.
type simulation struct {
	e      *interference.Estimator
	now    time.Time
	random *rand.Rand
	noise  float64
	load   int // requests in an interval
	truth  map[string]float64
	beside map[string][]string // running classes by worker
}

func newSimulation(opts ...interference.Option) *simulation {
	return &simulation{
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
	return provider.Usage{Task: task, MeasuredAt: at, Interval: interval, Latency: latency, Requests: 500}
}

// placeReplica places one replica and the classes on a worker.
func (w *simulation) placeReplica(worker string, classes ...string) {
	w.e.Placed(w.now, worker, service("r-"+worker))
	for _, class := range classes {
		w.e.Placed(w.now, worker, batch(worker+class, class))
	}
	w.beside[worker] = classes
}

// remove ends a class on a worker.
func (w *simulation) remove(worker, class string) {
	w.e.Removed(w.now, worker, worker+class)
	var rest []string
	for _, c := range w.beside[worker] {
		if c != class {
			rest = append(rest, c)
		}
	}
	w.beside[worker] = rest
}

func (w *simulation) latency(worker string) time.Duration {
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
func (w *simulation) run(intervals int, workers ...string) {
	for range intervals {
		w.now = w.now.Add(interval)
		for _, worker := range workers {
			u := usage("r-"+worker, w.now, w.latency(worker))
			u.Requests = w.load
			w.e.Observe(w.now, worker, u)
		}
	}
}

func (w *simulation) slowdown(class string) float64 {
	ratio, _ := w.e.Slowdown(w.now, "price", class)
	return ratio
}

func approxEqual(got, want, by float64) bool { return math.Abs(got-want) <= by }

// Guards against the slowdown by a harmful task attributed to a harmless one that took
// its place, when the reports measured before the change arrive 30 s late.
func TestLateReportBlamesWhoWasThere(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.truth["loud"] = 1.6
	w.placeReplica("w1", "loud")
	w.placeReplica("w2")
	w.run(40, "w1", "w2")
	known := w.slowdown("loud")
	is.True(approxEqual(known, 1.6, 0.1))

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
	is.True(approxEqual(w.slowdown("loud"), 1.6, 0.1))
	_, confidence := w.e.Slowdown(w.now, "price", "quiet")
	is.Equal(confidence, 0.0) // no report was measured beside it
}

// Guards against a slowdown attributed to tasks that start at the end of an interval:
// loud runs for 4.5 of 5 seconds and quiet for the rest, so that exposures must count
// the part of the interval.
func TestPartOfAnIntervalCountsInPart(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.truth["loud"] = 1.6
	w.placeReplica("w2")
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

// Guards against harmless neighbours that get a slowdown when the service's own load
// doubles.
func TestOwnLoadIsNotBlamedOnNeighbours(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.placeReplica("w1", "quiet")
	w.placeReplica("w2")
	w.run(40, "w1", "w2")
	w.load = 1000
	w.run(40, "w1", "w2")
	is.True(w.slowdown("quiet") < 1.05)
}

// Guards against a slow service whose neighbours aren't throttled: its load rises to an
// unseen rate while loud, which runs beside all replicas, becomes harmful, and the
// baseline of the new rate absorbs all of the slowdown.
func TestHarmAtAnUnseenLoadIsNotTheServicesOwn(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.placeReplica("w1", "loud")
	w.placeReplica("w2", "loud")
	w.placeReplica("w3", "loud")
	w.run(200, "w1", "w2", "w3")
	w.load, w.truth["loud"] = 1000, 1.6
	w.run(60, "w1", "w2", "w3")
	is.True(w.slowdown("loud") > 1.1) // the rest isn't identifiable while it runs beside all replicas
}

// Guards against a slowdown attributed to a harmless class that often runs beside a
// harmful one. The worker where it runs alone must separate the two.
func TestCompanionIsCleared(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.truth["loud"] = 1.5
	w.placeReplica("w1", "loud", "quiet")
	w.placeReplica("w2", "quiet")
	w.placeReplica("w3")
	w.run(60, "w1", "w2", "w3")
	is.True(approxEqual(w.slowdown("loud"), 1.5, 0.1))
	is.True(w.slowdown("quiet") < 1.05)
}

// Guards against a harmful class that seems harmless while its task is throttled to 25%:
// the slowdown must be scaled to full speed.
func TestThrottledTaskCountsInPart(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.placeReplica("w1", "loud")
	w.placeReplica("w2")
	w.e.Throttled(w.now, "w1", "w1loud", 25)
	w.truth["loud"] = math.Exp(math.Log(1.8) / 4)
	w.run(150, "w1", "w2")
	is.True(approxEqual(w.slowdown("loud"), 1.8, 0.25))
}

// Guards against a single outlier, with a hundred times the latency, that gives a class a
// high slowdown.
func TestOutlierMovesLittle(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.placeReplica("w1", "quiet")
	w.placeReplica("w2")
	w.run(60, "w1", "w2")
	w.now = w.now.Add(interval)
	w.e.Observe(w.now, "w1", usage("r-w1", w.now, 100*w.latency("w1")))
	is.True(w.slowdown("quiet") < 1.05)
	victim := w.e.Pressure(w.now, "w1")[0]
	is.True(victim.Observed < 1.2) // a median
	is.True(victim.Level < 1.2)
}

// Guards against an estimate that no longer follows changes after many reports: loud
// is harmful for an hour and then becomes harmless.
func TestShiftIsFollowed(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.truth["loud"] = 1.6
	w.placeReplica("w1", "loud")
	w.placeReplica("w2")
	w.run(720, "w1", "w2")
	is.True(approxEqual(w.slowdown("loud"), 1.6, 0.1))
	w.truth["loud"] = 1
	w.run(60, "w1", "w2")
	is.True(w.slowdown("loud") < 1.15)
}

func TestUnseenPairUsesCulpritPrior(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.truth["loud"] = 1.6
	w.placeReplica("w1", "loud", "quiet")
	w.placeReplica("w2", "quiet")
	w.run(60, "w1", "w2")
	loud, confidence := w.e.Slowdown(w.now, "another", "loud")
	quiet, _ := w.e.Slowdown(w.now, "another", "quiet")
	is.Equal(confidence, 0.0)
	is.True(loud > quiet+0.05)
	is.True(loud < 1.6) // shrunk towards the prior
}

func TestBadReportsTouchNothing(t *testing.T) {
	cases := []struct {
		name   string
		worker string
		change func(u *provider.Usage)
		want   interference.Outcome
	}{
		{"future", "w1", func(u *provider.Usage) { u.MeasuredAt = u.MeasuredAt.Add(time.Minute) }, interference.Future},
		{"repeated", "w1", func(u *provider.Usage) { u.MeasuredAt = u.MeasuredAt.Add(-interval) }, interference.Repeated},
		{"out of order", "w1", func(u *provider.Usage) { u.MeasuredAt = u.MeasuredAt.Add(-2 * interval) }, interference.OutOfOrder},
		{"stale", "w1", func(u *provider.Usage) { u.MeasuredAt = u.MeasuredAt.Add(-time.Hour) }, interference.Stale},
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
			w := newSimulation()
			w.placeReplica("w1", "loud")
			w.placeReplica("w2")
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

// Guards against stale figures of a worker whose reports stopped while its tasks run.
func TestSilentWorkerIsSeen(t *testing.T) {
	is := is.New(t)
	w := newSimulation(interference.WithSilence(time.Minute))
	w.placeReplica("w1", "loud")
	w.placeReplica("w2", "loud")
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
		limit   int
	}{
		{"pairs", interference.WithMaxPairs(40), pairs, 40},
		{"culprits of each service", interference.WithMaxCulprits(16), pairs, 10 * 16},
		{"services", interference.WithMaxServices(4), services, 4},
		{"spans of each worker", interference.WithMaxSpans(20), spans, 10 * 21},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(interference.WithLagBound(time.Hour), c.option)
			for i := range 1000 {
				worker, job := fmt.Sprint("w", i%10), fmt.Sprint("job", i%97)
				replica := interference.Task{ID: "r" + worker, Class: "service" + worker, Kind: provider.KindService}
				w.e.Placed(w.now, worker, replica)
				w.e.Placed(w.now, worker, batch(job, job))
				w.now = w.now.Add(interval)
				w.e.Observe(w.now, worker, usage(replica.ID, w.now, time.Millisecond))
				w.e.Removed(w.now, worker, job)
				is.True(c.measure(w.e.State(w.now)) <= c.limit)
			}
		})
	}
}

func TestRemovesHistoriesOfGoneWorkers(t *testing.T) {
	is := is.New(t)
	w := newSimulation()
	w.placeReplica("w1")
	w.e.Removed(w.now, "w1", "r-w1")
	w.now = w.now.Add(time.Hour)
	w.e.Placed(w.now, "last", service("r"))
	is.Equal(w.e.State(w.now).Workers, 1)
}
