package batch

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Limits that the users gave.
const (
	urgentLimit = 7300 * time.Millisecond
	forceLimit  = 12 * time.Second
)

// urgentGroups is how many groups submit urgent tasks only where those are to
// stay below their share: theirs take about half of it.
const urgentGroups = 8

// variant is one row of a comparison.
type variant struct {
	name   string
	change func(*plan)
}

// fullZone lets more arrive than can run, of a size that fills the zone.
func fullZone(p *plan) {
	p.need = wideNeed
	p.surge = 1.1
}

// scarceRoom lets two tasks fill a worker, so that a task starts only where
// another one ends.
func scarceRoom(p *plan) {
	mean := float64(p.size.Tasks) / p.size.Starts
	p.need = hugeNeed
	p.size.Tasks = 2 * p.size.Workers
	p.size.Starts = float64(p.size.Tasks) / mean
}

// urgent measures the time from an urgent submission to its start, and what
// other intervals would change, in one zone of the site.
func (b *Bench) urgent(w io.Writer) error {
	variants := []variant{
		{"as it is", func(*plan) {}},
		{"appends every 100 ms", func(p *plan) { p.timing.Append = 100 * time.Millisecond }},
		{"appends every second", func(p *plan) { p.timing.Append = time.Second }},
		{"heartbeats every half second", func(p *plan) { p.timing.Heartbeat = 500 * time.Millisecond }},
		{"leases of 12 s", func(p *plan) { p.timing.Lease = 12 * time.Second }},
		{"full zone, groups at their share", fullZone},
		{"full zone, urgent tasks from groups below their share", func(p *plan) { fullZone(p); p.urgentGroups = urgentGroups }},
		{"the same, and room only where a task ends", func(p *plan) { fullZone(p); p.urgentGroups = urgentGroups; scarceRoom(p) }},
	}
	rows := make([][]string, len(variants))
	var jobs []func() error
	for i, v := range variants {
		jobs = append(jobs, func() error {
			p := b.plan(b.size.zones(1))
			v.change(&p)
			row, err := urgentRow(p, v.name, 2*b.window)
			rows[i] = row
			return err
		})
	}
	if err := b.each(jobs...); err != nil {
		return err
	}
	title := fmt.Sprintf("Urgent submission to start, one zone at the peak, limit %v", urgentLimit)
	return table(w, title, []string{"policy", "urgent tasks", "p50", "p99", "max", "not started", "appends/s", "starts/s", "running", "queued", "bytes/s of an instance", "Step, % of a core", "ran in two places"}, rows)
}

func urgentRow(p plan, name string, window time.Duration) ([]string, error) {
	c := newCluster(p)
	if err := c.warm(); err != nil {
		return nil, err
	}
	c.meter.reset()
	from := c.now
	c.run(window)
	f := c.figures(window)
	settled := c.now.Add(-urgentLimit)
	runs, overlaps := c.runs()
	waits, left := c.urgentWaits(runs, from, settled)
	queued := 0
	for _, g := range c.nodes[0].c.State().Groups() {
		queued += g.Queued
	}
	return []string{
		name, fmt.Sprint(len(waits)), seconds(quantile(waits, 0.5)), seconds(quantile(waits, 0.99)), seconds(quantile(waits, 1)), fmt.Sprint(left),
		number(f.Appends), number(f.Starts), fmt.Sprint(runningAt(runs, c.now)), fmt.Sprint(queued),
		number(f.Total), fmt.Sprintf("%.2f", 100*f.Processor), fmt.Sprint(overlaps),
	}, nil
}

// urgentWaits returns the sorted times from submission to start of the urgent
// tasks submitted within [from, to), and how many of them didn't start.
func (c *cluster) urgentWaits(runs []run, from, to time.Time) (waits []time.Duration, left int) {
	first := map[string]time.Time{}
	for _, r := range runs {
		if _, ok := first[r.task]; !ok {
			first[r.task] = r.Start
		}
	}
	for id, at := range c.sent {
		if at.Before(from) || !at.Before(to) || !strings.HasPrefix(id, urgentPrefix) {
			continue
		}
		start, ok := first[id]
		if !ok {
			left++
			continue
		}
		waits = append(waits, start.Sub(at))
	}
	slices.Sort(waits)
	return waits, left
}
