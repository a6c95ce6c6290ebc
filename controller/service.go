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

// minDrain is the minimum time between the removal of a replica from the
// routing table and its stop.
const minDrain = 2 * time.Second

// planKey identifies the inputs of the replica plan, to detect that the plan
// is out of date.
type planKey struct {
	revision uint64
	workers  string
}

// replicaID returns the task ID of a service's replica on a worker. It
// contains the worker's ID, so that no two workers ever run the same task.
func replicaID(service, worker string) string {
	return service + "/" + worker
}

// updatePlan recomputes the replica plan when its inputs changed.
func (c *Controller) updatePlan() {
	if c.manifest == nil {
		return
	}
	workers, key := c.replicaWorkers()
	if c.plan != nil && key == c.planInputs {
		return
	}
	var services []replica.Service
	for _, s := range c.manifest.Services {
		services = append(services, replica.Service{Name: s.Name, Replicas: s.Replicas, Need: s.Need})
	}
	c.plan = replica.New(services, workers)
	c.planInputs = key
	c.routesDirty = true
	for name, n := range c.plan.Missing() {
		c.logEvent(Warn, "no capacity for replicas", "service", name, "missing", n)
	}
}

// replicaWorkers returns the zone's workers that can run replicas, and the key
// of the plan's inputs.
func (c *Controller) replicaWorkers() ([]replica.Worker, planKey) {
	var workers []replica.Worker
	var b strings.Builder
	for _, in := range c.instances {
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
	return workers, planKey{c.revisions.Current().Number, b.String()}
}

// reconcileReplicas starts planned replicas on owned workers, drains the
// others, and evicts batch tasks from leaving workers.
func (c *Controller) reconcileReplicas(now time.Time) {
	c.updatePlan()
	if c.plan == nil {
		return
	}
	for _, w := range c.sortedWorkers() {
		if w.phase != granted && w.phase != adopted {
			continue
		}
		if _, _, ok := c.leases.Valid(now, w.id); !ok {
			continue
		}
		c.reconcileWorkerReplicas(now, w)
		c.evictFromLeaving(w)
	}
}

// reconcileWorkerReplicas brings the replicas on a worker in line with the
// plan.
func (c *Controller) reconcileWorkerReplicas(now time.Time, w *worker) {
	planned := make(map[string]bool)
	for _, name := range c.plan.ServicesOn(w.id) {
		planned[name] = !w.leaving
	}
	c.drainReplicas(now, w, planned)
	for _, s := range c.manifest.Services {
		if !planned[s.Name] || w.replicas[s.Name] != nil {
			continue
		}
		if !s.Need.Fits(w.capacity.Sub(w.used())) {
			c.evictForReplica(w, s.Need)
			continue
		}
		c.startReplica(w, s)
	}
}

// drainReplicas removes replicas from the routing table that aren't planned
// any more or run an outdated version, and stops them once their requests have
// ended. Of a changed service one replica at a time is replaced.
func (c *Controller) drainReplicas(now time.Time, w *worker, planned map[string]bool) {
	for _, a := range sortedAssignments(w.replicas) {
		s, declared := c.findService(a.service)
		wanted := planned[a.service] && declared
		switch {
		case a.stage == draining && wanted && a.attempt == serviceVersion(s):
			a.stage = running
			c.routesDirty = true
		case a.stage == draining && !now.Before(a.drainUntil):
			a.stage = stopping
			c.enqueueCall(w, Call{Verb: Stop, Epoch: w.epoch, Task: a.id})
		case a.stage != running:
		case !wanted || a.attempt != serviceVersion(s) && !c.isReplacing(a.service):
			a.stage = draining
			a.drainUntil = now.Add(max(s.Timeout, minDrain))
			c.routesDirty = true
		}
	}
}

// isReplacing reports whether a replica of a service is being replaced on an
// owned worker.
func (c *Controller) isReplacing(service string) bool {
	for _, w := range c.workers {
		if a := w.replicas[service]; a != nil && a.stage != running {
			return true
		}
	}
	return false
}

func (c *Controller) findService(name string) (manifest.Service, bool) {
	for _, s := range c.manifest.Services {
		if s.Name == name {
			return s, true
		}
	}
	return manifest.Service{}, false
}

// serviceVersion returns a hash of what a replica of a service runs. It is the
// attempt number of the replica's task, so that any owner of the worker can
// detect an outdated replica.
func serviceVersion(s manifest.Service) uint32 {
	text := fmt.Sprint(s.Need, s.Slots, s.Command)
	return uint32(xxhash.Sum64String(text)>>1) | 1
}

func (c *Controller) startReplica(w *worker, s manifest.Service) {
	spec := provider.TaskSpec{
		ID:      replicaID(s.Name, w.id),
		Kind:    provider.KindService,
		Group:   s.Group,
		Attempt: serviceVersion(s),
		Need:    s.Need,
		Command: s.Command,
		Slots:   s.Slots,
	}
	w.replicas[s.Name] = &assignment{id: spec.ID, service: s.Name, attempt: spec.Attempt, need: s.Need, spec: spec}
	c.enqueueCall(w, Call{Verb: Start, Epoch: w.epoch, Spec: spec})
}

// evictForReplica evicts batch tasks, in order of their IDs, until a planned
// replica fits the worker.
func (c *Controller) evictForReplica(w *worker, need resource.Vector) {
	if w.phase != adopted {
		return
	}
	free := w.capacity.Sub(w.used())
	victims := sortedAssignments(w.tasks)
	for _, a := range victims {
		if a.stage == stopping {
			free = free.Add(a.need)
		}
	}
	for _, a := range victims {
		if need.Fits(free) {
			return
		}
		if a.stage != running {
			continue
		}
		a.stage = stopping
		free = free.Add(a.need)
		c.logEvent(Info, "evicted for replica", "worker", w.id, "task", a.id)
		c.enqueueCall(w, Call{Verb: Stop, Epoch: w.epoch, Task: a.id, Checkpoint: true})
	}
}

// evictFromLeaving evicts the batch tasks of a leaving worker, so that they
// continue elsewhere from a checkpoint.
func (c *Controller) evictFromLeaving(w *worker) {
	if !w.leaving || w.phase != adopted {
		return
	}
	for _, a := range sortedAssignments(w.tasks) {
		if a.stage == running {
			a.stage = stopping
			c.enqueueCall(w, Call{Verb: Stop, Epoch: w.epoch, Task: a.id, Checkpoint: true})
		}
	}
}

// syncReplicas updates the known replicas from the list of tasks that the
// worker holds.
func (c *Controller) syncReplicas(w *worker, tasks []provider.TaskStatus) {
	held := make(map[string]bool)
	for _, t := range tasks {
		name, ok := c.replicaService(w, t)
		if !ok {
			continue
		}
		if t.State != provider.TaskRunning {
			c.enqueueCall(w, Call{Verb: Acknowledge, Epoch: w.epoch, Tasks: []string{t.ID}})
			continue
		}
		held[name] = true
		a, ok := w.replicas[name]
		if !ok {
			a = &assignment{id: t.ID, service: name, attempt: t.Attempt, need: t.Need}
			w.replicas[name] = a
		}
		if a.stage == starting {
			a.stage = running
		}
	}
	for name, a := range w.replicas {
		if !held[name] && a.stage != starting {
			delete(w.replicas, name)
			c.routesDirty = true
		}
	}
}

func (c *Controller) replicaService(w *worker, t provider.TaskStatus) (string, bool) {
	if t.Kind != provider.KindService {
		return "", false
	}
	return strings.CutSuffix(t.ID, "/"+w.id)
}

// handleReplicaStarted handles the answer to the start of a replica. A failed
// start is retried by the next reconciliation.
func (c *Controller) handleReplicaStarted(w *worker, in Called) {
	for name, a := range w.replicas {
		if a.id != in.Task || a.stage != starting {
			continue
		}
		if in.Err != nil {
			delete(w.replicas, name)
			continue
		}
		a.stage = running
		c.routesDirty = true
	}
}

// pendingReplicaNeed returns the need of the planned replicas that don't run
// yet.
func (c *Controller) pendingReplicaNeed(w *worker) resource.Vector {
	var sum resource.Vector
	if c.plan == nil {
		return sum
	}
	for _, s := range c.manifest.Services {
		if w.replicas[s.Name] == nil && slices.Contains(c.plan.ServicesOn(w.id), s.Name) {
			sum = sum.Add(s.Need)
		}
	}
	return sum
}

// publishRoutes emits a new routing table when something in it changed.
func (c *Controller) publishRoutes(now time.Time) {
	if !c.routesDirty || c.manifest == nil {
		return
	}
	c.routesDirty = false
	t := &route.Table{
		Instance:         c.self.ID,
		AvailabilityZone: c.self.AvailabilityZone,
		Revision:         c.revisions.Current().Number,
		Leaving:          c.leaving,
		Services:         make(map[string]route.Service),
		Backends:         make(map[string][]route.Backend),
		Peers:            c.routePeers(),
	}
	for _, s := range c.manifest.Services {
		t.Services[s.Name] = route.Service{
			Name:       s.Name,
			Group:      s.Group,
			Weight:     c.groupWeight(s.Group),
			Timeout:    s.Timeout,
			Idempotent: s.Idempotent,
			MaxQueue:   s.Queue,
		}
	}
	for _, w := range c.sortedWorkers() {
		c.addBackends(now, t, w)
	}
	c.emit(Publish{Table: t})
}

func (c *Controller) addBackends(now time.Time, t *route.Table, w *worker) {
	epoch, until, ok := c.leases.Valid(now, w.id)
	if !ok || w.leaving || (w.phase != granted && w.phase != adopted) {
		return
	}
	for _, s := range c.manifest.Services {
		a := w.replicas[s.Name]
		if a == nil || a.stage != running {
			continue
		}
		t.Backends[s.Name] = append(t.Backends[s.Name], route.Backend{
			Worker:           w.id,
			Address:          w.address,
			AvailabilityZone: c.self.AvailabilityZone,
			Epoch:            epoch,
			LeaseUntil:       until,
			Slots:            s.Slots,
		})
	}
}

// groupWeight returns a group's weight in the sharing of slots.
func (c *Controller) groupWeight(group string) float64 {
	for _, g := range c.manifest.Groups {
		if g.Name == group {
			return max(float64(g.Share.In(c.self.AvailabilityZone).Processors), 1)
		}
	}
	return 1
}
