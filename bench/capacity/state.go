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
	startOfTime    = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
)

// filling folds generated records.
type filling struct {
	state    *zone.State
	writer   record.Writer
	offset   uint64
	sequence uint64
}

func newFilling() *filling {
	return &filling{state: zone.New(availabilityZone), writer: record.Writer{ID: "e00", Incarnation: 1}}
}

func (f *filling) apply(r record.Record) {
	f.sequence++
	r.Version = record.Version
	r.Writer = f.writer
	r.Sequence = f.sequence
	data, err := record.Encode(r)
	if err != nil {
		panic(err) // the records are sound
	}
	r, err = record.Decode(data) // so that strings are held as they are in a daemon
	if err != nil {
		panic(err)
	}
	f.state.Apply(f.offset, startOfTime.Add(time.Duration(f.offset)*time.Millisecond), r)
	f.offset++
}

func (f *filling) groups(n int) {
	limits := map[string]resource.Vector{}
	for i := range n {
		limits[fmt.Sprintf("group-%02d", i)] = workerCapacity.Scale(1000)
	}
	f.apply(record.Record{Limits: &record.Limits{Revision: 1, Groups: limits}})
}

func (f *filling) workers(n int) {
	for i := range n {
		f.apply(record.Record{Own: &record.Own{Worker: fmt.Sprintf("w%04d", i), Epoch: 1, Capacity: workerCapacity, Rack: fmt.Sprintf("r%02d", i/11)}})
	}
}

func (f *filling) instances(n int) {
	for i := range n {
		f.writer = record.Writer{ID: fmt.Sprintf("f%03d", i), Incarnation: 1}
		f.sequence = 0
		f.apply(record.Record{Marker: &record.Marker{}})
	}
}

// tasks submits tasks and claims them, and completes them if they are to end.
func (f *filling) tasks(n int, end bool) {
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

// measured is what a state takes.
type measured struct {
	heap, snapshot float64
	encode         time.Duration
}

func measure(fill func(*filling)) measured {
	before := heapSize()
	f := newFilling()
	fill(f)
	held := heapSize() - before
	began := time.Now()
	snapshot, err := f.state.Snapshot()
	spent := time.Since(began)
	if err != nil {
		panic(err) // the default settings rule that out
	}
	runtime.KeepAlive(f)
	return measured{heap: float64(held), snapshot: float64(len(snapshot)), encode: spent}
}

func heapSize() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// state measures the folded state of one zone.
func (b *Bench) state(w io.Writer) error {
	grown := []struct {
		name  string
		sizes []int
		fill  func(f *filling, n int)
	}{
		{"live tasks", []int{500, 1000, 2000, 4000, 8000}, func(f *filling, n int) { f.workers(2000); f.groups(40); f.tasks(n, false) }},
		{"ended tasks", []int{2000, 5000, 10000, 20000}, func(f *filling, n int) { f.workers(2000); f.groups(40); f.tasks(n, true) }},
		{"workers", []int{50, 100, 200, 400, 800}, func(f *filling, n int) { f.workers(n) }},
		{"instances", []int{8, 50, 200, 800}, func(f *filling, n int) { f.instances(n) }},
		{"groups", []int{10, 40, 160, 640}, func(f *filling, n int) { f.groups(n) }},
	}
	var all []series
	for _, g := range grown {
		heap := series{size: g.name, value: "heap bytes"}
		snapshot := series{size: g.name, value: "snapshot bytes"}
		for _, n := range g.sizes {
			m := measure(func(f *filling) { g.fill(f, n) })
			heap.xs, heap.ys = append(heap.xs, float64(n)), append(heap.ys, m.heap)
			snapshot.xs, snapshot.ys = append(snapshot.xs, float64(n)), append(snapshot.ys, m.snapshot)
		}
		all = append(all, heap, snapshot)
	}
	all = append(all, manifestSeries())
	return seriesTable(w, "State of one zone at one instance", all)
}

// manifestSeries measures a published manifest by its declared jobs.
func manifestSeries() series {
	s := series{size: "declared jobs", value: "published manifest bytes"}
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
			panic(err) // the text is sound
		}
		published, err := m.Encode()
		if err != nil {
			panic(err)
		}
		s.xs, s.ys = append(s.xs, float64(n)), append(s.ys, float64(len(published)))
	}
	return s
}
