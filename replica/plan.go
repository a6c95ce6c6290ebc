// Package replica plans which workers of an availability zone run the replicas
// of its services. All instances compute the same plan from the same services
// and workers, so they need no agreement.
//
// Usage:
//
//	plan := replica.New(services, workers)
//	for _, s := range plan.ServicesOn(id) { ... } // services that id runs
//	missing := plan.Missing()                     // replicas that fit no worker
//
// A plan moves few replicas when a worker joins or leaves, and spreads each
// service over racks.
package replica

import (
	"sort"

	"github.com/dogwoodladder/dogwoodladder/rendezvous"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Service is a service to plan.
type Service struct {
	Name     string
	Replicas int
	Need     resource.Vector // of one replica
}

// Worker is a worker that can run replicas.
type Worker struct {
	ID       string
	Rack     string
	Capacity resource.Vector
}

// Plan maps workers to the services whose replicas they run.
type Plan struct {
	byWorker map[string][]string
	reserved map[string]resource.Vector
	missing  map[string]int
}

// New returns the plan for running services on workers.
func New(services []Service, workers []Worker) *Plan {
	p := &Plan{
		byWorker: make(map[string][]string),
		reserved: make(map[string]resource.Vector),
		missing:  make(map[string]int),
	}
	index := make(map[string]Worker, len(workers))
	ids := make([]string, 0, len(workers))
	for _, w := range workers {
		index[w.ID] = w
		ids = append(ids, w.ID)
	}
	sort.Strings(ids)
	ordered := append([]Service(nil), services...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Name < ordered[j].Name })
	for _, s := range ordered {
		p.place(s, rendezvous.Order(s.Name, ids), index)
	}
	return p
}

// ServicesOn returns the services whose replicas a worker runs, sorted by
// name.
func (p *Plan) ServicesOn(id string) []string {
	return p.byWorker[id]
}

// Reserved returns the total need of the replicas planned on a worker.
func (p *Plan) Reserved(id string) resource.Vector {
	return p.reserved[id]
}

// Missing returns by service how many replicas fit no worker.
func (p *Plan) Missing() map[string]int {
	return p.missing
}

// place assigns the replicas of s to the first workers of its order that have
// capacity: first at most an equal part per rack, then without regard to
// racks.
func (p *Plan) place(s Service, order []string, index map[string]Worker) {
	remaining := s.Replicas
	perRack := make(map[string]int)
	perRackLimit := maxPerRack(s.Replicas, index)
	taken := make(map[string]bool)
	for _, bound := range []int{perRackLimit, s.Replicas} {
		for _, id := range order {
			if remaining == 0 {
				return
			}
			w := index[id]
			if taken[id] || perRack[w.Rack] >= bound || !p.fits(s, w) {
				continue
			}
			p.add(s, id)
			taken[id] = true
			perRack[w.Rack]++
			remaining--
		}
	}
	if remaining > 0 {
		p.missing[s.Name] = remaining
	}
}

func (p *Plan) fits(s Service, w Worker) bool {
	return p.reserved[w.ID].Add(s.Need).Fits(w.Capacity)
}

func (p *Plan) add(s Service, id string) {
	p.byWorker[id] = append(p.byWorker[id], s.Name)
	p.reserved[id] = p.reserved[id].Add(s.Need)
}

func maxPerRack(replicas int, index map[string]Worker) int {
	racks := make(map[string]bool)
	for _, w := range index {
		racks[w.Rack] = true
	}
	n := max(len(racks), 1)
	return (replicas + n - 1) / n
}
