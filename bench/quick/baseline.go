package quick

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/balancer"
)

// patience is how long the unlimited retries wait for each try.
const patience = 200 * time.Millisecond

// plain is a baseline: every instance sends to every worker, without limits
// and without deadlines.
type plain struct {
	fake   *fake
	listed []int
	choose func(p *plain, instance int) int
	retry  bool
	turn   []int   // of round robin, by instance
	held   [][]int // requests in flight by instance and worker, old and new
}

// newPlain returns a maker of a baseline.
func newPlain(choose func(p *plain, instance int) int, retry bool) maker {
	return func(f *fake, _ *scenario, _ uint64) policy {
		p := &plain{fake: f, choose: choose, retry: retry, turn: make([]int, len(f.zones))}
		for range f.zones {
			p.held = append(p.held, make([]int, 2*len(f.workers)))
		}
		if retry {
			f.notice = patience
		}
		p.list(allWorkers(f))
		return p
	}
}

func roundRobin(p *plain, instance int) int {
	p.turn[instance]++
	return p.listed[p.turn[instance]%len(p.listed)]
}

func atRandom(p *plain, _ int) int {
	return p.listed[p.fake.random.IntN(len(p.listed))]
}

func leastLoaded(p *plain, instance int) int {
	start := p.fake.random.IntN(len(p.listed))
	best := p.listed[start]
	for i := range p.listed {
		w := p.listed[(start+i)%len(p.listed)]
		if p.held[instance][w] < p.held[instance][best] {
			best = w
		}
	}
	return best
}

func (p *plain) list(workers []int) {
	p.listed = slices.Clone(workers)
}

func (p *plain) arrive(r *request) {
	p.send(r)
}

func (p *plain) send(r *request) {
	a := &attempt{request: r, instance: r.instance, worker: p.choose(p, r.instance), answer: p.answer}
	p.held[a.instance][a.worker]++
	p.fake.send(a)
	if p.retry {
		p.fake.after(patience, func() { p.timeout(a) })
	}
}

func (p *plain) timeout(a *attempt) {
	if !a.closed {
		p.answer(a, balancer.Lost)
	}
}

func (p *plain) answer(a *attempt, result balancer.Result) {
	a.closed = true
	p.held[a.instance][a.worker]--
	if result != balancer.OK && p.retry {
		p.send(a.request)
		return
	}
	p.fake.finish(a.request, endingOf(result))
}

// ideal is one queue in front of all slots, fed the same requests: no
// instance knows less than everything. A slot is held for the time of service
// only.
type ideal struct {
	fake    *fake
	free    int
	backlog []*request
}

func newIdeal(f *fake, _ *scenario, _ uint64) policy {
	return &ideal{fake: f, free: len(f.workers) * f.slots}
}

func (q *ideal) list([]int) {}

func (q *ideal) arrive(r *request) {
	if q.free == 0 {
		q.backlog = append(q.backlog, r)
		return
	}
	q.free--
	q.start(r)
}

func (q *ideal) start(r *request) {
	q.fake.after(r.work, func() {
		q.fake.after(2*nearDelay, func() { q.fake.finish(r, answered) })
		if len(q.backlog) == 0 {
			q.free++
			return
		}
		next := q.backlog[0]
		q.backlog = q.backlog[1:]
		q.start(next)
	})
}
