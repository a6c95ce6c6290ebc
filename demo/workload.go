package demo

import (
	"embed"
	"fmt"
	"time"

	"github.com/dogwoodladder/dogwoodladder/manifest"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

//go:embed manifests/*.yaml
var manifestFiles embed.FS

// service is the service that the callers use.
const service = "quote"

// batch is a kind of task that is submitted to every zone.
type batch struct {
	name  string
	group string
	count int // in each zone
	need  resource.Vector
	work  time.Duration
}

var batches = []batch{
	{"dictionary", "glossary", 10, resource.Vector{Processors: 2_000, Memory: 1 << 10}, 1200 * time.Millisecond},
	{"scales", "grading", 16, resource.Vector{Processors: 1_000, Memory: 512}, time.Second},
}

var urgentNeed = resource.Vector{Processors: 1_000, Memory: 512}

func readManifest(name string) []byte {
	data, err := manifestFiles.ReadFile("manifests/" + name + ".yaml")
	if err != nil {
		panic(err) // the manifests are embedded
	}
	return data
}

func (b batch) tasks(zone string) []record.Task {
	var tasks []record.Task
	for n := range b.count {
		tasks = append(tasks, newTask(fmt.Sprintf("%s-%s-%d", b.name, zone, n), b.name, b.group, b.need, b.work))
	}
	return tasks
}

func urgentTask(zone string) record.Task {
	t := newTask("correction-"+zone, "correction", "grading", urgentNeed, 500*time.Millisecond)
	t.Urgent = true
	return t
}

func newTask(id, job, group string, need resource.Vector, work time.Duration) record.Task {
	return record.Task{
		ID:       id,
		Job:      job,
		Group:    group,
		Need:     need,
		Command:  "sleep " + work.String(),
		Duration: work,
	}
}

// workload holds every task that has to complete and its zone, both by task ID.
type workload struct {
	tasks map[string]record.Task
	zones map[string]string
}

func newWorkload(m *manifest.Manifest) *workload {
	w := &workload{tasks: make(map[string]record.Task), zones: make(map[string]string)}
	for _, zone := range zones {
		w.add(zone, m.Tasks(zone))
	}
	return w
}

func (w *workload) add(zone string, tasks []record.Task) {
	for _, t := range tasks {
		w.tasks[t.ID] = t
		w.zones[t.ID] = zone
	}
}
