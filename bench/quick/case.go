package quick

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/admission"
	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/forward"
	"github.com/dogwoodladder/dogwoodladder/limit"
)

// Names and sizes of the compared scenarios and policies.
const (
	systemName    = "dogwoodladder"
	idealName     = "ideal queue"
	faultLoad     = 0.8
	fewCoresCount = 5
	quietLoad     = 0.3 // of the quiet group
	otherLoad     = 1.7 // of the overloading group
)

// variant is a policy with its name.
type variant struct {
	name      string
	newPolicy policyFactory
}

// testCase is a scenario and the policies to run on it.
type testCase struct {
	newScenario func() *scenario
	variants    []variant
}

var (
	current   = variant{systemName, newSystem(settings{})}
	baselines = []variant{
		{"round robin, no limits", newBaseline(roundRobin, false)},
		{"random, unlimited retries", newBaseline(randomWorker, true)},
		{"least loaded, no limits", newBaseline(leastLoaded, false)},
	}
	idealQueue = variant{idealName, newIdeal}
)

// loads are the arrival rates of the scenarios without a fault, as shares of
// the capacity.
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

func faultScenario(name string) func() *scenario {
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
		add(func() *scenario { return steady(l) }, append([]variant{current, idealQueue}, baselines...)...)
	}
	for _, name := range faultNames {
		add(faultScenario(name), append([]variant{current}, baselines...)...)
	}
	add(func() *scenario { return quietGroup(0) }, current)
	add(func() *scenario { return quietGroup(otherLoad) }, current)
	add(fewCores, current, noLimit)
	if trials {
		all = append(all, trialCases()...)
	}
	return all
}

// quietGroup returns a scenario of a group with a low load beside another group
// of a given load. It reports the latencies of the first.
func quietGroup(other float64) *scenario {
	s := steady(quietLoad)
	s.name = "quiet group alone"
	if other > 0 {
		s.name = "quiet group beside overload"
	}
	s.serviceLoads = append(s.serviceLoads, serviceLoad{service: "grade", group: "bureau", weight: 1, load: other})
	s.reportedService = s.serviceLoads[0].service
	return s
}

// fewCores returns an overload of workers that slow down above 5 concurrent
// requests although they declare 8 slots.
func fewCores() *scenario {
	s := steady(1.2)
	s.name = "5 cores behind 8 slots"
	s.cores = fewCoresCount
	s.duration = 15 * time.Second
	return s
}

// noLimit turns the adaptive limit off.
var noLimit = withLimit("no adaptive limit", limit.WithAlgorithm(limit.Off))

// Variants of the policy with settings other than the default.
var (
	gradient       = withLimit("gradient limit", limit.WithAlgorithm(limit.Gradient))
	aimd           = withLimit("AIMD limit", limit.WithAlgorithm(limit.AIMD))
	aimdStrict     = withLimit("AIMD limit, tolerance 1.25", limit.WithAlgorithm(limit.AIMD), limit.WithTolerance(1.25))
	fifo           = withAdmission("FIFO, no bound on standing", admission.WithStandingQueue(time.Hour, time.Hour))
	lifo           = withAdmission("LIFO, no bound on standing", admission.WithStandingQueue(time.Hour, time.Hour), admission.WithDiscipline(admission.LIFO))
	standing50ms   = withAdmission("standing wait 50 ms", admission.WithStandingQueue(50*time.Millisecond, 100*time.Millisecond))
	noHeadroom     = withAdmission("no headroom", admission.WithHeadroom(0))
	betterOfTwo    = withBalancer("better of two", balancer.WithChoice(balancer.TwoChoices))
	keepSlow       = withBalancer("slow ones stay", balancer.WithSlowFactor(0))
	halfEjected    = withBalancer("at most half ejected", balancer.WithMaxEjectedPart(0.5, 0.5))
	noForwarding   = variant{"no forwarding", newSystem(settings{noForwarding: true})}
	heartbeatsOnly = variant{"free slots by heartbeat only", newSystem(settings{heartbeatsOnly: true})}
	noPeerRetry    = variant{"full peers not asked again", newSystem(settings{forward: []forward.Option{forward.WithRetryInterval(0)}})}
	hedging        = variant{"hedging", newSystem(settings{hedging: true})}
)

func withLimit(name string, opts ...limit.Option) variant {
	return withAdmission(name, admission.WithLimit(opts...))
}

func withAdmission(name string, opts ...admission.Option) variant {
	return variant{name, newSystem(settings{admission: opts})}
}

func withBalancer(name string, opts ...balancer.Option) variant {
	return variant{name, newSystem(settings{balancer: opts})}
}

// trialCases returns the cases of the variants. The rows of the current policy
// to compare them with are among the ordinary cases.
func trialCases() []testCase {
	steadyAt := func(load float64) func() *scenario {
		return func() *scenario { return steady(load) }
	}
	return []testCase{
		{steadyAt(faultLoad), []variant{noForwarding, heartbeatsOnly, hedging}},
		{steadyAt(0.95), []variant{noForwarding, heartbeatsOnly, noPeerRetry, betterOfTwo, fifo, standing50ms, noLimit}},
		{steadyAt(1.2), []variant{fifo, lifo, standing50ms}},
		{steadyAt(2.0), []variant{fifo, lifo, standing50ms, noLimit, gradient, aimd, aimdStrict}},
		{faultScenario(slowWorkerName), []variant{keepSlow, hedging, betterOfTwo}},
		{faultScenario(dyingName), []variant{halfEjected, heartbeatsOnly, noLimit, gradient, aimd, betterOfTwo}},
		{faultScenario(cutName), []variant{noForwarding, heartbeatsOnly}},
		{faultScenario(silentName), []variant{hedging, betterOfTwo}},
		{func() *scenario { return quietGroup(otherLoad) }, []variant{noHeadroom}},
		{fewCores, []variant{gradient, aimd, aimdStrict, betterOfTwo}},
	}
}
