package controller

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodladder/dogwoodladder/manifest"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/replica"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/route"
)

// minDrain is the least time between taking a replica out of the routing
// table and stopping it.
const minDrain = 2 * time.Second

// planKey tells whether the plan of replicas is out of date.
type planKey struct {
	revision uint64
	workers  string
}

// replicaID returns the task ID of a service's replica on a worker. It names
// the worker, so that no two workers ever run the same task.
func replicaID(service, worker string) string {
	return service + "/" + worker
}

// replan computes which workers run which replicas, when that may have changed.
func (c *Controller) replan() {
	if c.manifest == nil {
		return
	}
	workers, key := c.candidates()
	if c.plan != nil && key == c.planned {
		return
	}
	var services []replica.Service
	for _, s := range c.manifest.Services {
		services = append(services, replica.Service{Name: s.Name, Replicas: s.Replicas, Need: s.Need})
	}
	c.plan = replica.New(services, workers)
	c.planned = key
	c.dirty = true
	for name, n := range c.plan.Short() {
		c.log(Warn, "no room for replicas", "service", name, "missing", n)
	}
}

// candidates returns the zone's workers that replicas may be planned on.
func (c *Controller) candidates() ([]replica.Worker, planKey) {
	var workers []replica.Worker
	var b strings.Builder
	for _, in := range c.listed {
		if in.Role != provider.RoleWorker || in.AvailabilityZone != c.self.AvailabilityZone || in.Status == provider.StatusLeaving {
			continue
		}
		workers = append(workers, replica.Worker{ID: in.ID, Rack: in.Rack, Capacity: in.Capacity})
		b.WriteString(in.ID)
		b.WriteByte('@')
		b.WriteString(in.Rack)
		b.WriteString(strconv.FormatInt(in.Capacity.Processors, 36))
		b.WriteByte(' ')
	}
	return workers, planKey{c.history.Current().Number, b.String()}
}

// placeReplicas starts planned replicas on owned workers and stops others.
func (c *Controller) placeReplicas(now time.Time) {
	c.replan()
	if c.plan == nil {
		return
	}
	for _, h := range c.sorted() {
		if h.phase != granted && h.phase != adopted {
			continue
		}
		if _, _, ok := c.book.Valid(now, h.id); !ok {
			continue
		}
		c.fitReplicas(now, h)
		c.leaveWorker(h)
	}
}

// fitReplicas brings the replicas on a worker in line with the plan.
func (c *Controller) fitReplicas(now time.Time, h *holding) {
	planned := make(map[string]bool)
	for _, name := range c.plan.Worker(h.id) {
		planned[name] = !h.leaving
	}
	c.drainReplicas(now, h, planned)
	for _, s := range c.manifest.Services {
		if !planned[s.Name] || h.replicas[s.Name] != nil {
			continue
		}
		if !s.Need.Fits(h.capacity.Sub(h.used())) {
			c.makeRoom(h, s.Need)
			continue
		}
		c.startReplica(h, s)
	}
}

// drainReplicas takes replicas that aren't planned any more, or not as they
// are, out of the routing table, and stops them once their requests have
// ended. Of a changed service one replica at a time is replaced.
func (c *Controller) drainReplicas(now time.Time, h *holding, planned map[string]bool) {
	for _, p := range sortedAssignments(h.replicas) {
		s, declared := c.service(p.service)
		wanted := planned[p.service] && declared
		switch {
		case p.stage == draining && wanted && p.attempt == version(s):
			p.stage = running
			c.dirty = true
		case p.stage == draining && !now.Before(p.until):
			p.stage = stopping
			c.call(h, Call{Verb: Stop, Epoch: h.epoch, Task: p.id})
		case p.stage != running:
		case !wanted || p.attempt != version(s) && !c.replacing(p.service):
			p.stage = draining
			p.until = now.Add(max(s.Timeout, minDrain))
			c.dirty = true
		}
	}
}

// replacing reports whether a replica of a service is being replaced on an
// owned worker.
func (c *Controller) replacing(service string) bool {
	for _, h := range c.holdings {
		if p := h.replicas[service]; p != nil && p.stage != running {
			return true
		}
	}
	return false
}

func (c *Controller) service(name string) (manifest.Service, bool) {
	for _, s := range c.manifest.Services {
		if s.Name == name {
			return s, true
		}
	}
	return manifest.Service{}, false
}

// version numbers what a replica of a service runs. It is the attempt of the
// replica's task, so that whoever owns the worker can tell an outdated one.
func version(s manifest.Service) uint32 {
	text := fmt.Sprint(s.Need, s.Slots, s.Command)
	return uint32(xxhash.Sum64String(text)>>1) | 1
}

func (c *Controller) startReplica(h *holding, s manifest.Service) {
	spec := provider.TaskSpec{
		ID:      replicaID(s.Name, h.id),
		Kind:    provider.KindService,
		Group:   s.Group,
		Attempt: version(s),
		Need:    s.Need,
		Command: s.Command,
		Slots:   s.Slots,
	}
	h.replicas[s.Name] = &assignment{id: spec.ID, service: s.Name, attempt: spec.Attempt, need: s.Need, spec: spec}
	c.call(h, Call{Verb: Start, Epoch: h.epoch, Spec: spec})
}

