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
	settled         = 170 * time.Second // watched after a failure
	fastReplacement = 30 * time.Second  // until the platform has replaced a dead zone's instances
	slowReplacement = 90 * time.Second
)

// recovery measures what follows a death, in one zone of the site.
func (b *Bench) recovery(w io.Writer) error {
	cases := []struct {
		name string
		fail func(*cluster) []*backend // returns the workers concerned
	}{
		{"one owner dies", (*cluster).killOwner},
		{"one owner dies, and is back under its ID after 10 s", (*cluster).restartOwner},
		{"a rack of workers dies", (*cluster).killRack},
		{"all instances of a zone die, new ones come after 30 s", func(c *cluster) []*backend { return c.killZone(fastReplacement) }},
		{"all instances of a zone die, new ones come after 90 s", func(c *cluster) []*backend { return c.killZone(slowReplacement) }},
	}
	rows := make([][]string, len(cases))
	var jobs []func() error
	for i, k := range cases {
		jobs = append(jobs, func() error {
			c := newCluster(b.plan(b.size.zones(1)))
			if err := c.warm(); err != nil {
				return err
			}
			c.run(time.Minute)
			c.meter.reset()
			at := c.now
			row := c.recoveryRow(k.fail, at)
			rows[i] = append([]string{k.name}, row...)
			return nil
		})
	}
	if err := b.each(jobs...); err != nil {
		return err
	}
	header := []string{"failure", "workers concerned", "tasks on them", "all owned again after", "escrow settled after",
		"tasks ended by it", "of them running again", "last of them after", "starts in the minute before", "in the minute after", "running before", "fewest running", "refused", "ran in two places", "events"}
	return table(w, "Recovery, one zone at the peak", header, rows)
}

func (c *cluster) killOwner() []*backend {
	n := c.nodes[3]
	c.kill(n)
	c.relist()
	return c.ownedBy(n.id)
}

func (c *cluster) restartOwner() []*backend {
	n := c.nodes[3]
	c.kill(n)
	c.after(10*time.Second, func() {
		c.boot(n.id, n.zone)
		c.relist()
	})
	return c.ownedBy(n.id)
}

func (c *cluster) killRack() []*backend {
	var dead []*backend
	for _, b := range c.workers {
		if b.rack == "r03" {
			b.dead = true
			dead = append(dead, b)
		}
	}
	c.relist()
	return dead
}

func (c *cluster) killZone(replacement time.Duration) []*backend {
	count := len(c.nodes)
	for _, n := range slices.Clone(c.nodes) {
		c.kill(n)
	}
	c.after(replacement, func() {
		for i := range count {
			c.boot(fmt.Sprintf("f%02d", i), zoneName(0))
		}
		c.relist()
	})
	c.relist()
	return c.workers
}

func (c *cluster) ownedBy(id string) []*backend {
	var found []*backend
	for w := range c.nodes[0].c.State().Workers() {
		if w.Owner == id {
			found = append(found, c.byID[w.ID])
		}
	}
	return found
}

// witness returns an instance in service that follows the stream.
func (c *cluster) witness() *node {
	for _, n := range c.nodes {
		if !n.gone && n.c.State() != nil {
			return n
		}
	}
	return nil
}

func (c *cluster) recoveryRow(fail func(*cluster) []*backend, at time.Time) []string {
	concerned := fail(c)
	hit := map[string]bool{}
	for _, b := range concerned {
		hit[b.Instance("", "", "").ID] = true
	}
	var owned, recovered time.Duration
	for c.now.Before(at.Add(settled)) {
		c.run(tickInterval)
		o, s := c.recovered(hit)
		if !o {
			owned = 0
		} else if owned == 0 {
			owned = c.now.Sub(at)
		}
		if !s {
			recovered = 0
		} else if recovered == 0 {
			recovered = c.now.Sub(at)
		}
	}
	runs, overlaps := c.runs()
	before, ended, again, last := c.interrupted(runs, hit, at)
	left := onLive(runs, c)
	fewest := runningAt(runs, at)
	for t := at; t.Before(c.now); t = t.Add(time.Second) {
		fewest = min(fewest, runningAt(left, t))
	}
	return []string{
		fmt.Sprint(len(concerned)), fmt.Sprint(before), after(owned), after(recovered),
		fmt.Sprint(ended), fmt.Sprint(again), after(last),
		fmt.Sprint(startedIn(runs, at.Add(-time.Minute), at)), fmt.Sprint(startedIn(runs, at, at.Add(time.Minute))),
		fmt.Sprint(runningAt(runs, at)), fmt.Sprint(fewest), fmt.Sprint(c.meter.refused), fmt.Sprint(overlaps), c.eventText(),
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
		return "none or not within " + settled.String()
	}
	return seconds(d)
}

// recovered reports whether all live workers concerned have an owner in
// service on record, and whether no escrow is left to recover.
func (c *cluster) recovered(hit map[string]bool) (owned, settled bool) {
	n := c.witness()
	if n == nil {
		return false, false
	}
	s := n.c.State()
	owned = true
	for id := range hit {
		if c.byID[id].dead {
			continue
		}
		w, ok := s.Worker(id)
		live := c.alive[w.Owner]
		if !ok || live == nil || !live.owns(w.Incarnation) {
			owned = false
		}
	}
	settled = owned
	for range s.Recoveries() {
		settled = false
	}
	for w := range s.Owners() {
		if live := c.alive[w.ID]; live == nil || !live.owns(w.Incarnation) {
			settled = false
		}
	}
	return owned, settled
}

// owns reports whether an incarnation is that of the run in service.
func (n *node) owns(incarnation uint64) bool {
	return incarnation >= n.booted
}

// interrupted returns how many tasks ran on the workers concerned, how many
// of those runs ended without being done, how many of these started again
// and when the last did.
func (c *cluster) interrupted(runs []run, hit map[string]bool, at time.Time) (before, ended, again int, last time.Duration) {
	restarts := map[string]time.Time{}
	for _, r := range runs {
		if _, ok := restarts[r.task]; !ok && r.Start.After(at) && !c.byID[r.Worker].dead {
			restarts[r.task] = r.Start
		}
	}
	for _, r := range runs {
		open := r.Start.Before(at) && (r.End.IsZero() || r.End.After(at))
		if !open || !hit[r.Worker] {
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
			again++
			last = max(last, start.Sub(at))
		}
	}
	return before, ended, again, last
}

// onLive returns the runs on workers that live.
func onLive(runs []run, c *cluster) []run {
	var kept []run
	for _, r := range runs {
		if !c.byID[r.Worker].dead {
			kept = append(kept, r)
		}
	}
	return kept
}
