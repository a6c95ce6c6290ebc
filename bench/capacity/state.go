package capacity

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/manifest"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

const availabilityZone = "zone-a"

var (
	workerCapacity = resource.Vector{Processors: 64_000, Memory: 250 << 10}
	taskNeed       = resource.Vector{Processors: 2000, Memory: 8 << 10}
	epoch          = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
)

// stateBuilder applies generated records to the state of a zone.
type stateBuilder struct {
	state    *zone.State
	writer   record.Writer
	offset   uint64
	sequence uint64
}

func newStateBuilder() *stateBuilder {
	return &stateBuilder{state: zone.New(availabilityZone), writer: record.Writer{ID: "e00", Incarnation: 1}}
}

func (f *stateBuilder) apply(r record.Record) {
	f.sequence++
	r.Version = record.Version
	r.Writer = f.writer
	r.Sequence = f.sequence
	data, err := record.Encode(r)
	if err != nil {
		panic(err) // the records are valid
	}
	r, err = record.Decode(data) // so that the state holds decoded strings, as in a daemon
	if err != nil {
		panic(err)
	}
	f.state.Apply(f.offset, epoch.Add(time.Duration(f.offset)*time.Millisecond), r)
	f.offset++
}

func (f *stateBuilder) addGroups(n int) {
	limits := map[string]resource.Vector{}
	for i := range n {
		limits[fmt.Sprintf("group-%02d", i)] = workerCapacity.Scale(1000)
	}
	f.apply(record.Record{Limits: &record.Limits{Revision: 1, Groups: limits}})
}

func (f *stateBuilder) addWorkers(n int) {
	for i := range n {
		f.apply(record.Record{Own: &record.Own{Worker: fmt.Sprintf("w%04d", i), Epoch: 1, Capacity: workerCapacity, Rack: fmt.Sprintf("r%02d", i/11)}})
	}
}

func (f *stateBuilder) addInstances(n int) {
	for i := range n {
		f.writer = record.Writer{ID: fmt.Sprintf("f%03d", i), Incarnation: 1}
		f.sequence = 0
		f.apply(record.Record{Marker: &record.Marker{}})
	}
}

// addTasks submits and claims n tasks, and completes them if end is set.
func (f *stateBuilder) addTasks(n int, end bool) {
	for i := range n {
		id := fmt.Sprintf("job-%d-%d", 100000+i/20, i%20)
		f.apply(record.Record{Submit: &record.Submit{Tasks: []record.Task{{
			ID: id, Job: id[:10], Group: fmt.Sprintf("group-%02d", i%40), Need: taskNeed,
			Command: "sleep 2m" + strings.Repeat(" ", 56), Duration: 2 * time.Minute,
		}}}})
		f.apply(record.Record{Claim: &record.Claim{Tasks: []string{id}}})
		if end {
			f.apply(record.Record{Done: &record.Done{Attempt: record.Attempt{Task: id, Number: 1}, Worker: "w0001", Result: "done on w0001"}})
		}
	}
}

// stateCost is the memory of a state, and the size and encoding time of its
// snapshot.
type stateCost struct {
	heap, snapshot float64
	encode         time.Duration
}

func measure(fill func(*stateBuilder)) stateCost {
	before := heapSize()
	f := newStateBuilder()
	fill(f)
	heapBytes := heapSize() - before
	began := time.Now()
	snapshot, err := f.state.Snapshot()
	encodeTime := time.Since(began)
	if err != nil {
		panic(err) // the default settings keep a snapshot within the size of a record
	}
	runtime.KeepAlive(f)
	return stateCost{heap: float64(heapBytes), snapshot: float64(len(snapshot)), encode: encodeTime}
}

func heapSize() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// state measures the memory and snapshot size of a zone's state as its contents
// grow.
func (b *Bench) state(w io.Writer) error {
	sweeps := []struct {
		name  string
		sizes []int
		fill  func(f *stateBuilder, n int)
	}{
		{"live tasks", []int{500, 1000, 2000, 4000, 8000}, func(f *stateBuilder, n int) { f.addWorkers(2000); f.addGroups(40); f.addTasks(n, false) }},
		{"ended tasks", []int{2000, 5000, 10000, 20000}, func(f *stateBuilder, n int) { f.addWorkers(2000); f.addGroups(40); f.addTasks(n, true) }},
		{"workers", []int{50, 100, 200, 400, 800}, func(f *stateBuilder, n int) { f.addWorkers(n) }},
		{"instances", []int{8, 50, 200, 800}, func(f *stateBuilder, n int) { f.addInstances(n) }},
		{"groups", []int{10, 40, 160, 640}, func(f *stateBuilder, n int) { f.addGroups(n) }},
	}
	var all []series
	for _, g := range sweeps {
		heap := series{grows: g.name, value: "heap bytes"}
		snapshot := series{grows: g.name, value: "snapshot bytes"}
		for _, n := range g.sizes {
			m := measure(func(f *stateBuilder) { g.fill(f, n) })
			heap.xs, heap.ys = append(heap.xs, float64(n)), append(heap.ys, m.heap)
			snapshot.xs, snapshot.ys = append(snapshot.xs, float64(n)), append(snapshot.ys, m.snapshot)
		}
		all = append(all, heap, snapshot)
	}
	all = append(all, manifestSeries())
	return seriesTable(w, "State of one zone at one instance", all)
}

// manifestSeries measures the size of a published manifest by its number of
// declared jobs.
func manifestSeries() series {
	s := series{grows: "declared jobs", value: "published manifest bytes"}
	for _, n := range []int{0, 500, 1000, 2000, 4000} {
		var text strings.Builder
		text.WriteString("zones:\n  - {name: zone-a, capacity: {processors: 14080, memory: 55000GiB}}\ngroups:\n  - {name: group-00, share: 50%}\n")
		for i := range n {
			if i == 0 {
				text.WriteString("jobs:\n")
			}
			fmt.Fprintf(&text, "  - {name: job-%d, group: group-00, need: {processors: 1, memory: 1GiB}, tasks: 10, command: sleep 1h, duration: 1h}\n", i)
		}
		m, err := manifest.Parse("manifest", []byte(text.String()))
		if err != nil {
			panic(err) // the text is valid
		}
		published, err := m.Encode()
		if err != nil {
			panic(err)
		}
		s.xs, s.ys = append(s.xs, float64(n)), append(s.ys, float64(len(published)))
	}
	return s
}
