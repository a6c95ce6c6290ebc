package controller

import (
	"fmt"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// Bounds on what Status and Dump list.
const (
	maxListed = 500
)

// Status is what an operator sees of an instance and its zone.
type Status struct {
	Instance         string          `json:"instance"`
	AvailabilityZone string          `json:"zone"`
	Revision         uint64          `json:"revision"`
	Ready            bool            `json:"ready"`
	Behind           string          `json:"behind"` // since the log's tail was read
	Isolated         bool            `json:"isolated"`
	Waiting          int             `json:"waiting"` // records not read back yet
	Groups           []GroupStatus   `json:"groups"`
	Workers          []WorkerStatus  `json:"workers"`
	Members          []member.Member `json:"members"`
	Parked           []TaskStatus    `json:"parked,omitempty"`
	Recovering       []string        `json:"recovering,omitempty"` // fenced instances whose tasks aren't settled
}

// GroupStatus is a group's batch work in the zone.
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

// Status returns what an operator sees.
func (c *Controller) Status(now time.Time) Status {
	s := Status{
		Instance:         c.self.ID,
		AvailabilityZone: c.self.AvailabilityZone,
		Revision:         c.history.Current().Number,
		Ready:            c.follow.Ready(),
		Behind:           now.Sub(c.follow.Tail()).Round(time.Millisecond).String(),
		Isolated:         c.members.Isolated(),
		Waiting:          c.out.Waiting(),
		Members:          c.members.Members(),
	}
	for _, h := range c.sorted() {
		s.Workers = append(s.Workers, c.workerStatus(h))
	}
	if c.State() == nil {
		return s
	}
	for name, g := range c.State().Groups() {
		s.Groups = append(s.Groups, GroupStatus{name, g})
	}
	for t := range c.State().Parked() {
		if len(s.Parked) < maxListed {
			s.Parked = append(s.Parked, TaskStatus{t.ID, t.Reason})
		}
	}
	for r := range c.State().Recoveries() {
		s.Recovering = append(s.Recovering, r.Instance.ID)
	}
	return s
}

func (c *Controller) workerStatus(h *holding) WorkerStatus {
	w := WorkerStatus{
		ID:       h.id,
		Epoch:    h.epoch,
		Owned:    h.phase == granted || h.phase == adopted,
		Capacity: h.capacity,
		Used:     h.used(),
		Tasks:    len(h.tasks),
		Replicas: len(h.replicas),
	}
	if c.State() == nil {
		return w
	}
	if known, ok := c.State().Worker(h.id); ok {
		w.Owner = known.Owner
		w.Quarantined = known.Quarantined
	}
	return w
}

// Revision returns the configuration revision in force here.
func (c *Controller) Revision() uint64 {
	return c.history.Current().Number
}

// Manifest returns the configuration in force here.
func (c *Controller) Manifest() ([]byte, uint64) {
	return c.history.Current().Manifest, c.history.Current().Number
}

// Missing returns the instances that aren't known to hold a revision.
func (c *Controller) Missing(revision uint64) []string {
	if c.history.Current().Number < revision {
		return append(c.members.Missing(revision), c.self.ID)
	}
	return c.members.Missing(revision)
}

// Dump returns the controller's state as readable text.
func (c *Controller) Dump(now time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# instance\nid=%s zone=%s incarnation=%d revision=%d leaving=%v\n",
		c.self.ID, c.self.AvailabilityZone, c.self.Incarnation, c.history.Current().Number, c.leaving)
	fmt.Fprintf(&b, "ready=%v next=%d behind=%v waiting=%d damaged=%d gaps=%d newer=%d\n",
		c.follow.Ready(), c.follow.Next(), now.Sub(c.follow.Tail()).Round(time.Millisecond), c.out.Waiting(),
		c.follow.Damaged(), c.follow.Gaps(), c.follow.Newer())
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
	for _, h := range c.sorted() {
		_, until, ok := c.book.Valid(now, h.id)
		fmt.Fprintf(b, "id=%s phase=%v epoch=%d valid=%v for=%v tasks=%d replicas=%d used=%q busy=%v calls=%d\n",
			h.id, h.phase, h.epoch, ok, until.Sub(now).Round(time.Millisecond), len(h.tasks), len(h.replicas), h.used(), h.busy, len(h.queue))
		for i, p := range sortedAssignments(h.tasks) {
			if i == maxListed {
				fmt.Fprintf(b, "  and %d more\n", len(h.tasks)-i)
				break
			}
			fmt.Fprintf(b, "  task=%s attempt=%d stage=%v checkpoint=%q\n", p.id, p.attempt, p.stage, p.spec.Checkpoint)
		}
	}
}

func ago(now, then time.Time) string {
	if then.IsZero() {
		return "never"
	}
	return now.Sub(then).Round(time.Millisecond).String()
}
