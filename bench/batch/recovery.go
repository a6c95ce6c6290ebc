package batch

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	recoveryWindow  = 170 * time.Second // observed after a failure
	fastReplacement = 30 * time.Second  // until the platform has replaced the instances of a dead zone
	slowReplacement = 90 * time.Second
)

// recovery measures the recovery from failures of instances and workers, in one
// zone of the site.
func (b *Bench) recovery(w io.Writer) error {
	cases := []struct {
		name string
		fail func(*cluster) []*fakeWorker // returns the affected workers
	}{
		{"one owner dies", (*cluster).killOwner},
		{"one owner dies, and is back under its ID after 10 s", (*cluster).restartOwner},
		{"a rack of workers dies", (*cluster).killRack},
		{"all instances of a zone die, new ones come after 30 s", func(c *cluster) []*fakeWorker { return c.killZone(fastReplacement) }},
		{"all instances of a zone die, new ones come after 90 s", func(c *cluster) []*fakeWorker { return c.killZone(slowReplacement) }},
	}
	rows := make([][]string, len(cases))
	var jobs []func() error
	for i, k := range cases {
		jobs = append(jobs, func() error {
			c := newCluster(b.plan(b.size.zones(1)))
			if err := c.reachSteadyLoad(); err != nil {
				return err
			}
			c.advance(time.Minute)
			c.meter.reset()
			at := c.now
			row := c.recoveryRow(k.fail, at)
			rows[i] = append([]string{k.name}, row...)
			return nil
		})
	}
	if err := b.runParallel(jobs...); err != nil {
		return err
	}
	header := []string{"failure", "workers concerned", "tasks on them", "all owned again after", "escrow settled after",
		"tasks ended by it", "of them running again", "last of them after", "starts in the minute before", "in the minute after", "running before", "fewest running", "refused", "ran in two places", "events"}
	return table(w, "Recovery, one zone at the peak", header, rows)
}

func (c *cluster) killOwner() []*fakeWorker {
	n := c.instances[3]
	c.kill(n)
	c.rebuildList()
	return c.ownedBy(n.id)
}

func (c *cluster) restartOwner() []*fakeWorker {
	n := c.instances[3]
	c.kill(n)
	c.after(10*time.Second, func() {
		c.boot(n.id, n.zone)
		c.rebuildList()
	})
	return c.ownedBy(n.id)
}

func (c *cluster) killRack() []*fakeWorker {
	var dead []*fakeWorker
	for _, b := range c.workers {
		if b.rack == "r03" {
			b.dead = true
			dead = append(dead, b)
		}
	}
	c.rebuildList()
	return dead
}

func (c *cluster) killZone(replacement time.Duration) []*fakeWorker {
	count := len(c.instances)
	for _, n := range slices.Clone(c.instances) {
		c.kill(n)
	}
	c.after(replacement, func() {
		for i := range count {
			c.boot(fmt.Sprintf("f%02d", i), zoneName(0))
		}
		c.rebuildList()
	})
	c.rebuildList()
	return c.workers
}

func (c *cluster) ownedBy(id string) []*fakeWorker {
	var found []*fakeWorker
	for w := range c.instances[0].c.State().Workers() {
		if w.Owner == id {
			found = append(found, c.byID[w.ID])
		}
	}
	return found
}

// follower returns a running instance that has a state of the zone, or nil.
func (c *cluster) follower() *instance {
	for _, n := range c.instances {
		if !n.stopped && n.c.State() != nil {
			return n
		}
	}
	return nil
}

