package quick

import (
	"fmt"
	"time"

	"github.com/dogwoodladder/dogwoodladder/admission"
	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/forward"
	"github.com/dogwoodladder/dogwoodladder/route"
)

// policy decides which worker serves a request.
type policy interface {
	// handleRequest handles a request that reached its entry instance.
	handleRequest(r *request)
	// setWorkers replaces the list of workers in service.
	setWorkers(workers []int)
}

// policyFactory creates a policy for a run of a scenario.
type policyFactory func(f *fake, s *scenario, seed uint64) policy

// Intervals at which instances send their free slots to each other.
const (
	sameZoneHeartbeatInterval  = time.Second // within an availability zone
	crossZoneHeartbeatInterval = 5 * time.Second
)

// probeTimeout is the time after which a probe reports a connection that
// doesn't answer as silent.
const probeTimeout = 150 * time.Millisecond

// settings are the options of the policy packages that a run uses.
type settings struct {
	admission      []admission.Option
	balancer       []balancer.Option
	forward        []forward.Option
	noForwarding   bool // requests stay at their entry instance
	hedging        bool
	heartbeatsOnly bool // peers report free slots only in heartbeats, not in answers
}

// system is the policy of dogwoodladder: each instance owns some of the
// workers of its availability zone and forwards requests to peers.
type system struct {
	fake      *fake
	settings  settings
	services  map[string]route.Service
	deadline  time.Duration
	instances []*instance
	owner     map[int]int // index of the owning instance by worker
}

// newSystem returns a factory of the dogwoodladder policy.
func newSystem(st settings) policyFactory {
	return func(f *fake, s *scenario, seed uint64) policy {
		sys := &system{fake: f, settings: st, services: s.services(), deadline: s.deadline, owner: map[int]int{}}
		f.silenceTimeout = probeTimeout
		for i, zone := range f.zones {
			sys.instances = append(sys.instances, newInstance(sys, i, zone, seed))
		}
		sys.setWorkers(allWorkers(f))
		sys.sendHeartbeats(sameZoneHeartbeatInterval, true)
		sys.sendHeartbeats(crossZoneHeartbeatInterval, false)
		return sys
	}
}

// setWorkers assigns each new worker to an instance of its availability zone.
// A known worker keeps its owner.
func (sys *system) setWorkers(workers []int) {
	owned := make([][]route.Backend, len(sys.instances))
	for _, w := range workers {
		owner, ok := sys.owner[w]
		if !ok {
			owner = sys.instanceWithFewestWorkers(sys.fake.workers[w].zone)
			sys.owner[w] = owner
			sys.instances[owner].ownedWorkers++
		}
		owned[owner] = append(owned[owner], sys.backend(w))
	}
	for i, in := range sys.instances {
		in.balancer.Update(sys.fake.time(), owned[i])
		in.gate.Update(sys.services, len(owned[i])*sys.fake.slots)
		in.updateCapacity()
		in.dispatchAdmitted(in.gate.Admit(sys.fake.time()))
		in.scheduleExpiry()
	}
}

// instanceWithFewestWorkers returns the index of the instance that owns the
// fewest workers in an availability zone, or -1 without an instance there.
func (sys *system) instanceWithFewestWorkers(zone string) int {
	best := -1
	for i, in := range sys.instances {
		if in.zone == zone && (best < 0 || in.ownedWorkers < sys.instances[best].ownedWorkers) {
			best = i
		}
	}
	return best
}

func (sys *system) backend(w int) route.Backend {
	return route.Backend{
		Worker:     workerName(w),
		Slots:      sys.fake.slots,
		LeaseUntil: epoch.Add(time.Hour),
	}
}

func workerName(w int) string {
	return fmt.Sprintf("worker-%03d", w)
}

// sendHeartbeats sends the free slots of every instance to the others, within
// its availability zone if sameZone is set and to the other zones if not, and
// schedules the next round.
func (sys *system) sendHeartbeats(interval time.Duration, sameZone bool) {
	for _, from := range sys.instances {
		peer := route.Peer{
			ID:               from.id,
			AvailabilityZone: from.zone,
			Free:             from.free(),
			LastContact:      sys.fake.time(),
		}
		for _, to := range sys.instances {
			if to != from && (to.zone == from.zone) == sameZone {
				sys.fake.message(from.zone, to.zone, func() { to.handleHeartbeat(peer) })
			}
		}
	}
	sys.fake.after(interval, func() { sys.sendHeartbeats(interval, sameZone) })
}

func (sys *system) handleRequest(r *request) {
	in := sys.instances[r.instance]
	in.budget.RecordFirstAttempt(in.fake.time())
	sys.fake.after(sys.deadline-callerDelay-(sys.fake.now-r.arrivedAt), func() { in.handleDeadline(r) })
	in.admitOrForward(r, !sys.settings.noForwarding)
}
