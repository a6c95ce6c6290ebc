package batch

import (
	"fmt"
	"io"
	"time"
)

// outages measures the batch work that is lost while the log is down, in one
// zone.
func (b *Bench) outages(w io.Writer) error {
	variants := []variant{
		{"room to spare", func(*plan) {}},
		{"full zone, 1.1 times the arrivals", func(p *plan) { p.need = wideNeed; p.arrivalFactor = 1.1 }},
	}
	rows := make([][]string, len(variants))
	var jobs []func() error
	for i, v := range variants {
		jobs = append(jobs, func() error {
			p := b.plan(b.size.zones(1))
			v.adjust(&p)
			row, err := b.outageRow(p)
			rows[i] = append([]string{v.name}, row...)
			return err
		})
	}
	if err := b.runParallel(jobs...); err != nil {
		return err
	}
	header := []string{"load", "queued at its start", "done/s before", "done/s, first minute", "done/s, second", "done/s, third", "done/s, rest", "lost of the outage's work", "running at its end", "starts again after", "running as before after", "refused of submitted", "ran in two places"}
	return table(w, fmt.Sprintf("The log down for %v, one zone at the peak", b.outage), header, rows)
}

func (b *Bench) outageRow(p plan) ([]string, error) {
	c := newCluster(p)
	if err := c.reachSteadyLoad(); err != nil {
		return nil, err
	}
	c.advance(time.Minute)
	at := c.now
	c.meter.reset()
	queued := 0
	for _, g := range c.instances[0].c.State().Groups() {
		queued += g.Queued
	}
	c.logDown = true
	c.advance(b.outage)
	c.logDown = false
	up := c.now
	c.advance(3 * time.Minute)
	runs, overlaps := c.taskRuns()
	rate := func(from, to time.Time) float64 { return float64(countDone(runs, from, to)) / to.Sub(from).Seconds() }
	before := rate(at.Add(-time.Minute), at)
	minute := func(i time.Duration) string { return number(rate(at.Add(i*time.Minute), at.Add((i+1)*time.Minute))) }
	lost := 1 - rate(at, up)/before
	resumed := -time.Second
	for _, r := range runs {
		if r.Start.After(up) {
			resumed = r.Start.Sub(up)
			break
		}
	}
	recovered := "not within 3 min"
	for t := up; t.Before(c.now); t = t.Add(time.Second) {
		if countRunning(runs, t)*100 >= countRunning(runs, at)*95 {
			recovered = seconds(t.Sub(up))
			break
		}
	}
	return []string{
		fmt.Sprint(queued), number(before), minute(0), minute(1), minute(2), number(rate(at.Add(3*time.Minute), up)),
		fmt.Sprintf("%.0f%%", 100*lost), fmt.Sprint(countRunning(runs, up)), seconds(resumed), recovered,
		fmt.Sprintf("%d of %d", c.meter.refused, c.meter.submitted), fmt.Sprint(overlaps),
	}, nil
}
