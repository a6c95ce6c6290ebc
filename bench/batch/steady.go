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

// Figures holds the cost of a steady load.
type Figures struct {
	MeanProcessor    float64            // share of a core that Step takes, mean of instances
	BusiestProcessor float64            // share of a core that Step takes at the busiest instance
	LongestStep      time.Duration      // longest call of Step
	Bytes            map[string]float64 // per second of one instance, by kind of traffic
	Total            float64            // sum of Bytes
	AppendsPerSecond float64            // of all instances
	StartsPerSecond  float64            // of tasks
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
	err := b.runParallel(func() error {
		c := newCluster(p)
		if err := c.reachSteadyLoad(); err != nil {
			return err
		}
		c.meter.reset()
		c.advance(b.window)
		f = c.figures(b.window)
		return nil
	})
	return f, err
}

func (c *cluster) figures(d time.Duration) Figures {
	f := Figures{Bytes: map[string]float64{}}
	n := float64(len(c.live)) * d.Seconds()
	for _, in := range c.instances {
		if in.stopped {
			continue
		}
		u := c.meter.usageOf(in.id)
		f.MeanProcessor += u.stepTime.Seconds() / n
		f.BusiestProcessor = max(f.BusiestProcessor, u.stepTime.Seconds()/d.Seconds())
		f.LongestStep = max(f.LongestStep, u.longestStep)
		for kind, bytes := range u.bytes {
			f.Bytes[trafficNames[kind]] += float64(bytes) / n
			f.Total += float64(bytes) / n
		}
	}
	calls := 0
	for _, n := range c.meter.appends {
		calls += n
	}
	f.AppendsPerSecond = float64(calls) / d.Seconds()
	f.StartsPerSecond = float64(c.meter.calls[controller.Start]) / d.Seconds()
	return f
}

// steady measures the whole site at its peak.
func (b *Bench) steady(w io.Writer) error {
	var c *cluster
	var from time.Time
	publish := time.Duration(0)
	err := b.runParallel(func() error {
		c = newCluster(b.plan(b.size))
		if err := c.reachSteadyLoad(); err != nil {
			return err
		}
		c.meter.reset()
		from = c.now
		c.advance(b.window / 2)
		publish = c.publishAndWait(c.instances[1], 1, nil)
		c.advance(from.Add(b.window).Sub(c.now))
		return nil
	})
	if err != nil {
		return err
	}
	f := c.figures(b.window)
	rows := [][]string{
		{"task starts per second", number(f.StartsPerSecond)},
		{"appends per second, all instances", number(f.AppendsPerSecond)},
		{"appends per second, one instance", fmt.Sprintf("%.2f", f.AppendsPerSecond/float64(b.size.Instances))},
		{"processor time of Step, mean of instances", fmt.Sprintf("%.2f%% of a core", 100*f.MeanProcessor)},
		{"processor time of Step, busiest instance", fmt.Sprintf("%.2f%% of a core", 100*f.BusiestProcessor)},
		{"longest Step", f.LongestStep.Round(time.Millisecond).String()},
		{"publication in force everywhere after", seconds(publish)},
		{"tasks refused of submitted", fmt.Sprintf("%d of %d", c.meter.refused, c.meter.submitted)},
	}
	title := fmt.Sprintf("Steady peak: %d zones, %d instances, %d workers, %d tasks, %.0f starts/s, for %v",
		b.size.AvailabilityZones, b.size.Instances, b.size.Workers, b.size.Tasks, b.size.StartsPerSecond, b.window)
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
	n := float64(len(c.live)) * d.Seconds()
	for _, kind := range slices.Sorted(maps.Keys(c.meter.steps)) {
		steps := float64(c.meter.steps[kind])
		total := c.meter.times[kind]
		rows = append(rows, []string{
			kind, number(steps / n), number(float64(total.Microseconds()) / steps), fmt.Sprintf("%.3f", 100*total.Seconds()/n),
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

// recordCounts holds the records of a stream and their bytes, by kind.
type recordCounts struct {
	count, bytes map[string]int
	claims       []record.Record
	claimedAt    []time.Time
}

func countRecords(s *stream, from, to time.Time) recordCounts {
	k := recordCounts{count: map[string]int{}, bytes: map[string]int{}}
	for _, e := range s.entriesBetween(from, to) {
		r, err := record.Decode(e.Data)
		if err != nil {
			continue
		}
		name := recordKind(r)
		k.count[name]++
		k.bytes[name] += len(e.Data)
		if r.Claim != nil {
			k.claims = append(k.claims, r)
			k.claimedAt = append(k.claimedAt, e.Time)
		}
	}
	return k
}

func recordKind(r record.Record) string {
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

// logRate is the number of appends per second that the log accepts in the
// baselines.
const logRate = 300

// baselines prints the records since from, and compares their cost with two
// baselines for the same starts: one claim and append per task, and one stream
// for all zones.
func (c *cluster) baselines(w io.Writer, from time.Time) error {
	span := c.now.Sub(from).Seconds()
	sum := recordCounts{count: map[string]int{}, bytes: map[string]int{}}
	var single, tasks, singleBytes int
	for i := range c.plan.size.AvailabilityZones {
		k := countRecords(c.stream(controller.ZoneStream(zoneName(i))), from, c.now)
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
	bytesPerSecond := float64(all) / span
	wait := queueWait(c.appendTimes(from))
	rows = [][]string{
		{"claims in batches, a stream per zone", number(float64(calls) / span), number(bytesPerSecond / zones), "see urgent"},
		{"a claim per start, an append per record", number(float64(single) / span), number((bytesPerSecond - float64(sum.bytes["Claim"])/span + float64(singleBytes)/span) / zones), fmt.Sprintf("p99 %v, max %v in the log's queue alone", quantile(wait, 0.99).Round(time.Millisecond), quantile(wait, 1).Round(time.Millisecond))},
		{"one stream for all zones", number(float64(calls) / span), number(bytesPerSecond), "as the first"},
	}
	return table(w, fmt.Sprintf("Baselines, the same starts (the log takes %d appends a second)", logRate), []string{"way", "appends/s", "record bytes/s read by an instance", "wait of an append"}, rows)
}

// appendTimes returns the sorted times at which the records of all zones were
// accepted, with each claim repeated for each of its tasks.
func (c *cluster) appendTimes(from time.Time) []time.Time {
	var all []time.Time
	for i := range c.plan.size.AvailabilityZones {
		for _, e := range c.stream(controller.ZoneStream(zoneName(i))).entriesBetween(from, c.now) {
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

// queueWait returns the sorted waits of appends that the log accepts one at a
// time, at logRate.
func queueWait(arrivals []time.Time) []time.Duration {
	const appendTime = time.Second / logRate
	var free time.Time
	var waits []time.Duration
	for _, at := range arrivals {
		if free.Before(at) {
			free = at
		}
		free = free.Add(appendTime)
		waits = append(waits, free.Sub(at))
	}
	slices.Sort(waits)
	return waits
}
