package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// hostList tracks how fresh the list of workers is. A worker that leaves gives notice on
// the list; an owner with a stale list would start tasks on it that are cut off when it
// goes, which shows in the log as starts on draining workers with a list_age of seconds.
// An owner with a list younger than the notice period has seen the notice. This has to
// hold in every state of the owner: when it is new and knows the workers from an earlier
// term or from the record, when reads of the list fail or take long, and after it was
// frozen.
type hostList struct {
	received    bool // this owner has received a list
	latest      provider.HostList
	idByMachine map[string]string // ID of the listed worker, by machine
	resumedAt   time.Duration     // when the owner last resumed after a freeze
	stale       bool              // starts wait for a newer list

	lastRenewal    time.Duration // when an entry was last written again without a change
	availableSince time.Duration // since when no outage of the store was noticed
	lastVouched    time.Duration // as of when entries that aren't renewed held before that
}

// freezeThreshold is the time between two inputs above which the owner counts as frozen,
// with its machine or for lack of processor time. Inputs normally come every 10 ms.
const freezeThreshold = 500 * time.Millisecond

// detectFreeze records that the owner was frozen. All its knowledge is at least as old as
// the freeze.
func (c *Cell) detectFreeze(now time.Duration) {
	if now-c.now > freezeThreshold {
		c.hosts.resumedAt = now
		c.logEvent("stood still", "for", now-c.now)
	}
}

// checkListFresh reports whether the list of workers is fresh enough to start tasks by,
// and logs when that changes. The list may be up to Timing.MaxListAge older than the last
// evidence that the store can be reached. While the store doesn't answer this owner, no
// newer list can be had, and starts continue with the last one until it is as old as
// Timing.MaxCapacityAge: by then a worker's capacity may have shrunk, and starts by the old
// capacity would overcommit it. Running tasks go on.
func (c *Cell) checkListFresh() bool {
	l := &c.hosts
	lastReached := max(l.resumedAt, c.writer.lastContact)
	fresh := l.received && lastReached-l.latest.AsOf < c.timing.MaxListAge && c.now-l.latest.AsOf < c.timing.MaxCapacityAge
	if l.stale == fresh {
		l.stale = !fresh
		event := "starts wait for the list"
		if fresh {
			event = "starts go on"
		}
		c.logEvent(event, "list_age", c.now-l.latest.AsOf)
	}
	return fresh
}

// handleWorkerList applies the platform's list of workers. A worker that has disappeared from
// it gets no new tasks, but keeps its runs: workers that merely can't reach the store
// disappear as well. A list from well before this owner's term is ignored: a worker that
// is on it, but on no later one, would wrongly count as just having disappeared.
func (c *Cell) handleWorkerList(list provider.HostList) {
	if c.ownedSince-list.AsOf >= c.timing.MaxListAge {
		return
	}
	c.needsDispatch = true
	unchanged := c.hosts.received && c.hosts.isUnchanged(list)
	c.recordOutage(list.AsOf)
	c.hosts.received = true
	c.hosts.latest = list
	if unchanged {
		c.recordWrites(list, true)
		return
	}
	defer c.recordWrites(list, false)
	listed := make(map[string]bool, len(list.Hosts))
	c.hosts.idByMachine = make(map[string]string, len(list.Hosts))
	for _, h := range list.Hosts {
		listed[h.ID] = true
		if h.Machine != "" {
			c.hosts.idByMachine[h.Machine] = h.ID
		}
		c.updateHost(h)
	}
	for _, w := range c.everyWorker() {
		if w.listed && !listed[w.host.ID] {
			w.listed = false
			w.listedUntil = c.now + c.timing.UnlistedGrace
			c.logEvent("worker unlisted", "worker", w.host.ID, "runs", len(w.runs))
		}
	}
	for _, id := range list.Invalid {
		if w := c.workers[id]; w != nil {
			w.listedUntil = c.now // it gets no more tasks
		}
	}
}

// has reports whether the latest list has an entry of a worker, be it invalid.
func (l *hostList) has(id string) bool {
	return slices.ContainsFunc(l.latest.Hosts, func(h provider.Host) bool { return h.ID == id }) || slices.Contains(l.latest.Invalid, id)
}

// isUnchanged reports whether a list has the same entries as the latest one. This saves an
// owner of many workers from updating each of them three times a second. It also keeps a
// worker that was found to be lost from being added again while its entry hasn't expired
// yet.
func (l *hostList) isUnchanged(list provider.HostList) bool {
	a, b := l.latest.Hosts, list.Hosts
	if len(a) != len(b) || !slices.Equal(l.latest.Invalid, list.Invalid) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

func (c *Cell) updateHost(h provider.Host) {
	w := c.workers[h.ID]
	if w == nil {
		w = c.addWorker(h)
		c.logEvent("worker", "worker", h.ID, "born", h.StartedAt, "zone", h.AvailabilityZone, "labels", strings.Join(h.Labels, ","), "draining", h.Draining)
	}
	startsDraining := h.Draining && !w.host.Draining
	if h.Capacity != w.host.Capacity {
		c.logEvent("worker resized", "worker", h.ID, "from", w.host.Capacity.String(), "to", h.Capacity.String(), "used", w.used.String())
		c.markChanged(w)
	}
	if h.Address != w.host.Address || w.startedAt != 0 && h.StartedAt != 0 && h.StartedAt != w.startedAt && h.StartedAt != w.host.StartedAt {
		c.suspectRestart(w) // whoever answers at the old address says nothing of this one
	}
	if h.Service != w.host.Service {
		c.leavePool(w)
		c.joinPool(w, h.Service)
	}
	w.host = h
	w.listed = true
	if startsDraining {
		c.logEvent("worker draining", "worker", h.ID, "runs", len(w.runs), "left", h.TimeLeft)
		c.evacuate(w)
	}
}

// hasCurrentEntry reports whether the worker's entry on the list belongs to the
// incarnation that answers. Another incarnation may have another capacity and other
// labels.
func (w *worker) hasCurrentEntry() bool {
	return w.startedAt == 0 || w.host.StartedAt == 0 || w.host.StartedAt == w.startedAt
}

// addListedSuccessor adds the worker that is listed under the ID of a lost one if it is
// another incarnation. The list may have shown it before the loss was noticed.
func (c *Cell) addListedSuccessor(lost *worker) {
	for _, h := range c.hosts.latest.Hosts {
		if h.ID == lost.host.ID && lost.startedAt != 0 && h.StartedAt != 0 && h.StartedAt != lost.startedAt {
			c.updateHost(h)
		}
	}
}

// isListed reports whether a worker is on the list, or disappeared from it recently
// without another worker taking its machine.
func (c *Cell) isListed(w *worker) bool {
	return w.listed || c.now < w.listedUntil && c.hosts.idByMachine[w.host.Machine] == ""
}
