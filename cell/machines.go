package cell

import (
	"cmp"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Intervals of requests for the list of machines. The platform accepts a few dozen
// requests a second from all instances together, and each of them costs money.
const (
	silenceBeforeQuery  = 400 * time.Millisecond
	machineListInterval = 700 * time.Millisecond
)

// requestMachineList asks the platform about the machines of silent workers. A worker
// whose machine is off, or runs another worker, has no running tasks, so its tasks needn't
// wait for its lease to expire.
func (c *Cell) requestMachineList() {
	if c.machineListInFlight || c.now-c.lastMachineListAt < machineListInterval || !c.anyNeedsMachineCheck() {
		return
	}
	c.machineListInFlight = true
	c.lastMachineListAt = c.now
	c.emit(ListMachines{})
}

// anyNeedsMachineCheck reports whether the state of any worker's machine is needed.
func (c *Cell) anyNeedsMachineCheck() bool {
	for _, w := range c.everyWorker() {
		if c.needsMachineCheck(w) {
			return true
		}
	}
	for id, starts := range c.unresolvedStarts {
		if c.needsMachineOf(id, starts) {
			return true
		}
	}
	return false
}

// needsMachineCheck reports whether an upkeep may have ended a worker, or it has been silent
// for long enough to ask about its machine, and holds up runs, the survey or other tasks.
func (c *Cell) needsMachineCheck(w *worker) bool {
	if w.upkeepAt > 0 {
		return true
	}
	if w.missedHolds == 0 || c.now-w.lastContact < silenceBeforeQuery {
		return false
	}
	_, pending := c.survey.pending[w]
	_, awaited := c.strays.awaited[w.host.ID]
	return pending || awaited || len(w.runs) > 0
}

// handleListMachinesReply applies the platform's list of machines. The list is ignored for a
// worker that answered after the request was sent: it may describe the previous
// incarnation, and losing the worker for that would start its tasks again while they run.
// It is also ignored if an upkeep of the machine was confirmed since.
func (c *Cell) handleListMachinesReply(in ListMachinesReply) {
	c.machineListInFlight = false
	if in.Err != nil {
		c.logEvent("list of machines unavailable", "err", in.Err)
		return
	}
	byMachine := make(map[string]*provider.Machine, len(in.Machines))
	unknown := 0
	for i := range in.Machines {
		m := &in.Machines[i]
		byMachine[m.ID] = m
		if m.State == provider.MachineUnknown {
			unknown++
		}
	}
	if unknown > 0 {
		c.logEvent("machines not understood", "machines", unknown)
	}
	c.recordMachinesDown(in, byMachine)
	find := func(w *worker) *provider.Machine { return cmp.Or(byMachine[w.host.Machine], byMachine[""]) }
	c.resolveDownStarts(in, find)
	for _, w := range c.everyWorker() {
		if c.needsMachineCheck(w) && w.host.Machine != "" && w.lastContact < in.Sent && w.upkeepAt <= in.Sent {
			c.checkMachine(w, find(w), in.Sent)
		}
	}
}

// checkMachine loses a worker whose machine was down when the list was requested.
func (c *Cell) checkMachine(w *worker, m *provider.Machine, listedAt time.Duration) {
	reason := downReason(w, m)
	switch {
	case reason == machineDown && c.mayReceiveStart(w, listedAt):
		// it may be back under its ID before the start arrives
	case reason == machineDown && c.isOnlyAwaited(w):
		// the next list may tell that it is gone
	case reason != "":
		c.loseWorker(w, reason, listedAt)
	case m.State == provider.MachineUnknown:
		// the list doesn't tell whether it is up
	case !w.machineUp:
		w.machineUp = true
		c.logEvent("machine up", "worker", w.host.ID, "machine", m.ID, "silent", c.now-w.lastContact)
	}
}

// isOnlyAwaited reports whether a silent worker holds up other tasks alone, and has no runs to give up.
func (c *Cell) isOnlyAwaited(w *worker) bool {
	_, pending := c.survey.pending[w]
	_, awaited := c.strays.awaited[w.host.ID]
	return awaited && !pending && len(w.runs) == 0
}

// machineDown is the reason for which a worker is down that may come back under its ID.
const machineDown = "machine isn't up"

// downReason returns why a worker must be down according to its machine's entry, or an
// empty string if it may be up. A nil machine isn't on the list.
func downReason(w *worker, m *provider.Machine) string {
	switch {
	case m == nil:
		return "machine is gone"
	case m.State == provider.MachineUnknown:
		return ""
	case m.Host != "" && m.Host != w.host.ID:
		return "machine runs another worker"
	case m.State != provider.MachineUp:
		return machineDown
	}
	return ""
}
