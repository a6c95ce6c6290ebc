package relay

import (
	"maps"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/rendezvous"
)

// share is how many workers are ordered through one instance, about. With fewer
// each message carries one order or two, and the owner is busy sending them; with
// more an instance that is lost silences more workers for a moment.
const share = 64

// routes says through which instance a worker is ordered: one of its own zone,
// by rendezvous hashing, so that an instance that comes or goes moves few others'
// workers. It isn't safe for concurrent use.
type routes struct {
	zones   map[string][]string // instances by availability zone, in the order in which they are used
	workers map[string]int      // by availability zone
	picked  map[string]string   // by worker's ID, until forget
	avoided map[string]time.Time
}

func newRoutes() routes {
	return routes{
		zones:   make(map[string][]string),
		workers: make(map[string]int),
		picked:  make(map[string]string),
		avoided: make(map[string]time.Time),
	}
}

// setInstances sets the instances that may be picked; this one is among them.
func (r *routes) setInstances(instances []Instance) {
	clear(r.zones)
	for _, i := range instances {
		r.zones[i.AvailabilityZone] = append(r.zones[i.AvailabilityZone], i.ID)
	}
	for zone, ids := range r.zones {
		r.zones[zone] = rendezvous.Order(zone, ids)
	}
	r.forget()
}

// setWorkers sets how many workers each zone has.
func (r *routes) setWorkers(byZone map[string]int) {
	for zone, n := range byZone {
		if shares(n) != shares(r.workers[zone]) {
			r.forget()
		}
	}
	r.workers = byZone
}

// forget has all workers picked for anew.
func (r *routes) forget() {
	clear(r.picked)
}

// avoid has a worker's instance not picked until then. Entries that are over go, as
// those of workers that have left would stay for good.
func (r *routes) avoid(host string, now, until time.Time) {
	maps.DeleteFunc(r.avoided, func(_ string, end time.Time) bool { return !now.Before(end) })
	r.avoided[host] = until
}

// spare is how many instances of a zone there are connections to beyond those that
// are used, for the place of one that is lost.
const spare = 1

// wanted returns the instances to have connections to: those that are used, the
// spare ones, and those before them that don't work, which are to be used again.
func (r *routes) wanted(works func(string) bool) []string {
	var wanted []string
	for zone, ids := range r.zones {
		missing := r.used(zone) + spare
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

// used returns through how many instances of a zone its workers are ordered.
func (r *routes) used(zone string) int {
	return max(1, shares(r.workers[zone]))
}

// shares returns how many shares so many workers are.
func shares(workers int) int {
	return (workers + share - 1) / share
}

// pick returns the instance that a worker is ordered through, empty for the
// direct way.
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
	var reached []string
	most := r.used(h.AvailabilityZone)
	for _, id := range r.zones[h.AvailabilityZone] {
		if len(reached) >= most {
			break
		}
		if up(id) {
			reached = append(reached, id)
		}
	}
	id, _ := rendezvous.Pick(h.ID, reached)
	r.picked[h.ID] = id
	return id
}
