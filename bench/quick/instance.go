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

// Parameters of hedging.
const (
	hedgeDelay      = 120 * time.Millisecond
	minFreeForHedge = 4 // a hedge is sent only with more free slots than this
)

// instance is one entry instance.
type instance struct {
	system       *system
	fake         *fake
	index        int
	id           string
	zone         string
	gate         *admission.Gate
	balancer     *balancer.Balancer
	chooser      *forward.Chooser
	budget       *budget.Budget
	peers        []route.Peer
	ownedWorkers int
	waiting      map[*admission.Ticket]*request
	expiryAt     time.Time // time of the scheduled gate.Expire; zero means none
}

func newInstance(sys *system, index int, zone string, seed uint64) *instance {
	instanceSeed := seed + uint64(index)
	return &instance{
		system:   sys,
		fake:     sys.fake,
		index:    index,
		id:       fmt.Sprint(index),
		zone:     zone,
		gate:     admission.New(sys.settings.admission...),
		balancer: balancer.New(instanceSeed, sys.settings.balancer...),
		chooser:  forward.New(instanceSeed, zone, sys.settings.forward...),
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

func (in *instance) handleHeartbeat(p route.Peer) {
	p.LastContact = in.fake.time()
	i := slices.IndexFunc(in.peers, func(o route.Peer) bool { return o.ID == p.ID })
	if i < 0 {
		in.peers = append(in.peers, p)
		return
	}
	in.peers[i] = p
}

// handleDeadline ends a request at its deadline.
func (in *instance) handleDeadline(r *request) {
	if r.ended {
		return
	}
	if r.peer != "" {
		in.chooser.RecordUnreachable(in.fake.time(), r.peer)
	}
	in.fake.finish(r, failed)
}

// finish ends a request. A forwarded one is answered through its entry
// instance, which also learns the free slots of this one.
func (in *instance) finish(r *request, e ending) {
	origin := in.system.instances[r.instance]
	if origin == in {
		in.fake.finish(r, e)
		return
	}
	free := in.balancer.Free(in.fake.time())
	in.fake.message(in.zone, origin.zone, func() {
		origin.updatePeerFree(r.service, in.id, free)
		in.fake.finish(r, e)
	})
}

// updatePeerFree records the free slots that a peer reported with an answer.
func (in *instance) updatePeerFree(service, peer string, free int) {
	if !in.system.settings.heartbeatsOnly {
		in.chooser.RecordFree(in.fake.time(), service, peer, free)
	}
}

// admitOrForward dispatches a request if the gate admits it at once. If not, it
// forwards it to a peer. Without a suitable peer, the request waits in the gate's
// queue or, if the gate rejected it, ends as refused.
func (in *instance) admitOrForward(r *request, mayForward bool) {
	now := in.fake.time()
	t, err := in.gate.Offer(now, in.admissionRequest(r, 0))
	if err == nil && t.Admitted {
		in.dispatch(r, t)
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
	in.scheduleExpiry()
}

func (in *instance) admissionRequest(r *request, hops int) admission.Request {
	deadline := epoch.Add(r.arrivedAt + in.system.deadline - callerDelay)
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
	in.fake.message(in.zone, to.zone, func() { to.handleForwarded(r, in) })
	return true
}

// handleForwarded handles a request that another instance forwarded. If no slot
// is free, the request returns to that instance.
func (in *instance) handleForwarded(r *request, from *instance) {
	t, err := in.gate.Offer(in.fake.time(), in.admissionRequest(r, forward.MaxHops))
	if err == nil && t.Admitted {
		in.dispatch(r, t)
		return
	}
	in.fake.message(in.zone, from.zone, func() {
		from.chooser.RecordRefused(from.fake.time(), r.service, in.id)
		r.peer = ""
		if !r.ended {
			from.admitOrForward(r, false)
		}
	})
}

// dispatch sends an admitted request to a worker. If no worker has a free slot
// because the gate admitted more than the workers can hold, the request is
// refused.
func (in *instance) dispatch(r *request, t *admission.Ticket) {
	if in.send(r, t) {
		return
	}
	now := in.fake.time()
	in.gate.Abandon(now, t)
	in.finish(r, refused)
	in.dispatchAdmitted(in.gate.Admit(now))
}

// send starts an attempt on a worker that wasn't tried yet. It reports false if
// there is none.
func (in *instance) send(r *request, t *admission.Ticket) bool {
	backend, ok := in.balancer.Pick(in.fake.time(), func(w string) bool {
		return slices.Contains(r.tried, in.fake.index[w])
	})
	if !ok {
		return false
	}
	a := &attempt{request: r, instance: in.index, worker: in.fake.index[backend.Worker]}
	r.tried = append(r.tried, a.worker)
	a.onAnswer = func(a *attempt, result balancer.Result) { in.handleAnswer(a, t, result) }
	in.fake.send(a)
	remaining := in.system.deadline - callerDelay - (in.fake.now - r.arrivedAt)
	in.fake.after(remaining, func() {
		if !a.closed {
			in.handleAnswer(a, t, balancer.Lost)
		}
	})
	in.scheduleHedge(r, a)
	return true
}

// handleAnswer handles the end of an attempt.
func (in *instance) handleAnswer(a *attempt, t *admission.Ticket, result balancer.Result) {
	now := in.fake.time()
	a.closed = true
	latency := in.fake.now - a.sentAt
	in.balancer.Done(now, in.workerOf(a), latency, result)
	in.updateCapacity()
	if in.canRetry(a.request, result) && in.send(a.request, t) {
		return
	}
	in.finish(a.request, endingOf(result))
	in.dispatchAdmitted(in.gate.Release(now, t, latency, result == balancer.OK))
	in.scheduleExpiry()
}

func (in *instance) workerOf(a *attempt) string {
	return in.fake.workers[a.worker].name
}

func (in *instance) canRetry(r *request, result balancer.Result) bool {
	safe := result == balancer.Refused || result == balancer.Lost && r.idempotent
	return safe && !r.ended && in.budget.TakeRetry(in.fake.time())
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

// scheduleHedge sends a second attempt after hedgeDelay if the first isn't
// answered by then, more than minFreeForHedge slots are free and the retry budget
// allows it.
func (in *instance) scheduleHedge(r *request, first *attempt) {
	if !in.system.settings.hedging || !r.idempotent || len(r.tried) > 1 {
		return
	}
	in.fake.after(hedgeDelay, func() {
		if !first.closed && !r.ended && in.balancer.Free(in.fake.time()) > minFreeForHedge && in.budget.TakeRetry(in.fake.time()) {
			in.hedge(r)
		}
	})
}

func (in *instance) hedge(r *request) {
	t, err := in.gate.Offer(in.fake.time(), in.admissionRequest(r, forward.MaxHops))
	if err == nil && t.Admitted && !in.send(r, t) {
		in.gate.Abandon(in.fake.time(), t)
	}
}

// updateCapacity sets the capacity of the gate to the slots in rotation.
func (in *instance) updateCapacity() {
	slots := in.balancer.Slots(in.fake.time())
	for name := range in.system.services {
		in.gate.SetCapacity(name, slots)
	}
}

// dispatchAdmitted dispatches the queued requests that the gate admitted.
func (in *instance) dispatchAdmitted(tickets []*admission.Ticket) {
	for _, t := range tickets {
		r := in.waiting[t]
		delete(in.waiting, t)
		in.dispatch(r, t)
	}
}

// scheduleExpiry schedules a call of expire for the gate's next expiry.
func (in *instance) scheduleExpiry() {
	at, ok := in.gate.NextExpiry()
	if !ok || !in.expiryAt.IsZero() && !at.Before(in.expiryAt) {
		return
	}
	in.expiryAt = at
	in.fake.after(at.Sub(in.fake.time()), func() {
		in.expiryAt = time.Time{}
		in.expire()
	})
}

func (in *instance) expire() {
	for _, t := range in.gate.Expire(in.fake.time()) {
		in.fake.finish(in.waiting[t], refused)
		delete(in.waiting, t)
	}
	in.scheduleExpiry()
}
