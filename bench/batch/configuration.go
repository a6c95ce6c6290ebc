package batch

import (
	"fmt"
	"io"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

const publicationTimeout = time.Minute

// publishAndWait publishes an edition at an instance and returns the time until
// it is in force at all instances, including those that can't reach the log. It
// is negative if this takes longer than publicationTimeout or the publication
// was refused.
func (c *cluster) publishAndWait(publisher *instance, edition int, refused *error) time.Duration {
	before := c.now
	target := publisher.c.Revision() + 1
	c.publish(publisher, edition, func(err error) {
		if err != nil && refused != nil {
			*refused = err
		}
	})
	done := c.advanceUntil(publicationTimeout, func() bool {
		for _, n := range c.live {
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
// with and without instances that can't reach the log.
func (b *Bench) configuration(w io.Writer) error {
	pair := b.size.zones(2)
	cases := []struct {
		name string
		size Size
		cut  func(c *cluster)
	}{
		{"all reach the log", b.size.idle(), func(*cluster) {}},
		{"one instance cut from the log", b.size.idle(), func(c *cluster) { c.cutFromLog[c.instances[7].id] = true }},
		{"two zones, one instance cut from the log", pair.idle(), func(c *cluster) { c.cutFromLog[c.instances[7].id] = true }},
		{"the same at the peak", pair, func(c *cluster) { c.cutFromLog[c.instances[7].id] = true }},
		{"two zones, one cut from the log", pair.idle(), func(c *cluster) { c.cutZone(zoneName(1)) }},
	}
	rows := make([][]string, len(cases))
	var jobs []func() error
	for i, k := range cases {
		jobs = append(jobs, func() error {
			c := newCluster(b.plan(k.size))
			if err := c.reachSteadyLoad(); err != nil {
				return err
			}
			k.cut(c)
			rows[i] = append([]string{k.name, fmt.Sprint(k.size.Instances)}, c.publicationRow()...)
			return nil
		})
	}
	if err := b.runParallel(jobs...); err != nil {
		return err
	}
	title := fmt.Sprintf("Publication in force everywhere, limit %v", publicationLimit)
	return table(w, title, []string{"case", "instances", "publications", "fastest", "slowest", "not in force within a minute", "refused"}, rows)
}

func (c *cluster) cutZone(zone string) {
	for _, n := range c.instances {
		if n.zone == zone {
			c.cutFromLog[n.id] = true
		}
	}
}

func (c *cluster) publicationRow() []string {
	const publications = 5
	var fastest, slowest time.Duration
	var missing, refused int
	for i := range publications {
		c.advance(1300 * time.Millisecond)
		var err error
		d := c.publishAndWait(c.instances[0], i+1, &err)
		if err != nil && !fault.Is(err, fault.MayHaveRun) {
			refused++
		}
		if d < 0 {
			missing++
			continue
		}
		if fastest == 0 || d < fastest {
			fastest = d
		}
		slowest = max(slowest, d)
	}
	return []string{fmt.Sprint(publications), seconds(fastest), seconds(slowest), fmt.Sprint(missing), fmt.Sprint(refused)}
}
