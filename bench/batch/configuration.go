package batch

import (
	"fmt"
	"io"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

const forcePatience = time.Minute

// force publishes an edition at an instance and returns the time until it is
// in force at all others, the cut ones included. It is negative when that
// didn't come within the patience or the publication was refused.
func (c *cluster) force(at *node, edition int, refused *error) time.Duration {
	before := c.now
	target := at.c.Revision() + 1
	c.publish(at, edition, func(err error) {
		if err != nil && refused != nil {
			*refused = err
		}
	})
	done := c.runUntil(forcePatience, func() bool {
		for _, n := range c.alive {
			if n.c.Revision() < target {
				return false
			}
		}
		return true
	})
	if !done {
		return -1
	}
	return c.now.Sub(before)
}

// configuration measures the time until a publication is in force everywhere,
// with and without instances that are cut from the log.
func (b *Bench) configuration(w io.Writer) error {
	pair := b.size.zones(2)
	cases := []struct {
		name string
		size Size
		cut  func(c *cluster)
	}{
		{"all reach the log", b.size.idle(), func(*cluster) {}},
		{"one instance cut from the log", b.size.idle(), func(c *cluster) { c.cut[c.nodes[7].id] = true }},
		{"two zones, one instance cut from the log", pair.idle(), func(c *cluster) { c.cut[c.nodes[7].id] = true }},
		{"the same at the peak", pair, func(c *cluster) { c.cut[c.nodes[7].id] = true }},
		{"two zones, one cut from the log", pair.idle(), func(c *cluster) { c.cutZone(zoneName(1)) }},
	}
	rows := make([][]string, len(cases))
	var jobs []func() error
	for i, k := range cases {
		jobs = append(jobs, func() error {
			c := newCluster(b.plan(k.size))
			if err := c.warm(); err != nil {
				return err
			}
			k.cut(c)
			rows[i] = append([]string{k.name, fmt.Sprint(k.size.Instances)}, c.forceRow()...)
			return nil
		})
	}
	if err := b.each(jobs...); err != nil {
		return err
	}
	title := fmt.Sprintf("Publication in force everywhere, limit %v", forceLimit)
	return table(w, title, []string{"case", "instances", "publications", "fastest", "slowest", "not in force within a minute", "refused"}, rows)
}

func (c *cluster) cutZone(zone string) {
	for _, n := range c.nodes {
		if n.zone == zone {
			c.cut[n.id] = true
		}
	}
}

func (c *cluster) forceRow() []string {
	const publications = 5
	var least, most time.Duration
	var missing, refused int
	for i := range publications {
		c.run(1300 * time.Millisecond)
		var err error
		d := c.force(c.nodes[0], i+1, &err)
		if err != nil && !fault.Is(err, fault.MayHaveRun) {
			refused++
		}
		if d < 0 {
			missing++
			continue
		}
		if least == 0 || d < least {
			least = d
		}
		most = max(most, d)
	}
	return []string{fmt.Sprint(publications), seconds(least), seconds(most), fmt.Sprint(missing), fmt.Sprint(refused)}
}
