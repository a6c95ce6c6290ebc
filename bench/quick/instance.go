package quick

import (
	"fmt"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/admission"
	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/budget"
	"github.com/dogwoodladder/dogwoodladder/forward"
	"github.com/dogwoodladder/dogwoodladder/route"
)

// Hedging, where it is on.
const (
	hedgeDelay = 120 * time.Millisecond
	hedgeSpare = 4 // free slots without which no hedge is sent
)

// instance is one entry instance.
type instance struct {
	system   *system
	fake     *fake
	index    int
	id       string
	zone     string
	gate     *admission.Gate
	balancer *balancer.Balancer
	chooser  *forward.Chooser
	budget   *budget.Budget
	peers    []route.Peer
	owned    int
	waiting  map[*admission.Ticket]*request
	alarm    time.Time // when Expire runs next; zero is never
}

func newInstance(sys *system, index int, zone string, seed uint64) *instance {
	own := seed + uint64(index)
	return &instance{
		system:   sys,
		fake:     sys.fake,
		index:    index,
		id:       fmt.Sprint(index),
		zone:     zone,
		gate:     admission.New(sys.settings.admission...),
		balancer: balancer.New(own, sys.settings.balancer...),
		chooser:  forward.New(own, zone, sys.settings.forward...),
		budget:   budget.New(),
		waiting:  map[*admission.Ticket]*request{},
	}
}

func (in *instance) free() map[string]int {
	free := map[string]int{}
	for name := range in.system.services {
		free[name] = in.balancer.Free(in.fake.time())
	}
	return free
}

func (in *instance) hear(p route.Peer) {
	p.Heard = in.fake.time()
	i := slices.IndexFunc(in.peers, func(o route.Peer) bool { return o.ID == p.ID })
	if i < 0 {
		in.peers = append(in.peers, p)
		return
	}
	in.peers[i] = p
}

// giveUp ends a request at its deadline.
func (in *instance) giveUp(r *request) {
	if r.ended {
		return
	}
	if r.peer != "" {
		in.chooser.Lost(in.fake.time(), r.peer)
	}
	in.fake.finish(r, failed)
}

// finish ends a request, by way of the instance that it came to.
func (in *instance) finish(r *request, e ending) {
	origin := in.system.instances[r.instance]
	if origin == in {
		in.fake.finish(r, e)
		return
	}
	free := in.balancer.Free(in.fake.time())
	in.fake.message(in.zone, origin.zone, func() {
		origin.learn(r.service, in.id, free)
		in.fake.finish(r, e)
	})
}

// learn takes the free slots that came with a peer's answer into account.
func (in *instance) learn(service, peer string, free int) {
	if !in.system.settings.stale {
		in.chooser.Heard(in.fake.time(), service, peer, free)
	}
}

// offer asks the own gate first, and a peer when that has no slot now.
func (in *instance) offer(r *request, mayForward bool) {
	now := in.fake.time()
	t, err := in.gate.Offer(now, in.ask(r, 0))
	if err == nil && t.Admitted {
		in.begin(r, t)
		return
	}
	if mayForward && in.forward(r) {
		if t != nil {
			in.gate.Abandon(now, t)
		}
		return
	}
	if err != nil {
		in.fake.finish(r, refused)
		return
	}
	in.waiting[t] = r
	in.arm()
}

func (in *instance) ask(r *request, hops int) admission.Request {
	deadline := epoch.Add(r.at + in.system.deadline - callerDelay)
	return admission.Request{Service: r.service, Deadline: deadline, Hops: hops}
}

func (in *instance) forward(r *request) bool {
	peer, ok := in.chooser.Choose(in.fake.time(), r.service, 0, in.peers, nil)
	if !ok {
		return false
	}
	to := in.system.instances[slices.IndexFunc(in.system.instances, func(o *instance) bool {
		return o.id == peer.ID
	})]
	r.peer = peer.ID
	in.fake.message(in.zone, to.zone, func() { to.accept(r, in) })
	return true
}

// accept handles a request that another instance forwarded. It takes a slot
// or goes back.
func (in *instance) accept(r *request, from *instance) {
	t, err := in.gate.Offer(in.fake.time(), in.ask(r, forward.MaxHops))
	if err == nil && t.Admitted {
		in.begin(r, t)
		return
	}
	in.fake.message(in.zone, from.zone, func() {
		from.chooser.Refused(from.fake.time(), r.service, in.id)
		r.peer = ""
		if !r.ended {
			from.offer(r, false)
		}
	})
}

