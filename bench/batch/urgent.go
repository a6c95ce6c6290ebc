package batch

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Limits that the users set.
const (
	urgentLimit      = 7300 * time.Millisecond
	publicationLimit = 12 * time.Second
)

// urgentGroups is the number of groups that submit only urgent tasks in the
// runs where these groups are to stay below their share. Their tasks take about
// half of it.
const urgentGroups = 8

// variant is a change of the plan, compared in one row of a table.
type variant struct {
	name   string
	adjust func(*plan)
}

// fullZone makes tasks large enough to fill the zone, and more of them arrive
// than can run.
func fullZone(p *plan) {
	p.need = wideNeed
	p.arrivalFactor = 1.1
}

// fewTasksPerWorker makes tasks so large that two fill a worker, so that a task
// can start only where another one ends.
func fewTasksPerWorker(p *plan) {
	mean := float64(p.size.Tasks) / p.size.StartsPerSecond
	p.need = hugeNeed
	p.size.Tasks = 2 * p.size.Workers
	p.size.StartsPerSecond = float64(p.size.Tasks) / mean
}

// urgent measures the time from an urgent submission to its start in one zone of
// the site, with the default timing, with other intervals and in a full zone.
func (b *Bench) urgent(w io.Writer) error {
	variants := []variant{
		{"as it is", func(*plan) {}},
		{"appends every 100 ms", func(p *plan) { p.timing.AppendInterval = 100 * time.Millisecond }},
		{"appends every second", func(p *plan) { p.timing.AppendInterval = time.Second }},
		{"heartbeats every half second", func(p *plan) { p.timing.HeartbeatInterval = 500 * time.Millisecond }},
		{"leases of 12 s", func(p *plan) { p.timing.WorkerLease = 12 * time.Second }},
		{"full zone, groups at their share", fullZone},
		{"full zone, urgent tasks from groups below their share", func(p *plan) { fullZone(p); p.urgentGroups = urgentGroups }},
		{"the same, and room only where a task ends", func(p *plan) { fullZone(p); p.urgentGroups = urgentGroups; fewTasksPerWorker(p) }},
	}
	rows := make([][]string, len(variants))
	var jobs []func() error
	for i, v := range variants {
		jobs = append(jobs, func() error {
			p := b.plan(b.size.zones(1))
			v.adjust(&p)
			row, err := urgentRow(p, v.name, 2*b.window)
			rows[i] = row
			return err
		})
	}
	if err := b.runParallel(jobs...); err != nil {
		return err
	}
	title := fmt.Sprintf("Urgent submission to start, one zone at the peak, limit %v", urgentLimit)
	return table(w, title, []string{"policy", "urgent tasks", "p50", "p99", "max", "not started", "appends/s", "starts/s", "running", "queued", "bytes/s of an instance", "Step, % of a core", "ran in two places"}, rows)
}

func urgentRow(p plan, name string, window time.Duration) ([]string, error) {
	c := newCluster(p)
	if err := c.reachSteadyLoad(); err != nil {
		return nil, err
	}
	c.meter.reset()
	from := c.now
	c.advance(window)
	f := c.figures(window)
	until := c.now.Add(-urgentLimit)
	runs, overlaps := c.taskRuns()
	waits, notStarted := c.urgentWaits(runs, from, until)
	queued := 0
	for _, g := range c.instances[0].c.State().Groups() {
		queued += g.Queued
	}
	return []string{
		name, fmt.Sprint(len(waits)), seconds(quantile(waits, 0.5)), seconds(quantile(waits, 0.99)), seconds(quantile(waits, 1)), fmt.Sprint(notStarted),
		number(f.AppendsPerSecond), number(f.StartsPerSecond), fmt.Sprint(countRunning(runs, c.now)), fmt.Sprint(queued),
		number(f.Total), fmt.Sprintf("%.2f", 100*f.MeanProcessor), fmt.Sprint(overlaps),
	}, nil
}

// urgentWaits returns the sorted times from submission to start of the urgent
// tasks submitted within [from, to), and how many of them didn't start.
func (c *cluster) urgentWaits(runs []taskRun, from, to time.Time) (waits []time.Duration, notStarted int) {
	first := map[string]time.Time{}
	for _, r := range runs {
		if _, ok := first[r.task]; !ok {
			first[r.task] = r.Start
		}
	}
	for id, at := range c.submittedAt {
		if at.Before(from) || !at.Before(to) || !strings.HasPrefix(id, urgentPrefix) {
			continue
		}
		start, ok := first[id]
		if !ok {
			notStarted++
			continue
		}
		waits = append(waits, start.Sub(at))
	}
	slices.Sort(waits)
	return waits, notStarted
}
