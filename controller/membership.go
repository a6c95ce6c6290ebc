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
		member.WithHeartbeat(c.timing.Heartbeat),
		member.WithSuspicion(c.timing.Suspicion),
	)
}

func (c *Controller) newBook() *lease.Book {
	return lease.New(
		lease.WithHolder(c.self.ID),
		lease.WithTTL(c.timing.Lease),
		lease.WithTasks(c.timing.Task),
		lease.WithDrift(c.timing.Drift),
		lease.WithIsolation(c.timing.Isolation),
	)
}

func (c *Controller) hear(now time.Time, h member.Heartbeat) {
	switch c.members.Heard(now, h) {
	case member.Rejected:
		return
	case member.Replaced:
		c.log(Warn, "replaced by a newer run", "incarnation", h.Incarnation)
		c.leave(now)
		return
	}
	if h.Revision > c.history.Current().Number && c.due(now, "config") {
		c.do(Send{To: h.ID, Message: message.ConfigRequest{Revision: h.Revision}})
	}
	c.dirty = true
}

func (c *Controller) unlink(now time.Time, in Unlinked) {
	if in.Refused {
		c.members.Lost(now, in.ID)
	}
}

// beat sends heartbeats to the members that are due one, and links with all.
func (c *Controller) beat(now time.Time) {
	due := c.members.Due(now, c.history.Current().Number)
	if len(due) > 0 {
		h := c.members.Heartbeat(c.self.Address, c.history.Current().Number, digest(c.history.Current()), c.free)
		for _, id := range due {
			c.do(Send{To: id, Message: message.Heartbeat(h)})
		}
	}
	c.link()
}

// link says whom to hold links with, when that changed.
func (c *Controller) link() {
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
	c.do(Link{Peers: peers})
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
			Heard:            m.Heard,
		})
	}
	return peers
}

// alive reports whether a run of an instance is believed to be in service.
func (c *Controller) alive(w record.Writer) bool {
	for _, m := range c.members.Members() {
		if m.ID != w.ID {
			continue
		}
		if m.State == member.Dead || m.State == member.Left || m.State == member.Unknown {
			return false
		}
		return m.Incarnation == 0 || m.Incarnation == w.Incarnation
	}
	return false
}

// leave starts a planned stop: no new work is taken, and the workers go to
// the instances that should own them without this one.
func (c *Controller) leave(now time.Time) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.dirty = true
	c.members.Leave()
	c.tick(now)
}

// returnUnstarted gives back the escrowed tasks that are on no worker, those
// of claims that were under way when the stop began included.
func (c *Controller) returnUnstarted() {
	if !c.leaving {
		return
	}
	for t := range c.State().Escrow(c.self.ID) {
		a := attemptOf(t)
		if c.mine(t) && c.placed[a] == nil {
			c.endAttempt(a, record.Record{Return: &record.Return{Tasks: []string{t.ID}}})
		}
	}
}

// lastInstance reports whether this instance is leaving and nobody of its
// zone is left to take its workers. It keeps them then: their tasks go on
// until the task leases end, and whoever comes in time adopts them.
func (c *Controller) lastInstance() bool {
	return c.leaving && len(c.others()) == 0
}

// finishLeaving reports the end of a planned stop once nothing is held and
// all that was written has been read back.
func (c *Controller) finishLeaving(now time.Time) {
	if !c.leaving || c.left || c.out.Waiting() > 0 {
		return
	}
	if c.lastInstance() {
		c.left = true
		c.do(Left{At: now})
		return
	}
	for _, h := range c.holdings {
		if h.phase != unowned {
			return
		}
	}
	if c.State() != nil {
		for t := range c.State().Escrow(c.self.ID) {
			if c.mine(t) {
				return
			}
		}
	}
	c.left = true
	c.do(Left{At: now})
}
