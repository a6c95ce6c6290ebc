package batch

import (
	"bytes"
	"fmt"
	"math"
	"text/template"
	"time"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Size is what a site holds and how busy it is. A task runs for Tasks/Starts
// on average, so that as many end as start.
type Size struct {
	AvailabilityZones int
	Instances         int
	Workers           int
	Groups            int
	Services          int
	Replicas          int     // of all services, in all zones
	Tasks             int     // running
	Starts            float64 // of tasks a second
	Queued            int     // tasks that wait because they are above their group's share
}

// Planned is the size to design for, with the starts of its peak. A service
// runs in every zone.
func Planned() Size {
	return Size{
		AvailabilityZones: 5, Instances: 40, Workers: 1100, Groups: 40, Services: 50,
		Replicas: 2500, Tasks: 8300, Starts: 71,
	}
}

// zones returns the part of the size that falls on n zones.
func (s Size) zones(n int) Size {
	all := s.AvailabilityZones
	s.AvailabilityZones = n
	s.Instances = s.Instances * n / all
	s.Workers = s.Workers * n / all
	s.Replicas = s.Replicas * n / all
	s.Tasks = s.Tasks * n / all
	s.Starts = s.Starts * float64(n) / float64(all)
	s.Queued = s.Queued * n / all
	return s
}

// idle returns the size without batch work.
func (s Size) idle() Size {
	s.Tasks = 0
	s.Starts = 0
	return s
}

const (
	workersPerRack = 11
	urgentPart     = 0.1
	jobTasks       = 20 // of a job that isn't urgent
	commandBytes   = 64
	urgentPrefix   = "urgent-"
)

var workerCapacity = resource.Vector{Processors: 64_000, Memory: 250 << 10}

// plan is one run: a size, its timing and its load.
type plan struct {
	size   Size
	timing controller.Timing
	seed   uint64
	need   resource.Vector // of a task
	surge  float64         // of arrivals, over the starts of the size
	wire   wireSizes

	urgentGroups int // the last groups submit urgent tasks only, and the others none, unless zero
}

// duration returns how long the next task runs: half to one and a half times
// the mean.
func (c *cluster) duration() time.Duration {
	mean := float64(c.plan.size.Tasks) / c.plan.size.Starts
	return time.Duration((0.5 + c.random.Float64()) * mean * float64(time.Second)).Round(time.Millisecond)
}

func (c *cluster) task(id, job string, group int, urgent bool, d time.Duration) record.Task {
	return record.Task{
		ID: id, Job: job, Group: groupName(group), Need: c.plan.need, Urgent: urgent, Duration: d,
		Command: fmt.Sprintf("%-*s", commandBytes, "sleep "+d.String()),
	}
}

func groupName(i int) string {
	return fmt.Sprintf("group-%02d", i)
}

// job queues a number of tasks of one group.
func (c *cluster) job(zone string, n int, urgent, residual bool) {
	c.serial++
	group := c.groupFor(urgent)
	job := fmt.Sprintf("job-%d", c.serial)
	if urgent {
		job = urgentPrefix + job
	}
	tasks := make([]record.Task, n)
	for i := range tasks {
		d := c.duration()
		if residual {
			d = time.Duration(c.random.Float64() * float64(d)).Round(time.Millisecond)
		}
		tasks[i] = c.task(fmt.Sprintf("%s-%d", job, i), job, group, urgent, d)
	}
	c.submit(zone, tasks)
}

func (c *cluster) groupFor(urgent bool) int {
	all := c.plan.size.Groups
	if c.plan.size.Queued > 0 {
		all--
	}
	special := c.plan.urgentGroups
	switch {
	case special == 0:
		return c.random.IntN(all)
	case urgent:
		return all - 1 - c.random.IntN(special)
	default:
		return c.random.IntN(all - special)
	}
}

// fill queues as many tasks in a zone as run on average.
func (c *cluster) fill(zone string) {
	left := c.plan.size.Tasks / c.plan.size.AvailabilityZones
	for left > 0 {
		n := min(left, 10)
		c.job(zone, n, false, true)
		left -= n
	}
}

// stall queues tasks of the last group, which nobody else submits to then:
// its share holds a few of them, which run on and on, and the others wait.
func (c *cluster) stall(zone string) {
	const batch = 100
	left := c.plan.size.Queued / c.plan.size.AvailabilityZones
	for ; left > 0; left -= batch {
		tasks := make([]record.Task, min(left, batch))
		for i := range tasks {
			c.serial++
			tasks[i] = c.task(fmt.Sprintf("stalled-%d", c.serial), "", c.plan.size.Groups-1, false, time.Hour)
			tasks[i].Need = hugeNeed
		}
		c.submit(zone, tasks)
	}
}

// arrive submits work to a zone from now on, at a rate of tasks a second.
func (c *cluster) arrive(zone string, rate float64) {
	c.arrivals(rate*urgentPart, func() { c.job(zone, 1, true, false) })
	c.arrivals(rate*(1-urgentPart)/jobTasks, func() { c.job(zone, jobTasks, false, false) })
}

// arrivals calls arrive at random times with a mean rate.
func (c *cluster) arrivals(rate float64, arrive func()) {
	if rate <= 0 {
		return
	}
	wait := time.Duration(-math.Log(1-c.random.Float64()) / rate * float64(time.Second))
	c.after(wait, func() {
		arrive()
		c.arrivals(rate, arrive)
	})
}

var manifestText = template.Must(template.New("manifest").Parse(`
zones:
{{- range .Zones}}
  - {name: {{.}}, capacity: {processors: {{$.Cores}}, memory: {{$.Memory}}MiB}}
{{- end}}
groups:
{{- range .Groups}}
  - {name: {{.}}, share: {{$.Share}}%}
{{- end}}
{{- if .Services}}
services:
{{- range .Services}}
  - {name: {{.Name}}, group: {{.Group}}, replicas: {{$.Replicas}}, need: {processors: 4, memory: 16GiB}, slots: 8, timeout: {{$.Timeout}}ms}
{{- end}}
{{- end}}
{{- if .Jobs}}
jobs:
{{- range .Jobs}}
  - {name: {{.}}, group: group-00, need: {processors: 1, memory: 1GiB}, tasks: 1, command: sleep 1h, duration: 1h}
{{- end}}
{{- end}}
`))

type serviceLine struct{ Name, Group string }

// manifest returns a whole desired state, different for each edition.
func manifestOf(s Size, edition int, jobs int) []byte {
	perZone := s.Workers / s.AvailabilityZones
	data := struct {
		Zones, Groups, Jobs []string
		Services            []serviceLine
		Cores               int64
		Memory              int64
		Share               string
		Replicas, Timeout   int
	}{
		Cores:   workerCapacity.Processors / 1000 * int64(perZone),
		Memory:  workerCapacity.Memory * int64(perZone),
		Share:   fmt.Sprintf("%.2f", math.Floor(10000/float64(s.Groups))/100),
		Timeout: 2000 + edition,
	}
	for i := range s.AvailabilityZones {
		data.Zones = append(data.Zones, zoneName(i))
	}
	for i := range s.Groups {
		data.Groups = append(data.Groups, groupName(i))
	}
	for i := range s.Services {
		data.Services = append(data.Services, serviceLine{fmt.Sprintf("service-%d", i), groupName(i % s.Groups)})
	}
	for i := range jobs {
		data.Jobs = append(data.Jobs, fmt.Sprintf("job-%d", i))
	}
	if s.Services > 0 {
		data.Replicas = s.Replicas / s.Services / s.AvailabilityZones
	}
	var b bytes.Buffer
	if err := manifestText.Execute(&b, data); err != nil {
		panic(err) // the template is constant
	}
	return b.Bytes()
}

// publish applies the next configuration at an instance and calls back once
// it is answered.
func (c *cluster) publish(n *node, edition int, answered func(error)) {
	text := manifestOf(c.plan.size, edition, 0)
	n.ask(func(id uint64) controller.Input {
		return controller.Apply{ID: id, Base: n.c.Revision(), Author: "ops", Manifest: text}
	}, answered)
}

// prepare publishes the first configuration and waits until replicas run.
func (c *cluster) prepare() error {
	c.run(4 * time.Second)
	var failed error
	c.publish(c.nodes[0], 0, func(err error) { failed = err })
	c.run(12 * time.Second)
	return failed
}

// warm brings a cluster to its steady load.
func (c *cluster) warm() error {
	if err := c.prepare(); err != nil {
		return err
	}
	for i := range c.plan.size.AvailabilityZones {
		c.stall(zoneName(i))
		c.fill(zoneName(i))
		c.arrive(zoneName(i), c.plan.surge*c.plan.size.Starts/float64(c.plan.size.AvailabilityZones))
	}
	c.run(45 * time.Second)
	return nil
}
