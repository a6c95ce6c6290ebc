// Package replica decides which workers of an availability zone run the
// replicas of its services. Every instance computes the same plan from the
// same services and workers, so none has to be agreed.
//
// Usage:
//
//	plan := replica.New(services, workers)
//	for _, s := range plan.Worker(id) { ... }   // services that id runs
//	short := plan.Short()                       // replicas that found no room
//
// A plan moves few replicas when a worker joins or leaves, and spreads each
// service over racks.
package replica

import (
	"sort"

	"github.com/dogwoodladder/dogwoodladder/rendezvous"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Service is what a plan needs to know of a service.
type Service struct {
	Name     string
	Replicas int
	Need     resource.Vector // of one replica
}

// Worker is what a plan needs to know of a worker.
type Worker struct {
	ID       string
	Rack     string
	Capacity resource.Vector
}

// Plan maps workers to the services whose replicas they run.
type Plan struct {
	byWorker map[string][]string
	reserved map[string]resource.Vector
	short    map[string]int
}

// New returns the plan for services on workers.
func New(services []Service, workers []Worker) *Plan {
	p := &Plan{
		byWorker: make(map[string][]string),
		reserved: make(map[string]resource.Vector),
		short:    make(map[string]int),
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

// Worker returns the services that a worker runs, sorted.
func (p *Plan) Worker(id string) []string {
	return p.byWorker[id]
}

// Reserved returns what the planned replicas need on a worker.
func (p *Plan) Reserved(id string) resource.Vector {
	return p.reserved[id]
}

// Short returns how many replicas of each service found no room.
func (p *Plan) Short() map[string]int {
	return p.short
}

// place puts the replicas of s on the first workers of its order that have
// room, first at most an equal part per rack, then wherever there is room.
func (p *Plan) place(s Service, order []string, index map[string]Worker) {
	left := s.Replicas
	perRack := make(map[string]int)
	most := rackBound(s.Replicas, index)
	taken := make(map[string]bool)
	for _, bound := range []int{most, s.Replicas} {
		for _, id := range order {
			if left == 0 {
				return
			}
			w := index[id]
			if taken[id] || perRack[w.Rack] >= bound || !p.fits(s, w) {
				continue
			}
			p.add(s, id)
			taken[id] = true
			perRack[w.Rack]++
			left--
		}
	}
	if left > 0 {
		p.short[s.Name] = left
	}
}

func (p *Plan) fits(s Service, w Worker) bool {
	return p.reserved[w.ID].Add(s.Need).Fits(w.Capacity)
}

func (p *Plan) add(s Service, id string) {
	p.byWorker[id] = append(p.byWorker[id], s.Name)
	p.reserved[id] = p.reserved[id].Add(s.Need)
}

func rackBound(replicas int, index map[string]Worker) int {
	racks := make(map[string]bool)
	for _, w := range index {
		racks[w.Rack] = true
	}
	n := max(len(racks), 1)
	return (replicas + n - 1) / n
}
