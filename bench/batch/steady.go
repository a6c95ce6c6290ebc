package batch

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/record"
)

// Figures is what a steady load costs.
type Figures struct {
	Processor float64            // mean share of a core that Step takes at an instance
	Most      float64            // the same at the busiest instance
	LongStep  time.Duration      // the longest Step
	Bytes     map[string]float64 // a second at an instance, by kind of traffic
	Total     float64            // of Bytes
	Appends   float64            // a second, all instances
	Starts    float64            // a second
}

// Measure runs the steady load of a size and returns its cost.
func (b *Bench) Measure(s Size) (Figures, error) {
	if b.wire == (wireSizes{}) {
		sizes, err := calibrate(s.Services)
		if err != nil {
			return Figures{}, err
		}
		b.wire = sizes
	}
	p := b.plan(s)
	var f Figures
	err := b.each(func() error {
		c := newCluster(p)
		if err := c.warm(); err != nil {
			return err
		}
		c.meter.reset()
		c.run(b.window)
		f = c.figures(b.window)
		return nil
	})
	return f, err
}

func (c *cluster) figures(d time.Duration) Figures {
	f := Figures{Bytes: map[string]float64{}}
	n := float64(len(c.alive)) * d.Seconds()
	for _, node := range c.nodes {
		if node.gone {
			continue
		}
		u := c.meter.of(node.id)
		f.Processor += u.time.Seconds() / n
		f.Most = max(f.Most, u.time.Seconds()/d.Seconds())
		f.LongStep = max(f.LongStep, u.most)
		for kind, bytes := range u.bytes {
			f.Bytes[trafficNames[kind]] += float64(bytes) / n
			f.Total += float64(bytes) / n
		}
	}
	calls := 0
	for _, n := range c.meter.appends {
		calls += n
	}
	f.Appends = float64(calls) / d.Seconds()
	f.Starts = float64(c.meter.calls[controller.Start]) / d.Seconds()
	return f
}

// steady measures the whole site at its peak.
func (b *Bench) steady(w io.Writer) error {
	var c *cluster
	var from time.Time
	publish := time.Duration(0)
	err := b.each(func() error {
		c = newCluster(b.plan(b.size))
		if err := c.warm(); err != nil {
			return err
		}
		c.meter.reset()
		from = c.now
		c.run(b.window / 2)
		publish = c.force(c.nodes[1], 1, nil)
		c.run(from.Add(b.window).Sub(c.now))
		return nil
	})
	if err != nil {
		return err
	}
	f := c.figures(b.window)
	rows := [][]string{
		{"task starts per second", number(f.Starts)},
		{"appends per second, all instances", number(f.Appends)},
		{"appends per second, one instance", fmt.Sprintf("%.2f", f.Appends/float64(b.size.Instances))},
		{"processor time of Step, mean of instances", fmt.Sprintf("%.2f%% of a core", 100*f.Processor)},
		{"processor time of Step, busiest instance", fmt.Sprintf("%.2f%% of a core", 100*f.Most)},
		{"longest Step", f.LongStep.Round(time.Millisecond).String()},
		{"publication in force everywhere after", seconds(publish)},
		{"tasks refused of submitted", fmt.Sprintf("%d of %d", c.meter.refused, c.meter.submitted)},
	}
	title := fmt.Sprintf("Steady peak: %d zones, %d instances, %d workers, %d tasks, %.0f starts/s, for %v",
		b.size.AvailabilityZones, b.size.Instances, b.size.Workers, b.size.Tasks, b.size.Starts, b.window)
	if err := table(w, title, []string{"figure", "value"}, rows); err != nil {
		return err
	}
	if err := table(w, "Control bytes per second of one instance, both directions", []string{"kind", "bytes/s"}, byteRows(f)); err != nil {
		return err
	}
	if err := table(w, "Processor time of Step by input", []string{"input", "per second", "µs each", "% of a core"}, c.stepRows(b.window)); err != nil {
		return err
	}
	if err := table(w, "Events above debug", []string{"event", "count"}, c.eventRows()); err != nil {
		return err
	}
	return c.baselines(w, from)
}

func byteRows(f Figures) [][]string {
	var rows [][]string
	for _, name := range trafficNames {
		rows = append(rows, []string{name, number(f.Bytes[name])})
	}
	return append(rows, []string{"all", number(f.Total)})
}

func (c *cluster) stepRows(d time.Duration) [][]string {
	var rows [][]string
	n := float64(len(c.alive)) * d.Seconds()
	for _, kind := range slices.Sorted(maps.Keys(c.meter.steps)) {
		steps := float64(c.meter.steps[kind])
		spent := c.meter.times[kind]
		rows = append(rows, []string{
			kind, number(steps / n), number(float64(spent.Microseconds()) / steps), fmt.Sprintf("%.3f", 100*spent.Seconds()/n),
		})
	}
	return rows
}