func (c *cluster) recoveryRow(fail func(*cluster) []*fakeWorker, at time.Time) []string {
	affected := fail(c)
	affectedIDs := map[string]bool{}
	for _, b := range affected {
		affectedIDs[b.Instance("", "", "").ID] = true
	}
	var owned, settled time.Duration
	for c.now.Before(at.Add(recoveryWindow)) {
		c.advance(tickInterval)
		o, s := c.recoveryState(affectedIDs)
		if !o {
			owned = 0
		} else if owned == 0 {
			owned = c.now.Sub(at)
		}
		if !s {
			settled = 0
		} else if settled == 0 {
			settled = c.now.Sub(at)
		}
	}
	runs, overlaps := c.taskRuns()
	before, ended, restarted, last := c.interruptedRuns(runs, affectedIDs, at)
	liveRuns := runsOnLiveWorkers(runs, c)
	fewest := countRunning(runs, at)
	for t := at; t.Before(c.now); t = t.Add(time.Second) {
		fewest = min(fewest, countRunning(liveRuns, t))
	}
	return []string{
		fmt.Sprint(len(affected)), fmt.Sprint(before), after(owned), after(settled),
		fmt.Sprint(ended), fmt.Sprint(restarted), after(last),
		fmt.Sprint(countStarted(runs, at.Add(-time.Minute), at)), fmt.Sprint(countStarted(runs, at, at.Add(time.Minute))),
		fmt.Sprint(countRunning(runs, at)), fmt.Sprint(fewest), fmt.Sprint(c.meter.refused), fmt.Sprint(overlaps), c.eventText(),
	}
}

func (c *cluster) eventText() string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(c.meter.events)) {
		words = append(words, fmt.Sprintf("%s: %d", name, c.meter.events[name]))
	}
	return strings.Join(words, ", ")
}

func after(d time.Duration) string {
	if d == 0 {
		return "none or not within " + recoveryWindow.String()
	}
	return seconds(d)
}

// recoveryState reports whether every live affected worker has a running owner
// on record, and whether there is also no escrow left to recover.
func (c *cluster) recoveryState(affectedIDs map[string]bool) (owned, settled bool) {
	n := c.follower()
	if n == nil {
		return false, false
	}
	s := n.c.State()
	owned = true
	for id := range affectedIDs {
		if c.byID[id].dead {
			continue
		}
		w, ok := s.Worker(id)
		live := c.live[w.Owner]
		if !ok || live == nil || !live.isCurrent(w.Incarnation) {
			owned = false
		}
	}
	settled = owned
	for range s.Recoveries() {
		settled = false
	}
	for w := range s.ActiveOwners() {
		if live := c.live[w.ID]; live == nil || !live.isCurrent(w.Incarnation) {
			settled = false
		}
	}
	return owned, settled
}

// isCurrent reports whether an incarnation is not older than that of the
// running process.
func (n *instance) isCurrent(incarnation uint64) bool {
	return incarnation >= n.incarnation
}

// interruptedRuns returns how many tasks ran on the affected workers at the
// failure, how many of those runs ended without being done, how many of these
// tasks started again and after what time the last did.
func (c *cluster) interruptedRuns(runs []taskRun, affectedIDs map[string]bool, at time.Time) (before, ended, restarted int, last time.Duration) {
	restarts := map[string]time.Time{}
	for _, r := range runs {
		if _, ok := restarts[r.task]; !ok && r.Start.After(at) && !c.byID[r.Worker].dead {
			restarts[r.task] = r.Start
		}
	}
	for _, r := range runs {
		wasRunning := r.Start.Before(at) && (r.End.IsZero() || r.End.After(at))
		if !wasRunning || !affectedIDs[r.Worker] {
			continue
		}
		before++
		if r.State == "done" && !c.byID[r.Worker].dead {
			continue
		}
		if r.State == "running" && !c.byID[r.Worker].dead {
			continue
		}
		ended++
		if start, ok := restarts[r.task]; ok {
			restarted++
			last = max(last, start.Sub(at))
		}
	}
	return before, ended, restarted, last
}

// runsOnLiveWorkers returns the runs on workers that are not dead.
func runsOnLiveWorkers(runs []taskRun, c *cluster) []taskRun {
	var kept []taskRun
	for _, r := range runs {
		if !c.byID[r.Worker].dead {
			kept = append(kept, r)
		}
	}
	return kept
}
