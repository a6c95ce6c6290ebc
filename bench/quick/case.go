package quick

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/admission"
	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/forward"
	"github.com/dogwoodladder/dogwoodladder/limit"
)

// Names that a Report compares.
const (
	systemName   = "dogwoodladder"
	idealName    = "ideal queue"
	faultLoad    = 0.8
	narrowCores  = 5
	neighbour    = 0.3 // load of the quiet group
	neighbourMax = 1.7 // load of the other group
)

// variant is a policy with its name.
type variant struct {
	name string
	make maker
}

// testCase is a scenario and the policies that are run on it.
type testCase struct {
	make     func() *scenario
	variants []variant
}

var (
	current   = variant{systemName, newSystem(settings{})}
	baselines = []variant{
		{"round robin, no limits", newPlain(roundRobin, false)},
		{"random, unlimited retries", newPlain(atRandom, true)},
		{"least loaded, no limits", newPlain(leastLoaded, false)},
	}
	central = variant{idealName, newIdeal}
)

// loads are the parts of the capacity that are offered without a fault.
var loads = []float64{0.5, 0.8, 0.95, 1.2, 2.0}

// Names of the scenarios with a fault.
const (
	slowWorkerName = "slow worker"
	dyingName      = "third dying"
	cutName        = "zone cut"
	silentName     = "silent connections"
	laggingName    = "lagging list"
)

// faultNames are the scenarios with a fault, measured at faultLoad.
var faultNames = []string{slowWorkerName, dyingName, cutName, silentName, laggingName}

var faults = map[string]func(f *fake, p policy){
	slowWorkerName: slowWorker,
	dyingName:      dyingWorkers,
	cutName:        cutOff,
	silentName:     silentConnections,
	laggingName:    laggingList,
}

func faulty(name string) func() *scenario {
	return func() *scenario {
		s := steady(faultLoad)
		s.name = name
		s.fault = faults[name]
		return s
	}
}

func cases(trials bool) []testCase {
	var all []testCase
	add := func(make func() *scenario, variants ...variant) {
		all = append(all, testCase{make, variants})
	}
	for _, l := range loads {
		add(func() *scenario { return steady(l) }, append([]variant{current, central}, baselines...)...)
	}
	for _, name := range faultNames {
		add(faulty(name), append([]variant{current}, baselines...)...)
	}
	add(func() *scenario { return neighbours(0) }, current)
	add(func() *scenario { return neighbours(neighbourMax) }, current)
	add(narrow, current, unlimited)
	if trials {
		all = append(all, weighed()...)
	}
	return all
}

// neighbours returns a scenario of a quiet group beside one of a given load.
// Its latencies are the quiet group's.
func neighbours(other float64) *scenario {
	s := steady(neighbour)
	s.name = "quiet group alone"
	if other > 0 {
		s.name = "quiet group beside overload"
	}
	s.parts = append(s.parts, part{service: "grade", group: "bureau", weight: 1, load: other})
	s.watched = s.parts[0].service
	return s
}

// narrow returns an overload of workers that slow down beyond 5 requests
// although they declare 8 slots.
func narrow() *scenario {
	s := steady(1.2)
	s.name = "5 cores behind 8 slots"
	s.cores = narrowCores
	s.length = 15 * time.Second
	return s
}

// unlimited has no adaptive limit.
var unlimited = limited("no adaptive limit", limit.WithAlgorithm(limit.Off))

// Variants that were weighed against the current policy.
var (
	gradient   = limited("gradient limit", limit.WithAlgorithm(limit.Gradient))
	aimd       = limited("AIMD limit", limit.WithAlgorithm(limit.AIMD))
	strict     = limited("AIMD limit, tolerance 1.25", limit.WithAlgorithm(limit.AIMD), limit.WithTolerance(1.25))
	fifo       = gated("FIFO, no bound on standing", admission.WithStanding(time.Hour, time.Hour))
	lifo       = gated("LIFO, no bound on standing", admission.WithStanding(time.Hour, time.Hour), admission.WithDiscipline(admission.LIFO))
	longer     = gated("standing wait 50 ms", admission.WithStanding(50*time.Millisecond, 100*time.Millisecond))
	noHeadroom = gated("no headroom", admission.WithHeadroom(0))
	two        = balanced("better of two", balancer.WithChoice(balancer.TwoChoices))
	noSlow     = balanced("slow ones stay", balancer.WithSlowFactor(0))
	half       = balanced("at most half ejected", balancer.WithEjectedPart(0.5, 0.5))
	alone      = variant{"no forwarding", newSystem(settings{alone: true})}
	stale      = variant{"free slots by heartbeat only", newSystem(settings{stale: true})}
	noAgain    = variant{"full peers not asked again", newSystem(settings{forward: []forward.Option{forward.WithAgain(0)}})}
	hedging    = variant{"hedging", newSystem(settings{hedge: true})}
)

func limited(name string, opts ...limit.Option) variant {
	return gated(name, admission.WithLimit(opts...))
}

func gated(name string, opts ...admission.Option) variant {
	return variant{name, newSystem(settings{admission: opts})}
}

func balanced(name string, opts ...balancer.Option) variant {
	return variant{name, newSystem(settings{balancer: opts})}
}

// weighed returns the cases of those variants; the current policy's rows are
// among the others.
func weighed() []testCase {
	at := func(load float64) func() *scenario {
		return func() *scenario { return steady(load) }
	}
	return []testCase{
		{at(faultLoad), []variant{alone, stale, hedging}},
		{at(0.95), []variant{alone, stale, noAgain, two, fifo, longer, unlimited}},
		{at(1.2), []variant{fifo, lifo, longer}},
		{at(2.0), []variant{fifo, lifo, longer, unlimited, gradient, aimd, strict}},
		{faulty(slowWorkerName), []variant{noSlow, hedging, two}},
		{faulty(dyingName), []variant{half, stale, unlimited, gradient, aimd, two}},
		{faulty(cutName), []variant{alone, stale}},
		{faulty(silentName), []variant{hedging, two}},
		{func() *scenario { return neighbours(neighbourMax) }, []variant{noHeadroom}},
		{narrow, []variant{gradient, aimd, strict, two}},
	}
}
