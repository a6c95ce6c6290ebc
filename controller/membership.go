package controller

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/lease"
	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/message"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/route"
)

func (c *Controller) newMembers() *member.Table {
	return member.New(
		member.Self{ID: c.self.ID, AvailabilityZone: c.self.AvailabilityZone, Incarnation: c.self.Incarnation},
		member.WithHeartbeat(c.timing.HeartbeatInterval),
		member.WithSuspicion(c.timing.SuspicionTimeout),
	)
}

func (c *Controller) newLeaseTable() *lease.Table {
	return lease.New(
		lease.WithHolder(c.self.ID),
		lease.WithTTL(c.timing.WorkerLease),
		lease.WithTaskTTL(c.timing.TaskLease),
		lease.WithMaxDrift(c.timing.MaxDrift),
		lease.WithIsolationBound(c.timing.MaxIsolation),
	)
}

func (c *Controller) handleHeartbeat(now time.Time, h member.Heartbeat) {
	switch c.members.HandleHeartbeat(now, h) {
	case member.Rejected:
		return
	case member.Replaced:
		c.logEvent(Warn, "replaced by a newer incarnation", "incarnation", h.Incarnation)
		c.handleLeave(now)
		return
	}
	if h.Revision > c.revisions.Current().Number && c.allowAction(now, "config") {
		c.emit(Send{To: h.ID, Message: message.ConfigRequest{Revision: h.Revision}})
	}
	c.routesDirty = true
}

func (c *Controller) handleUnlinked(now time.Time, in Unlinked) {
	if in.Refused {
		c.members.HandleRefused(now, in.ID)
	}
}

// sendHeartbeats sends the heartbeats that are due and updates the links.
func (c *Controller) sendHeartbeats(now time.Time) {
	due := c.members.Due(now, c.revisions.Current().Number)
	if len(due) > 0 {
		h := c.members.Heartbeat(c.self.Address, c.revisions.Current().Number, formatDigest(c.revisions.Current()), c.freeSlots)
		for _, id := range due {
			c.emit(Send{To: id, Message: message.Heartbeat(h)})
		}
	}
	c.updateLinks()
}

// updateLinks emits the instances to keep links with when they changed.
func (c *Controller) updateLinks() {
	var peers []message.Peer
	for _, m := range c.members.Members() {
		if m.ID == c.self.ID || m.Address == "" {
			continue
		}
		peers = append(peers, message.Peer{ID: m.ID, Address: m.Address, AvailabilityZone: m.AvailabilityZone})
	}
	if samePeers(peers, c.peers) {
		return
	}
	c.peers = peers
	c.emit(Link{Peers: peers})
}

func samePeers(a, b []message.Peer) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// routePeers returns the instances that requests may be forwarded to.
func (c *Controller) routePeers() []route.Peer {
	var peers []route.Peer
	for _, m := range c.members.Members() {
		if m.ID == c.self.ID || m.State != member.Live || m.Address == "" {
			continue
		}
		peers = append(peers, route.Peer{
			ID:               m.ID,
			Address:          m.Address,
			AvailabilityZone: m.AvailabilityZone,
			Free:             m.Free,
			LastContact:      m.Heard,
		})
	}
	return peers
}

// isAlive reports whether an incarnation of an instance is considered in
// service.
func (c *Controller) isAlive(writer record.Writer) bool {
	for _, m := range c.members.Members() {
		if m.ID != writer.ID {
			continue
		}
		if m.State == member.Dead || m.State == member.Left || m.State == member.Unknown {
			return false
		}
		return m.Incarnation == 0 || m.Incarnation == writer.Incarnation
	}
	return false
}

// handleLeave starts a planned shutdown: the instance takes no new work and
// hands its workers to the instances that should own them without it.
func (c *Controller) handleLeave(now time.Time) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.routesDirty = true
	c.members.BeginLeave()
	c.handleTick(now)
}

// returnUnstartedTasks returns the escrowed tasks that are assigned to no
// worker, including those of claims that were in flight when the shutdown
// began.
func (c *Controller) returnUnstartedTasks() {
	if !c.leaving {
		return
	}
	for t := range c.State().Escrow(c.self.ID) {
		attempt := attemptOf(t)
		if c.isOwnEscrow(t) && c.workerByAttempt[attempt] == nil {
			c.appendAttemptEnd(attempt, record.Record{Return: &record.Return{Tasks: []string{t.ID}}})
		}
	}
}

// isLastInstance reports whether this instance is leaving and its zone has no
// other instance to take the workers. It then keeps them: their tasks run on
// until the task leases end, and an instance that starts before that adopts
// them.
func (c *Controller) isLastInstance() bool {
	return c.leaving && len(c.otherInstances()) == 0
}

// finishLeaving emits Left once no worker is held and all written records have
// been read back.
func (c *Controller) finishLeaving(now time.Time) {
	if !c.leaving || c.left || c.appender.PendingCount() > 0 {
		return
	}
	if c.isLastInstance() {
		c.left = true
		c.emit(Left{At: now})
		return
	}
	for _, w := range c.workers {
		if w.phase != unowned {
			return
		}
	}
	if c.State() != nil {
		for t := range c.State().Escrow(c.self.ID) {
			if c.isOwnEscrow(t) {
				return
			}
		}
	}
	c.left = true
	c.emit(Left{At: now})
}