// begin puts an admitted request on a worker. When the gate admitted more
// than the workers can hold, the request is refused.
func (in *instance) begin(r *request, t *admission.Ticket) {
	if in.send(r, t) {
		return
	}
	now := in.fake.time()
	in.gate.Abandon(now, t)
	in.finish(r, refused)
	in.start(in.gate.Admit(now))
}

// send starts an attempt on a worker that wasn't tried yet, if there is one.
func (in *instance) send(r *request, t *admission.Ticket) bool {
	backend, ok := in.balancer.Pick(in.fake.time(), func(w string) bool {
		return slices.Contains(r.tried, in.fake.index[w])
	})
	if !ok {
		return false
	}
	a := &attempt{request: r, instance: in.index, worker: in.fake.index[backend.Worker]}
	r.tried = append(r.tried, a.worker)
	a.answer = func(a *attempt, result balancer.Result) { in.answer(a, t, result) }
	in.fake.send(a)
	left := in.system.deadline - callerDelay - (in.fake.now - r.at)
	in.fake.after(left, func() {
		if !a.closed {
			in.answer(a, t, balancer.Lost)
		}
	})
	in.hedgeLater(r, a)
	return true
}

// answer handles the end of an attempt.
func (in *instance) answer(a *attempt, t *admission.Ticket, result balancer.Result) {
	now := in.fake.time()
	a.closed = true
	latency := in.fake.now - a.sent
	in.balancer.Done(now, in.workerOf(a), latency, result)
	in.resize()
	if in.mayRetry(a.request, result) && in.send(a.request, t) {
		return
	}
	in.finish(a.request, endingOf(result))
	in.start(in.gate.Release(now, t, latency, result == balancer.OK))
	in.arm()
}

func (in *instance) workerOf(a *attempt) string {
	return in.fake.workers[a.worker].name
}

func (in *instance) mayRetry(r *request, result balancer.Result) bool {
	safe := result == balancer.Refused || result == balancer.Lost && r.idempotent
	return safe && !r.ended && in.budget.Take(in.fake.time())
}

func endingOf(result balancer.Result) ending {
	switch result {
	case balancer.OK:
		return answered
	case balancer.Refused:
		return refused
	}
	return failed
}

// hedgeLater sends a second attempt when the first takes long and a slot is
// free anyway.
func (in *instance) hedgeLater(r *request, first *attempt) {
	if !in.system.settings.hedge || !r.idempotent || len(r.tried) > 1 {
		return
	}
	in.fake.after(hedgeDelay, func() {
		if !first.closed && !r.ended && in.balancer.Free(in.fake.time()) > hedgeSpare && in.budget.Take(in.fake.time()) {
			in.hedge(r)
		}
	})
}

func (in *instance) hedge(r *request) {
	t, err := in.gate.Offer(in.fake.time(), in.ask(r, forward.MaxHops))
	if err == nil && t.Admitted && !in.send(r, t) {
		in.gate.Abandon(in.fake.time(), t)
	}
}

// resize tells the gate how many slots are in rotation.
func (in *instance) resize() {
	slots := in.balancer.Slots(in.fake.time())
	for name := range in.system.services {
		in.gate.Capacity(name, slots)
	}
}

// start sends the tickets that were admitted after a wait.
func (in *instance) start(tickets []*admission.Ticket) {
	for _, t := range tickets {
		r := in.waiting[t]
		delete(in.waiting, t)
		in.begin(r, t)
	}
}

// arm plans the next Expire.
func (in *instance) arm() {
	at, ok := in.gate.NextExpiry()
	if !ok || !in.alarm.IsZero() && !at.Before(in.alarm) {
		return
	}
	in.alarm = at
	in.fake.after(at.Sub(in.fake.time()), func() {
		in.alarm = time.Time{}
		in.expire()
	})
}

func (in *instance) expire() {
	for _, t := range in.gate.Expire(in.fake.time()) {
		in.fake.finish(in.waiting[t], refused)
		delete(in.waiting, t)
	}
	in.arm()
}
