package cell

import (
	"cmp"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Times of questions about machines. The platform takes a few dozen a second
// from all instances together, and each is paid for.
const (
	askAfter = 400 * time.Millisecond // of a worker's silence
	askEvery = 700 * time.Millisecond
)

// askMachines asks the platform what became of workers that are silent. One
// whose machine is off, or carries another worker, runs nothing any more, so its
// tasks needn't wait for the end of its lease.
func (c *Cell) askMachines() {
	if c.asking || c.now-c.askedAt < askEvery || !c.doubts() {
		return
	}
	c.asking = true
	c.askedAt = c.now
	c.do(ListMachines{})
}

// doubts reports whether any worker's silence holds something up.
func (c *Cell) doubts() bool {
	for _, w := range c.everyWorker() {
		if c.doubtful(w) {
			return true
		}
	}
	return false
}

func (c *Cell) doubtful(w *worker) bool {
	if w.misses == 0 || c.now-w.heard < askAfter {
		return false
	}
	_, open := c.survey.open[w]
	return open || len(w.runs) > 0
}

// machines takes the platform's list of machines. It says nothing of a worker
// that was heard after it was asked for: the list may tell of the incarnation
// before, whose end would have this one's tasks started again while they run.
func (c *Cell) machines(in MachineList) {
	c.asking = false
	if in.Err != nil {
		c.note("machines not listed", "err", in.Err)
		return
	}
	by := make(map[string]*provider.Machine, len(in.Machines))
	odd := 0
	for i := range in.Machines {
		m := &in.Machines[i]
		by[m.ID] = m
		if m.State == provider.MachineUnknown {
			odd++
		}
	}
	if odd > 0 {
		c.note("machines not understood", "machines", odd)
	}
	c.noteMachinesDown(in, by)
	for _, w := range c.everyWorker() {
		if c.doubtful(w) && w.host.Machine != "" && w.heard < in.Sent {
			c.judgeMachine(w, cmp.Or(by[w.host.Machine], by[""]))
		}
	}
}

func (c *Cell) judgeMachine(w *worker, m *provider.Machine) {
	reason := whyDown(w, m)
	switch {
	case reason != "":
		c.lose(w, reason)
	case m.State == provider.MachineUnknown:
		// nothing is known of it
	case !w.vouched:
		w.vouched = true
		c.note("machine up", "worker", w.host.ID, "machine", m.ID, "silent", c.now-w.heard)
	}
}

// whyDown tells why a worker is down by what the platform says of its
// machine; it is empty where that doesn't follow.
func whyDown(w *worker, m *provider.Machine) string {
	switch {
	case m == nil:
		return "machine is gone"
	case m.State == provider.MachineUnknown:
		return ""
	case m.Host != "" && m.Host != w.host.ID:
		return "machine carries another worker"
	case m.State != provider.MachineUp:
		return "machine isn't up"
	}
	return ""
}