// makeRoom evicts the batch tasks that stand in a planned replica's way, the
// youngest attempts first.
func (c *Controller) makeRoom(h *holding, need resource.Vector) {
	if h.phase != adopted {
		return
	}
	free := h.capacity.Sub(h.used())
	victims := sortedAssignments(h.tasks)
	for _, p := range victims {
		if p.stage == stopping {
			free = free.Add(p.need)
		}
	}
	for _, p := range victims {
		if need.Fits(free) {
			return
		}
		if p.stage != running {
			continue
		}
		p.stage = stopping
		free = free.Add(p.need)
		c.log(Info, "evict for replica", "worker", h.id, "task", p.id)
		c.call(h, Call{Verb: Stop, Epoch: h.epoch, Task: p.id, Checkpoint: true})
	}
}

// leaveWorker evicts the batch tasks of a worker that is leaving, so that
// they go on elsewhere from a checkpoint.
func (c *Controller) leaveWorker(h *holding) {
	if !h.leaving || h.phase != adopted {
		return
	}
	for _, p := range sortedAssignments(h.tasks) {
		if p.stage == running {
			p.stage = stopping
			c.call(h, Call{Verb: Stop, Epoch: h.epoch, Task: p.id, Checkpoint: true})
		}
	}
}

// seeReplicas brings the known replicas in line with what the worker holds.
func (c *Controller) seeReplicas(h *holding, tasks []provider.Running) {
	held := make(map[string]bool)
	for _, t := range tasks {
		name, ok := c.serviceOf(h, t)
		if !ok {
			continue
		}
		if t.State != provider.TaskRunning {
			c.call(h, Call{Verb: Acknowledge, Epoch: h.epoch, Tasks: []string{t.ID}})
			continue
		}
		held[name] = true
		p, ok := h.replicas[name]
		if !ok {
			p = &assignment{id: t.ID, service: name, attempt: t.Attempt, need: t.Need}
			h.replicas[name] = p
		}
		if p.stage == starting {
			p.stage = running
		}
	}
	for name, p := range h.replicas {
		if !held[name] && p.stage != starting {
			delete(h.replicas, name)
			c.dirty = true
		}
	}
}

func (c *Controller) serviceOf(h *holding, t provider.Running) (string, bool) {
	if t.Kind != provider.KindService {
		return "", false
	}
	return strings.CutSuffix(t.ID, "/"+h.id)
}

// startedReplica takes the answer to the start of a replica. One that failed
// is tried again.
func (c *Controller) startedReplica(h *holding, in Called) {
	for name, p := range h.replicas {
		if p.id != in.Task || p.stage != starting {
			continue
		}
		if in.Err != nil {
			delete(h.replicas, name)
			continue
		}
		p.stage = running
		c.dirty = true
	}
}

// reservedBeside returns what planned replicas need that don't run yet.
func (c *Controller) reservedBeside(h *holding) resource.Vector {
	var sum resource.Vector
	if c.plan == nil {
		return sum
	}
	for _, s := range c.manifest.Services {
		if h.replicas[s.Name] == nil && slices.Contains(c.plan.Worker(h.id), s.Name) {
			sum = sum.Add(s.Need)
		}
	}
	return sum
}

// publish hands traffic a routing table when something in it changed.
func (c *Controller) publish(now time.Time) {
	if !c.dirty || c.manifest == nil {
		return
	}
	c.dirty = false
	t := &route.Table{
		Instance:         c.self.ID,
		AvailabilityZone: c.self.AvailabilityZone,
		Revision:         c.history.Current().Number,
		Leaving:          c.leaving,
		Services:         make(map[string]route.Service),
		Backends:         make(map[string][]route.Backend),
		Peers:            c.routePeers(),
	}
	for _, s := range c.manifest.Services {
		t.Services[s.Name] = route.Service{
			Name:       s.Name,
			Group:      s.Group,
			Weight:     c.weight(s.Group),
			Timeout:    s.Timeout,
			Idempotent: s.Idempotent,
			Queue:      s.Queue,
		}
	}
	for _, h := range c.sorted() {
		c.addBackends(now, t, h)
	}
	c.do(Publish{Table: t})
}

func (c *Controller) addBackends(now time.Time, t *route.Table, h *holding) {
	epoch, until, ok := c.book.Valid(now, h.id)
	if !ok || h.leaving || (h.phase != granted && h.phase != adopted) {
		return
	}
	for _, s := range c.manifest.Services {
		p := h.replicas[s.Name]
		if p == nil || p.stage != running {
			continue
		}
		t.Backends[s.Name] = append(t.Backends[s.Name], route.Backend{
			Worker:           h.id,
			Address:          h.address,
			AvailabilityZone: c.self.AvailabilityZone,
			Epoch:            epoch,
			Until:            until,
			Slots:            s.Slots,
		})
	}
}

// weight returns a group's part of shared slots.
func (c *Controller) weight(group string) float64 {
	for _, g := range c.manifest.Groups {
		if g.Name == group {
			return max(float64(g.Share.In(c.self.AvailabilityZone).Processors), 1)
		}
	}
	return 1
}
