package relay

import (
	"maps"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/rendezvous"
)

// workersPerInstance is about how many workers receive orders through one instance. With
// fewer, each message carries only one or two orders and the owner spends its time
// sending; with more, a lost instance cuts off more workers for a moment.
const workersPerInstance = 64

// routes assigns each worker an instance in its availability zone. It uses rendezvous
// hashing, so that few workers are reassigned when an instance joins or leaves. It isn't
// safe for concurrent use.
type routes struct {
	zones   map[string][]string  // instances by availability zone, in order of preference
	workers map[string]int       // by availability zone
	picked  map[string]string    // cached instance by worker's ID, until clearPicked
	avoided map[string]time.Time // by worker's ID, until when its orders go directly
}

func newRoutes() routes {
	return routes{
		zones:   make(map[string][]string),
		workers: make(map[string]int),
		picked:  make(map[string]string),
		avoided: make(map[string]time.Time),
	}
}

// setInstances sets the instances to choose from, which include this one.
func (r *routes) setInstances(instances []Instance) {
	clear(r.zones)
	for _, i := range instances {
		r.zones[i.AvailabilityZone] = append(r.zones[i.AvailabilityZone], i.ID)
	}
	for zone, ids := range r.zones {
		r.zones[zone] = rendezvous.Order(zone, ids)
	}
	r.clearPicked()
}

// setWorkers sets the number of workers in each zone.
func (r *routes) setWorkers(byZone map[string]int) {
	for zone, n := range byZone {
		if instancesFor(n) != instancesFor(r.workers[zone]) {
			r.clearPicked()
		}
	}
	r.workers = byZone
}

// clearPicked discards all cached assignments.
func (r *routes) clearPicked() {
	clear(r.picked)
}

// avoid makes pick return no instance for a worker until the given time. It deletes
// expired entries, since those of workers that have left would stay forever otherwise.
func (r *routes) avoid(host string, now, until time.Time) {
	maps.DeleteFunc(r.avoided, func(_ string, end time.Time) bool { return !now.Before(end) })
	r.avoided[host] = until
}

// spareLinks is the number of connections to instances of a zone beyond those in use,
// as standby for a lost one.
const spareLinks = 1

// wanted returns the instances to connect to: those in use, the spare ones, and failed
// instances that precede them in the order, which are used again once they recover.
func (r *routes) wanted(works func(string) bool) []string {
	var wanted []string
	for zone, ids := range r.zones {
		missing := r.numUsed(zone) + spareLinks
		for _, id := range ids {
			if missing == 0 {
				break
			}
			wanted = append(wanted, id)
			if works(id) {
				missing--
			}
		}
	}
	return wanted
}

// numUsed returns how many instances of a zone relay orders to its workers.
func (r *routes) numUsed(zone string) int {
	return max(1, instancesFor(r.workers[zone]))
}

// instancesFor returns how many instances the given number of workers needs.
func instancesFor(workers int) int {
	return (workers + workersPerInstance - 1) / workersPerInstance
}

// pick returns the instance that relays a worker's orders, empty to send them directly.
func (r *routes) pick(h provider.Host, now time.Time, up func(string) bool) string {
	if until, ok := r.avoided[h.ID]; ok {
		if now.Before(until) {
			return ""
		}
		delete(r.avoided, h.ID)
	}
	if id, ok := r.picked[h.ID]; ok {
		return id
	}
	var upIDs []string
	maxUsed := r.numUsed(h.AvailabilityZone)
	for _, id := range r.zones[h.AvailabilityZone] {
		if len(upIDs) >= maxUsed {
			break
		}
		if up(id) {
			upIDs = append(upIDs, id)
		}
	}
	id, _ := rendezvous.Pick(h.ID, upIDs)
	r.picked[h.ID] = id
	return id
}
