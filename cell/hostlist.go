package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// hostList is how far the list of workers can be trusted.
//
// What goes wrong: a worker says that it leaves, and an owner that goes by a
// list from before starts tasks on it; they are cut off when it goes. It shows as
// start lines with a list_age of seconds, on workers that are draining. A worker
// gives notice, so an owner whose list is younger than that has seen it. This holds
// in every state that an owner can be in: new, with what an earlier term or the
// record left it; with reads that fail or take long; or after it stood still.
type hostList struct {
	read   bool // this owner has taken one
	newest provider.HostList
	on     map[string]string // ID of the worker that is on the list, by machine
	woke   time.Duration     // when the owner went on after it had stood still
	old    bool              // starts wait for another one
}

// standstill is a time between two inputs after which the owner stood still,
// with its machine or for want of a processor: they come every 10 ms.
const standstill = 500 * time.Millisecond

// awake takes note of an owner that stood still. What it knew is as old as that.
func (c *Cell) awake(now time.Duration) {
	if now-c.now > standstill {
		c.list.woke = now
		c.note("stood still", "for", now-c.now)
	}
}

// trustsList reports whether starts may lean on the list of workers, and notes
// when that changes. The list may be Timing.ListAge older than the last sign that
// the store could be reached. While the store gives no answer to this owner, no newer
// list can be had, and starts go on by the last one until it is as old as
// Timing.RoomAge: by then a worker may have shrunk, which shows as tasks of more than
// its capacity, and any start on it would add to them. What runs goes on.
func (c *Cell) trustsList() bool {
	l := &c.list
	reached := max(l.woke, c.saves.contact)
	trusted := l.read && reached-l.newest.AsOf < c.timing.ListAge && c.now-l.newest.AsOf < c.timing.RoomAge
	if l.old == trusted {
		l.old = !trusted
		event := "starts wait for the list"
		if trusted {
			event = "starts go on"
		}
		c.note(event, "list_age", c.now-l.newest.AsOf)
	}
	return trusted
}

// listed takes the platform's list of workers. One that isn't on it any more
// gets no new tasks, but its runs stay: the list also forgets workers that
// merely can't reach the store. A list from well before this owner's term is
// left aside: a worker that is on it, and on no later one, didn't go off the
// list just now.
func (c *Cell) listed(list provider.HostList) {
	if c.began-list.AsOf >= c.timing.ListAge {
		return
	}
	c.changed = true
	again := c.list.read && c.list.holds(list)
	c.list.read = true
	c.list.newest = list
	if again {
		return
	}
	on := make(map[string]bool, len(list.Hosts))
	c.list.on = make(map[string]string, len(list.Hosts))
	for _, h := range list.Hosts {
		on[h.ID] = true
		if h.Machine != "" {
			c.list.on[h.Machine] = h.ID
		}
		c.updateHost(h)
	}
	for _, w := range c.everyWorker() {
		if w.listed && !on[w.host.ID] {
			w.listed = false
			w.listedUntil = c.now + c.timing.Unlisted
			c.note("worker unlisted", "worker", w.host.ID, "runs", len(w.runs))
		}
	}
	for _, id := range list.Unsound {
		if w := c.workers[id]; w != nil {
			w.listedUntil = c.now // it gets no task from now on
		}
	}
}

// holds reports whether a list is the newest one again, read anew. A worker that
// was found to be lost, and whose entry hasn't lapsed yet, isn't taken up again
// for it. It spares an owner of many workers to look at each three times a second.
func (l *hostList) holds(list provider.HostList) bool {
	a, b := l.newest.Hosts, list.Hosts
	if len(a) != len(b) || !slices.Equal(l.newest.Unsound, list.Unsound) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

func (c *Cell) updateHost(h provider.Host) {
	w := c.workers[h.ID]
	if w == nil {
		w = c.addWorker(h)
		c.note("worker", "worker", h.ID, "born", h.Born, "zone", h.AvailabilityZone, "labels", strings.Join(h.Labels, ","), "draining", h.Draining)
	}
	leaves := h.Draining && !w.host.Draining
	if h.Capacity != w.host.Capacity {
		c.note("worker resized", "worker", h.ID, "from", w.host.Capacity.String(), "to", h.Capacity.String(), "used", w.used.String())
		c.touch(w)
	}
	if w.born != 0 && h.Born != 0 && h.Born != w.born && h.Born != w.host.Born {
		c.suspectRestart(w)
	}
	if h.Service != w.host.Service {
		c.leavePool(w)
		c.joinPool(w, h.Service)
	}
	w.host = h
	w.listed = true
	if leaves {
		c.note("worker draining", "worker", h.ID, "runs", len(w.runs), "left", h.Left)
		c.evacuate(w)
	}
}

// entered reports whether a worker's entry is of the incarnation that answers. The next
// one may have another capacity and other labels.
func (w *worker) entered() bool {
	return w.born == 0 || w.host.Born == 0 || w.host.Born == w.born
}

// relist takes up the worker on the list under the ID of one that was lost, if that is
// another incarnation. The list may have told of it before the loss was noticed.
func (c *Cell) relist(lost *worker) {
	for _, h := range c.list.newest.Hosts {
		if h.ID == lost.host.ID && lost.born != 0 && h.Born != 0 && h.Born != lost.born {
			c.updateHost(h)
		}
	}
}

// onList reports whether a worker is on the list, or went off it a moment ago
// without another worker of its machine having come.
func (c *Cell) onList(w *worker) bool {
	return w.listed || c.now < w.listedUntil && c.list.on[w.host.Machine] == ""
}
