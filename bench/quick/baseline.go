package quick

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/balancer"
)

// retryTimeout is the timeout of each attempt of the baseline with unlimited
// retries.
const retryTimeout = 200 * time.Millisecond

// baseline is a policy to compare with: every instance sends to every worker,
// without limits and deadlines.
type baseline struct {
	fake      *fake
	listed    []int
	choose    func(p *baseline, instance int) int
	retry     bool
	nextIndex []int   // of round robin, by instance
	inFlight  [][]int // by instance and worker, with space for workers added later
}

// newBaseline returns a factory of a baseline.
func newBaseline(choose func(p *baseline, instance int) int, retry bool) policyFactory {
	return func(f *fake, _ *scenario, _ uint64) policy {
		p := &baseline{fake: f, choose: choose, retry: retry, nextIndex: make([]int, len(f.zones))}
		for range f.zones {
			p.inFlight = append(p.inFlight, make([]int, 2*len(f.workers)))
		}
		if retry {
			f.silenceTimeout = retryTimeout
		}
		p.setWorkers(allWorkers(f))
		return p
	}
}

func roundRobin(p *baseline, instance int) int {
	p.nextIndex[instance]++
	return p.listed[p.nextIndex[instance]%len(p.listed)]
}

func randomWorker(p *baseline, _ int) int {
	return p.listed[p.fake.random.IntN(len(p.listed))]
}

func leastLoaded(p *baseline, instance int) int {
	start := p.fake.random.IntN(len(p.listed))
	best := p.listed[start]
	for i := range p.listed {
		w := p.listed[(start+i)%len(p.listed)]
		if p.inFlight[instance][w] < p.inFlight[instance][best] {
			best = w
		}
	}
	return best
}

func (p *baseline) setWorkers(workers []int) {
	p.listed = slices.Clone(workers)
}

func (p *baseline) handleRequest(r *request) {
	p.send(r)
}

func (p *baseline) send(r *request) {
	a := &attempt{request: r, instance: r.instance, worker: p.choose(p, r.instance), onAnswer: p.answer}
	p.inFlight[a.instance][a.worker]++
	p.fake.send(a)
	if p.retry {
		p.fake.after(retryTimeout, func() { p.timeout(a) })
	}
}

func (p *baseline) timeout(a *attempt) {
	if !a.closed {
		p.answer(a, balancer.Lost)
	}
}

func (p *baseline) answer(a *attempt, result balancer.Result) {
	a.closed = true
	p.inFlight[a.instance][a.worker]--
	if result != balancer.OK && p.retry {
		p.send(a.request)
		return
	}
	p.fake.finish(a.request, endingOf(result))
}

// ideal is a reference with complete knowledge: a single queue in front of all
// slots, fed the same requests. A request occupies a slot for its service time
// only.
type ideal struct {
	fake    *fake
	free    int
	backlog []*request
}

func newIdeal(f *fake, _ *scenario, _ uint64) policy {
	return &ideal{fake: f, free: len(f.workers) * f.slots}
}

func (q *ideal) setWorkers([]int) {}

func (q *ideal) handleRequest(r *request) {
	if q.free == 0 {
		q.backlog = append(q.backlog, r)
		return
	}
	q.free--
	q.start(r)
}

func (q *ideal) start(r *request) {
	q.fake.after(r.serviceTime, func() {
		q.fake.after(2*sameZoneDelay, func() { q.fake.finish(r, answered) })
		if len(q.backlog) == 0 {
			q.free++
			return
		}
		next := q.backlog[0]
		q.backlog = q.backlog[1:]
		q.start(next)
	})
}
