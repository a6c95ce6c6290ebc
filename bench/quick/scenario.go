package quick

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dogwoodladder/dogwoodladder/route"
)

// Sizes of the fake.
const (
	workerCount = 65
	slotCount   = 8
	meanWork    = 40 * time.Millisecond
	workSpread  = 0.6 // sigma of the log-normal time of service
)

// Times of a run.
const (
	warmUp   = time.Second
	faultAt  = 2 * time.Second
	lateness = 5 * time.Second // after the last arrival, for late answers
)

// instanceZones are the availability zones of the entry instances.
var instanceZones = []string{"a", "a", "a", "b", "b", "c", "c"}

// workerZones are handed to workers in turn.
var workerZones = []string{"a", "b", "c"}

// part is one service's part of the load.
type part struct {
	service string
	group   string
	weight  float64
	load    float64 // of the capacity
}

// scenario is one row of the table.
type scenario struct {
	name     string
	parts    []part
	cores    int
	deadline time.Duration
	length   time.Duration
	fault    func(f *fake, p policy)
	watched  string // service whose latencies are shown; empty for all
}

// steady returns a scenario of one service without a fault.
func steady(load float64) *scenario {
	return &scenario{
		name:     fmt.Sprintf("load %.2f", load),
		parts:    []part{{service: "price", group: "yards", weight: 1, load: load}},
		cores:    slotCount,
		deadline: 10 * meanWork,
		length:   10 * time.Second,
	}
}

func (s *scenario) services() map[string]route.Service {
	services := map[string]route.Service{}
	for _, p := range s.parts {
		services[p.service] = route.Service{
			Name:    p.service,
			Group:   p.group,
			Weight:  p.weight,
			Timeout: s.deadline,
			Queue:   1000,
		}
	}
	return services
}

// capacity returns the requests a second that all workers serve.
func (s *scenario) capacity() float64 {
	return float64(workerCount*min(slotCount, s.cores)) / meanWork.Seconds()
}

// newFake returns the world of s.
func newFake(s *scenario, seed uint64) *fake {
	f := &fake{
		random: rand.New(rand.NewPCG(seed, 1)),
		zones:  instanceZones,
		slots:  slotCount,
		cores:  s.cores,
		index:  map[string]int{},
		result: newOutcome(warmUp, s.length, s.deadline),
	}
	for range workerCount {
		f.addWorker()
	}
	return f
}

func (f *fake) addWorker() *worker {
	i := len(f.workers)
	w := &worker{name: workerName(i), zone: workerZones[i%len(workerZones)], factor: 1}
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

// execute runs s under a policy. The same seed gives the same arrivals and
// work to every policy.
func (s *scenario) execute(m maker, seed uint64) *outcome {
	f := newFake(s, seed)
	p := m(f, s, seed)
	for i, part := range s.parts {
		arrivals := rand.New(rand.NewPCG(seed, uint64(2+i)))
		s.arrive(f, p, part, arrivals)
	}
	if s.fault != nil {
		f.after(faultAt, func() { s.fault(f, p) })
	}
	f.run(s.length + lateness)
	return f.result
}

// arrive plans the next request of a part, and so on until the end.
func (s *scenario) arrive(f *fake, p policy, pt part, random *rand.Rand) {
	rate := pt.load * s.capacity()
	if rate == 0 {
		return
	}
	f.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now >= s.length {
			return
		}
		r := draw(f, pt.service, random)
		f.result.arrived(r)
		f.after(callerDelay, func() { p.arrive(r) })
		s.arrive(f, p, pt, random)
	})
}

func draw(f *fake, service string, random *rand.Rand) *request {
	mu := math.Log(meanWork.Seconds()) - workSpread*workSpread/2
	work := math.Exp(mu + workSpread*random.NormFloat64())
	return &request{
		at:         f.now,
		instance:   random.IntN(len(f.zones)),
		service:    service,
		work:       time.Duration(work * float64(time.Second)),
		idempotent: random.IntN(2) == 0,
	}
}
