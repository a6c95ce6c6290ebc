package quick

import (
	"fmt"
	"time"

	"github.com/dogwoodladder/dogwoodladder/admission"
	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/forward"
	"github.com/dogwoodladder/dogwoodladder/route"
)

// policy is one way to serve requests.
type policy interface {
	// arrive handles a request at an instance.
	arrive(r *request)
	// list replaces the workers known to be in service.
	list(workers []int)
}

// maker makes a policy in a world.
type maker func(f *fake, s *scenario, seed uint64) policy

// How often instances tell each other their free slots.
const (
	nearBeat = time.Second // within an availability zone
	farBeat  = 5 * time.Second
)

// probeTime is how long the probe of a connection without an answer takes to
// tell that it is silent.
const probeTime = 150 * time.Millisecond

// settings are the options of the policy packages that a run uses.
type settings struct {
	admission []admission.Option
	balancer  []balancer.Option
	forward   []forward.Option
	alone     bool // nothing is forwarded
	hedge     bool
	stale     bool // answers of peers don't carry their free slots
}

// system is the project's own policy: instances that own the workers of
// their availability zone.
type system struct {
	fake      *fake
	settings  settings
	services  map[string]route.Service
	deadline  time.Duration
	instances []*instance
	owner     map[int]int // instances by worker
}

// newSystem returns a maker of the project's own policy.
func newSystem(st settings) maker {
	return func(f *fake, s *scenario, seed uint64) policy {
		sys := &system{fake: f, settings: st, services: s.services(), deadline: s.deadline, owner: map[int]int{}}
		f.notice = probeTime
		for i, zone := range f.zones {
			sys.instances = append(sys.instances, newInstance(sys, i, zone, seed))
		}
		sys.list(allWorkers(f))
		sys.beat(nearBeat, true)
		sys.beat(farBeat, false)
		return sys
	}
}

// list hands workers to the instances of their availability zone; a worker
// keeps its owner.
func (sys *system) list(workers []int) {
	owned := make([][]route.Backend, len(sys.instances))
	for _, w := range workers {
		owner, ok := sys.owner[w]
		if !ok {
			owner = sys.fewest(sys.fake.workers[w].zone)
			sys.owner[w] = owner
			sys.instances[owner].owned++
		}
		owned[owner] = append(owned[owner], sys.backend(w))
	}
	for i, in := range sys.instances {
		in.balancer.Update(sys.fake.time(), owned[i])
		in.gate.Update(sys.services, len(owned[i])*sys.fake.slots)
		in.resize()
		in.start(in.gate.Admit(sys.fake.time()))
		in.arm()
	}
}

// fewest returns the instance of an availability zone that owns the fewest
// workers.
func (sys *system) fewest(zone string) int {
	best := -1
	for i, in := range sys.instances {
		if in.zone == zone && (best < 0 || in.owned < sys.instances[best].owned) {
			best = i
		}
	}
	return best
}

func (sys *system) backend(w int) route.Backend {
	return route.Backend{
		Worker: workerName(w),
		Slots:  sys.fake.slots,
		Until:  epoch.Add(time.Hour),
	}
}

func workerName(w int) string {
	return fmt.Sprintf("worker-%03d", w)
}

// beat tells every instance what the others have free, in its own
// availability zone or in the others.
func (sys *system) beat(every time.Duration, near bool) {
	for _, from := range sys.instances {
		peer := route.Peer{
			ID:               from.id,
			AvailabilityZone: from.zone,
			Free:             from.free(),
			Heard:            sys.fake.time(),
		}
		for _, to := range sys.instances {
			if to != from && (to.zone == from.zone) == near {
				sys.fake.message(from.zone, to.zone, func() { to.hear(peer) })
			}
		}
	}
	sys.fake.after(every, func() { sys.beat(every, near) })
}

func (sys *system) arrive(r *request) {
	in := sys.instances[r.instance]
	in.budget.First(in.fake.time())
	sys.fake.after(sys.deadline-callerDelay-(sys.fake.now-r.at), func() { in.giveUp(r) })
	in.offer(r, !sys.settings.alone)
}