func (c *cluster) eventRows() [][]string {
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(c.meter.events)) {
		rows = append(rows, []string{name, fmt.Sprint(c.meter.events[name])})
	}
	if rows == nil {
		rows = append(rows, []string{"none", "0"})
	}
	return rows
}

// kindsOfRecord counts records and their bytes by body.
type kindsOfRecord struct {
	count, bytes map[string]int
	claims       []record.Record
	at           []time.Time
}

func kindsOf(s *stream, from, to time.Time) kindsOfRecord {
	k := kindsOfRecord{count: map[string]int{}, bytes: map[string]int{}}
	for _, e := range s.window(from, to) {
		r, err := record.Decode(e.Data)
		if err != nil {
			continue
		}
		name := bodyName(r)
		k.count[name]++
		k.bytes[name] += len(e.Data)
		if r.Claim != nil {
			k.claims = append(k.claims, r)
			k.at = append(k.at, e.Time)
		}
	}
	return k
}

func bodyName(r record.Record) string {
	switch {
	case r.Submit != nil:
		return "Submit"
	case r.Claim != nil:
		return "Claim"
	case r.Done != nil:
		return "Done"
	case r.Own != nil:
		return "Own"
	case r.Snapshot != nil:
		return "Snapshot"
	case r.Evicted != nil:
		return "Evicted"
	case r.Return != nil:
		return "Return"
	case r.Limits != nil:
		return "Limits"
	}
	return "other"
}

// logRate is how many appends a second the log takes in the baselines.
const logRate = 300

// baselines prints the records of the window, what a claim of one task per
// append would make of the same starts, and what one stream for all zones
// would.
func (c *cluster) baselines(w io.Writer, from time.Time) error {
	span := c.now.Sub(from).Seconds()
	sum := kindsOfRecord{count: map[string]int{}, bytes: map[string]int{}}
	var single, tasks, singleBytes int
	for i := range c.plan.size.AvailabilityZones {
		k := kindsOf(c.stream(controller.ZoneStream(zoneName(i))), from, c.now)
		for name, n := range k.count {
			sum.count[name] += n
			sum.bytes[name] += k.bytes[name]
		}
		for _, claim := range k.claims {
			for _, id := range claim.Claim.Tasks {
				one := claim
				one.Claim = &record.Claim{Tasks: []string{id}}
				singleBytes += recordSize(one)
				tasks++
			}
		}
	}
	single = tasks + sum.count["Done"] + sum.count["Submit"]
	var rows [][]string
	all := 0
	for _, name := range slices.Sorted(maps.Keys(sum.count)) {
		all += sum.bytes[name]
		rows = append(rows, []string{name, number(float64(sum.count[name]) / span), number(float64(sum.bytes[name]) / float64(sum.count[name])), number(float64(sum.bytes[name]) / span)})
	}
	if err := table(w, "Records of all zone streams", []string{"record", "per second", "bytes each", "bytes/s"}, rows); err != nil {
		return err
	}
	zones := float64(c.plan.size.AvailabilityZones)
	calls := 0
	for _, n := range c.meter.appends {
		calls += n
	}
	perRead := float64(all) / span
	wait := queueWait(c.arrivalsOf(from))
	rows = [][]string{
		{"claims in batches, a stream per zone", number(float64(calls) / span), number(perRead / zones), "see urgent"},
		{"a claim per start, an append per record", number(float64(single) / span), number((perRead - float64(sum.bytes["Claim"])/span + float64(singleBytes)/span) / zones), fmt.Sprintf("p99 %v, max %v in the log's queue alone", quantile(wait, 0.99).Round(time.Millisecond), quantile(wait, 1).Round(time.Millisecond))},
		{"one stream for all zones", number(float64(calls) / span), number(perRead), "as the first"},
	}
	return table(w, fmt.Sprintf("Baselines, the same starts (the log takes %d appends a second)", logRate), []string{"way", "appends/s", "record bytes/s read by an instance", "wait of an append"}, rows)
}

// arrivalsOf returns when the records of all zones were accepted, each claim
// once for each of its tasks.
func (c *cluster) arrivalsOf(from time.Time) []time.Time {
	var all []time.Time
	for i := range c.plan.size.AvailabilityZones {
		for _, e := range c.stream(controller.ZoneStream(zoneName(i))).window(from, c.now) {
			r, err := record.Decode(e.Data)
			if err != nil {
				continue
			}
			n := 1
			if r.Claim != nil {
				n = len(r.Claim.Tasks)
			}
			for range n {
				all = append(all, e.Time)
			}
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// queueWait returns the sorted waits of appends that the log takes one after
// the other.
func queueWait(arrivals []time.Time) []time.Duration {
	const each = time.Second / logRate
	var free time.Time
	var waits []time.Duration
	for _, at := range arrivals {
		if free.Before(at) {
			free = at
		}
		free = free.Add(each)
		waits = append(waits, free.Sub(at))
	}
	slices.Sort(waits)
	return waits
}
