package quick

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dogwoodladder/dogwoodladder/route"
)

// Size of the simulated site.
const (
	workerCount      = 65
	slotCount        = 8
	meanServiceTime  = 40 * time.Millisecond
	serviceTimeSigma = 0.6 // sigma of the log-normal distribution
)

// Times of a run.
const (
	warmUp         = time.Second
	faultAt        = 2 * time.Second
	lateAnswerTime = 5 * time.Second // simulated after the last arrival
)

// instanceZones are the availability zones of the entry instances.
var instanceZones = []string{"a", "a", "a", "b", "b", "c", "c"}

// workerZones are assigned to workers in turn.
var workerZones = []string{"a", "b", "c"}

// serviceLoad is the load of one service.
type serviceLoad struct {
	service string
	group   string
	weight  float64
	load    float64 // arrival rate as a share of the capacity
}

// scenario is a load, optionally with a fault.
type scenario struct {
	name            string
	serviceLoads    []serviceLoad
	cores           int
	deadline        time.Duration
	duration        time.Duration
	fault           func(f *fake, p policy)
	reportedService string // service whose latencies are reported; empty for all
}

// steady returns a scenario of one service without a fault.
func steady(load float64) *scenario {
	return &scenario{
		name:         fmt.Sprintf("load %.2f", load),
		serviceLoads: []serviceLoad{{service: "price", group: "yards", weight: 1, load: load}},
		cores:        slotCount,
		deadline:     10 * meanServiceTime,
		duration:     10 * time.Second,
	}
}

func (s *scenario) services() map[string]route.Service {
	services := map[string]route.Service{}
	for _, p := range s.serviceLoads {
		services[p.service] = route.Service{
			Name:     p.service,
			Group:    p.group,
			Weight:   p.weight,
			Timeout:  s.deadline,
			MaxQueue: 1000,
		}
	}
	return services
}

// capacity returns how many requests per second all workers can serve.
func (s *scenario) capacity() float64 {
	return float64(workerCount*min(slotCount, s.cores)) / meanServiceTime.Seconds()
}

// newFake returns the simulated site of s.
func newFake(s *scenario, seed uint64) *fake {
	f := &fake{
		random:  rand.New(rand.NewPCG(seed, 1)),
		zones:   instanceZones,
		slots:   slotCount,
		cores:   s.cores,
		index:   map[string]int{},
		outcome: newOutcome(warmUp, s.duration, s.deadline),
	}
	for range workerCount {
		f.addWorker()
	}
	return f
}

func (f *fake) addWorker() *worker {
	i := len(f.workers)
	w := &worker{name: workerName(i), zone: workerZones[i%len(workerZones)], slowdown: 1}
	f.workers = append(f.workers, w)
	f.index[w.name] = i
	return w
}

func allWorkers(f *fake) []int {
	all := make([]int, len(f.workers))
	for i := range all {
		all[i] = i
	}
	return all
}

// execute runs s under a policy. For the same seed, every policy gets the same
// arrivals and service times.
func (s *scenario) execute(m policyFactory, seed uint64) *outcome {
	f := newFake(s, seed)
	p := m(f, s, seed)
	for i, load := range s.serviceLoads {
		arrivals := rand.New(rand.NewPCG(seed, uint64(2+i)))
		s.scheduleArrivals(f, p, load, arrivals)
	}
	if s.fault != nil {
		f.after(faultAt, func() { s.fault(f, p) })
	}
	f.run(s.duration + lateAnswerTime)
	return f.outcome
}

// scheduleArrivals schedules the next request of a service, which schedules
// the one after it, until the end of the scenario.
func (s *scenario) scheduleArrivals(f *fake, p policy, load serviceLoad, random *rand.Rand) {
	rate := load.load * s.capacity()
	if rate == 0 {
		return
	}
	f.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now >= s.duration {
			return
		}
		r := newRequest(f, load.service, random)
		f.outcome.addArrival(r)
		f.after(callerDelay, func() { p.handleRequest(r) })
		s.scheduleArrivals(f, p, load, random)
	})
}

func newRequest(f *fake, service string, random *rand.Rand) *request {
	mu := math.Log(meanServiceTime.Seconds()) - serviceTimeSigma*serviceTimeSigma/2
	work := math.Exp(mu + serviceTimeSigma*random.NormFloat64())
	return &request{
		arrivedAt:   f.now,
		instance:    random.IntN(len(f.zones)),
		service:     service,
		serviceTime: time.Duration(work * float64(time.Second)),
		idempotent:  random.IntN(2) == 0,
	}
}
