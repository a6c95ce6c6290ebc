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

// Size is the size and load of a site. A task runs for Tasks/StartsPerSecond
// seconds on average, so that as many tasks end as start.
type Size struct {
	AvailabilityZones int
	Instances         int
	Workers           int
	Groups            int
	Services          int
	Replicas          int     // of all services, in all zones
	Tasks             int     // running
	StartsPerSecond   float64 // of tasks
	Queued            int     // tasks that wait because their group is at its share
}

// Planned returns the size that the system is designed for, with the start rate
// of its peak. Each service runs in every zone.
func Planned() Size {
	return Size{
		AvailabilityZones: 5, Instances: 40, Workers: 1100, Groups: 40, Services: 50,
		Replicas: 2500, Tasks: 8300, StartsPerSecond: 71,
	}
}

// zones returns the size of n zones of the site.
func (s Size) zones(n int) Size {
	all := s.AvailabilityZones
	s.AvailabilityZones = n
	s.Instances = s.Instances * n / all
	s.Workers = s.Workers * n / all
	s.Replicas = s.Replicas * n / all
	s.Tasks = s.Tasks * n / all
	s.StartsPerSecond = s.StartsPerSecond * float64(n) / float64(all)
	s.Queued = s.Queued * n / all
	return s
}

// idle returns the size without batch work.
func (s Size) idle() Size {
	s.Tasks = 0
	s.StartsPerSecond = 0
	return s
}

const (
	workersPerRack = 11
	urgentShare    = 0.1
	jobTasks       = 20 // per job that isn't urgent
	commandBytes   = 64
	urgentPrefix   = "urgent-"
)

var workerCapacity = resource.Vector{Processors: 64_000, Memory: 250 << 10}

// plan holds the parameters of one run.
type plan struct {
	size          Size
	timing        controller.Timing
	seed          uint64
	need          resource.Vector // per task
	arrivalFactor float64         // ratio of arrivals to the starts of the size
	wire          wireSizes

	urgentGroups int // unless zero, this many of the last groups submit only urgent tasks, and the others none
}

// randomDuration draws the run time of a task: half to one and a half times the
// mean.
func (c *cluster) randomDuration() time.Duration {
	mean := float64(c.plan.size.Tasks) / c.plan.size.StartsPerSecond
	return time.Duration((0.5 + c.random.Float64()) * mean * float64(time.Second)).Round(time.Millisecond)
}

func (c *cluster) newTask(id, job string, group int, urgent bool, d time.Duration) record.Task {
	return record.Task{
		ID: id, Job: job, Group: groupName(group), Need: c.plan.need, Urgent: urgent, Duration: d,
		Command: fmt.Sprintf("%-*s", commandBytes, "sleep "+d.String()),
	}
}

func groupName(i int) string {
	return fmt.Sprintf("group-%02d", i)
}

// submitJob submits a job of n tasks of one group. Residual tasks have only a
// random rest of their run time left.
func (c *cluster) submitJob(zone string, n int, urgent, residual bool) {
	c.serial++
	group := c.groupFor(urgent)
	job := fmt.Sprintf("job-%d", c.serial)
	if urgent {
		job = urgentPrefix + job
	}
	tasks := make([]record.Task, n)
	for i := range tasks {
		d := c.randomDuration()
		if residual {
			d = time.Duration(c.random.Float64() * float64(d)).Round(time.Millisecond)
		}
		tasks[i] = c.newTask(fmt.Sprintf("%s-%d", job, i), job, group, urgent, d)
	}
	c.submit(zone, tasks)
}

func (c *cluster) groupFor(urgent bool) int {
	all := c.plan.size.Groups
	if c.plan.size.Queued > 0 {
		all--
	}
	urgentGroups := c.plan.urgentGroups
	switch {
	case urgentGroups == 0:
		return c.random.IntN(all)
	case urgent:
		return all - 1 - c.random.IntN(urgentGroups)
	default:
		return c.random.IntN(all - urgentGroups)
	}
}

// queueInitialTasks submits as many tasks to a zone as run there on average.
func (c *cluster) queueInitialTasks(zone string) {
	remaining := c.plan.size.Tasks / c.plan.size.AvailabilityZones
	for remaining > 0 {
		n := min(remaining, 10)
		c.submitJob(zone, n, false, true)
		remaining -= n
	}
}

// queueOverShareTasks submits plan.size.Queued tasks of the last group, which
// has no other tasks then. A few of them fill its share for the whole run, and
// the others wait.
func (c *cluster) queueOverShareTasks(zone string) {
	const batch = 100
	remaining := c.plan.size.Queued / c.plan.size.AvailabilityZones
	for ; remaining > 0; remaining -= batch {
		tasks := make([]record.Task, min(remaining, batch))
		for i := range tasks {
			c.serial++
			tasks[i] = c.newTask(fmt.Sprintf("stalled-%d", c.serial), "", c.plan.size.Groups-1, false, time.Hour)
			tasks[i].Need = hugeNeed
		}
		c.submit(zone, tasks)
	}
}

// startArrivals submits urgent tasks and jobs to a zone from now on, at a rate
// in tasks per second.
func (c *cluster) startArrivals(zone string, rate float64) {
	c.scheduleArrivals(rate*urgentShare, func() { c.submitJob(zone, 1, true, false) })
	c.scheduleArrivals(rate*(1-urgentShare)/jobTasks, func() { c.submitJob(zone, jobTasks, false, false) })
}

// scheduleArrivals calls arrive at random times with a mean rate per second.
func (c *cluster) scheduleArrivals(rate float64, arrive func()) {
	if rate <= 0 {
		return
	}
	wait := time.Duration(-math.Log(1-c.random.Float64()) / rate * float64(time.Second))
	c.after(wait, func() {
		arrive()
		c.scheduleArrivals(rate, arrive)
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

// manifestOf returns a complete manifest, which differs between editions.
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

// publish applies an edition of the manifest at an instance and calls answered
// with the result.
func (c *cluster) publish(n *instance, edition int, answered func(error)) {
	text := manifestOf(c.plan.size, edition, 0)
	n.command(func(id uint64) controller.Input {
		return controller.Apply{ID: id, Base: n.c.Revision(), Author: "ops", Manifest: text}
	}, answered)
}

// publishInitial publishes the first configuration and waits until the replicas
// run.
func (c *cluster) publishInitial() error {
	c.advance(4 * time.Second)
	var failed error
	c.publish(c.instances[0], 0, func(err error) { failed = err })
	c.advance(12 * time.Second)
	return failed
}

// reachSteadyLoad publishes the configuration, submits the load of the plan and
// runs the cluster until the load is steady.
func (c *cluster) reachSteadyLoad() error {
	if err := c.publishInitial(); err != nil {
		return err
	}
	for i := range c.plan.size.AvailabilityZones {
		c.queueOverShareTasks(zoneName(i))
		c.queueInitialTasks(zoneName(i))
		c.startArrivals(zoneName(i), c.plan.arrivalFactor*c.plan.size.StartsPerSecond/float64(c.plan.size.AvailabilityZones))
	}
	c.advance(45 * time.Second)
	return nil
}
