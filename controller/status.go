package controller

import (
	"fmt"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

const (
	maxListed = 500 // entries of one kind in Status and Dump
)

// Status is the operator's view of an instance and its zone.
type Status struct {
	Instance         string          `json:"instance"`
	AvailabilityZone string          `json:"zone"`
	Revision         uint64          `json:"revision"`
	Ready            bool            `json:"ready"`
	Behind           string          `json:"behind"` // time since the log's tail was read
	Isolated         bool            `json:"isolated"`
	Waiting          int             `json:"waiting"` // own records not yet read back
	Groups           []GroupStatus   `json:"groups"`
	Workers          []WorkerStatus  `json:"workers"`
	Members          []member.Member `json:"members"`
	Parked           []TaskStatus    `json:"parked,omitempty"`
	Recovering       []string        `json:"recovering,omitempty"` // fenced instances whose tasks aren't settled
}

// GroupStatus summarizes a group's batch work in the zone.
type GroupStatus struct {
	Name  string     `json:"name"`
	Group zone.Group `json:"group"`
}

// WorkerStatus is one worker as this instance sees it.
type WorkerStatus struct {
	ID          string          `json:"id"`
	Owner       string          `json:"owner"`
	Epoch       uint64          `json:"epoch"`
	Owned       bool            `json:"owned"` // by this instance
	Capacity    resource.Vector `json:"capacity"`
	Used        resource.Vector `json:"used"`
	Tasks       int             `json:"tasks"`
	Replicas    int             `json:"replicas"`
	Quarantined bool            `json:"quarantined,omitempty"`
}

// TaskStatus is a task that needs an operator's attention.
type TaskStatus struct {
	ID     string `json:"id"`
	Reason string `json:"reason"`
}

// Status returns the operator's view of this instance and its zone.
func (c *Controller) Status(now time.Time) Status {
	s := Status{
		Instance:         c.self.ID,
		AvailabilityZone: c.self.AvailabilityZone,
		Revision:         c.revisions.Current().Number,
		Ready:            c.follower.Ready(),
		Behind:           now.Sub(c.follower.TailReadAt()).Round(time.Millisecond).String(),
		Isolated:         c.members.Isolated(),
		Waiting:          c.appender.PendingCount(),
		Members:          c.members.Members(),
	}
	for _, w := range c.sortedWorkers() {
		s.Workers = append(s.Workers, c.workerStatus(w))
	}
	if c.State() == nil {
		return s
	}
	for name, g := range c.State().Groups() {
		s.Groups = append(s.Groups, GroupStatus{name, g})
	}
	for t := range c.State().ParkedTasks() {
		if len(s.Parked) < maxListed {
			s.Parked = append(s.Parked, TaskStatus{t.ID, t.Reason})
		}
	}
	for r := range c.State().Recoveries() {
		s.Recovering = append(s.Recovering, r.Instance.ID)
	}
	return s
}

func (c *Controller) workerStatus(w *worker) WorkerStatus {
	status := WorkerStatus{
		ID:       w.id,
		Epoch:    w.epoch,
		Owned:    w.phase == granted || w.phase == adopted,
		Capacity: w.capacity,
		Used:     w.used(),
		Tasks:    len(w.tasks),
		Replicas: len(w.replicas),
	}
	if c.State() == nil {
		return status
	}
	if known, ok := c.State().Worker(w.id); ok {
		status.Owner = known.Owner
		status.Quarantined = known.Quarantined
	}
	return status
}

// Revision returns the configuration revision in force here.
func (c *Controller) Revision() uint64 {
	return c.revisions.Current().Number
}

// Manifest returns the configuration in force here.
func (c *Controller) Manifest() ([]byte, uint64) {
	return c.revisions.Current().Manifest, c.revisions.Current().Number
}

// InstancesWithout returns the instances that aren't known to have a revision.
func (c *Controller) InstancesWithout(revision uint64) []string {
	if c.revisions.Current().Number < revision {
		return append(c.members.MembersBehind(revision), c.self.ID)
	}
	return c.members.MembersBehind(revision)
}

// Dump returns the controller's state as human-readable text.
func (c *Controller) Dump(now time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# instance\nid=%s zone=%s incarnation=%d revision=%d leaving=%v\n",
		c.self.ID, c.self.AvailabilityZone, c.self.Incarnation, c.revisions.Current().Number, c.leaving)
	fmt.Fprintf(&b, "ready=%v next=%d behind=%v waiting=%d damaged=%d gaps=%d newer=%d\n",
		c.follower.Ready(), c.follower.Next(), now.Sub(c.follower.TailReadAt()).Round(time.Millisecond), c.appender.PendingCount(),
		c.follower.DamagedCount(), c.follower.GapCount(), c.follower.NewerVersion())
	c.dumpMembers(&b, now)
	c.dumpHoldings(&b, now)
	if c.State() != nil {
		fmt.Fprintf(&b, "\n# zone\n%s", c.State().Dump())
	}
	return b.String()
}

func (c *Controller) dumpMembers(b *strings.Builder, now time.Time) {
	b.WriteString("\n# members\n")
	for _, m := range c.members.Members() {
		fmt.Fprintf(b, "id=%s zone=%s state=%v incarnation=%d revision=%d address=%s heard=%v listed=%v\n",
			m.ID, m.AvailabilityZone, m.State, m.Incarnation, m.Revision, m.Address, ago(now, m.Heard), m.Listed)
	}
}

func (c *Controller) dumpHoldings(b *strings.Builder, now time.Time) {
	b.WriteString("\n# workers\n")
	for _, w := range c.sortedWorkers() {
		_, until, ok := c.leases.Valid(now, w.id)
		fmt.Fprintf(b, "id=%s phase=%v epoch=%d valid=%v for=%v tasks=%d replicas=%d used=%q busy=%v calls=%d\n",
			w.id, w.phase, w.epoch, ok, until.Sub(now).Round(time.Millisecond), len(w.tasks), len(w.replicas), w.used(), w.callInFlight, len(w.callQueue))
		for i, a := range sortedAssignments(w.tasks) {
			if i == maxListed {
				fmt.Fprintf(b, "  and %d more\n", len(w.tasks)-i)
				break
			}
			fmt.Fprintf(b, "  task=%s attempt=%d stage=%v checkpoint=%q\n", a.id, a.attempt, a.stage, a.spec.Checkpoint)
		}
	}
}

func ago(now, then time.Time) string {
	if then.IsZero() {
		return "never"
	}
	return now.Sub(then).Round(time.Millisecond).String()
}
