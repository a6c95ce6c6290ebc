package zone

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// writer appends records of one instance to a state.
type writer struct {
	state    *State
	now      time.Time
	sequence uint64
}

func (w *writer) append(r record.Record) Outcome {
	w.sequence++
	r.Writer = record.Writer{ID: "a", Incarnation: 1}
	r.Sequence = w.sequence
	return w.state.Apply(w.state.Next(), w.now, r)
}

func (w *writer) submit(ids ...string) Outcome {
	body := &record.Submit{}
	for _, id := range ids {
		body.Tasks = append(body.Tasks, record.Task{ID: id, Group: "g", Need: unit})
	}
	return w.append(record.Record{Submit: body})
}

func (w *writer) cancel(ids ...string) Outcome {
	return w.append(record.Record{Cancel: &record.Cancel{Tasks: ids}})
}

// Apply must stop at a skipped offset and at a record of a newer version. An
// instance that continued would hold a state that differs from the others'.
func TestApplyStops(t *testing.T) {
	is := is.New(t)
	w := &writer{state: New("a"), now: sessionStart}
	w.submit("t1")
	before := w.state.Dump()
	marker := record.Record{Writer: record.Writer{ID: "a", Incarnation: 1}, Sequence: 9, Marker: &record.Marker{}}
	newer := marker
	newer.Version = record.Version + 1
	is.Equal(w.state.Apply(2, w.now, marker).Reason, Gap)
	is.Equal(w.state.Apply(1, w.now, newer).Reason, NewerVersion)
	is.Equal(w.state.Apply(0, w.now, marker).Effect, Repeated)
	is.Equal(w.state.Dump(), before)
	w.state.SkipTo(2)
	is.Equal(w.state.Apply(2, w.now, marker).Effect, Applied)
	is.Equal(w.state.Sequence(marker.Writer), uint64(9))
}

// Guards the bounds of the state when tasks are submitted faster than they end
// and instances and workers come and go. Without them an instance runs out of
// memory, or a snapshot no longer fits in a record.
func TestBounds(t *testing.T) {
	is := is.New(t)
	w := &writer{state: New("a", WithMaxTasks(3), WithMaxEnded(2), WithRetention(time.Hour)), now: sessionStart}
	o := w.submit("t1", "t2", "t3", "t4")
	is.Equal(o.Refused, []Refusal{{"t4", Full}})
	w.cancel("t2", "t1", "t3")
	_, known := w.state.Task("t2")
	is.True(!known) // the task that ended first is forgotten first
	_, known = w.state.Task("t1")
	is.True(known)
	is.Equal(w.submit("t1").Reason, KnownTask)

	w.append(record.Record{Own: &record.Own{Worker: "w1", Epoch: 1}})
	w.append(record.Record{Fence: &record.Fence{Instance: record.Writer{ID: "b", Incarnation: 1}}})
	w.now = w.now.Add(time.Hour - time.Microsecond)
	is.Equal(w.submit("t1").Reason, KnownTask)
	w.now = w.now.Add(2 * time.Hour)
	is.Equal(w.submit("t1").Effect, Applied) // no longer known
	is.Equal(len(w.state.instances), 1)      // b is forgotten, a writes
	_, known = w.state.Worker("w1")
	is.True(known) // it has an owner
	w.append(record.Record{Fence: &record.Fence{Instance: record.Writer{ID: "a", Incarnation: 1}}})
	other := record.Record{Writer: record.Writer{ID: "c", Incarnation: 1}, Sequence: 1, Lapse: &record.Lapse{Worker: "w1", Epoch: 1}}
	is.Equal(w.state.Apply(w.state.Next(), w.now, other).Effect, Applied)
	other = record.Record{Writer: other.Writer, Sequence: 2, Marker: &record.Marker{}}
	w.state.Apply(w.state.Next(), w.now.Add(2*time.Hour), other)
	_, known = w.state.Worker("w1")
	is.True(!known)

	w = &writer{state: New("a", WithMaxBytes(1000)), now: sessionStart}
	id := strings.Repeat("x", maxName-1)
	is.Equal(len(w.submit(id+"1", id+"2", id+"3", id+"4").Refused), 1)
	w.cancel(id + "1")
	is.Equal(len(w.submit(id+"4").Changed), 1)
	_, known = w.state.Task(id + "1")
	is.True(!known) // forgotten in favour of the new task
}

// With the default settings the largest state must fit in one record.
func TestSnapshotFits(t *testing.T) {
	is := is.New(t)
	w := &writer{state: New("a"), now: sessionStart}
	command := strings.Repeat("c", 130)
	for n := range 40000 {
		task := record.Task{
			ID: fmt.Sprintf("task-%06d", n), Job: fmt.Sprint("job-", n/4), Group: "g", Command: command,
			Need: resource.Vector{Processors: resource.MaxAmount, Memory: resource.MaxAmount, Accelerators: resource.MaxAmount}, Duration: 1 << 60,
		}
		w.append(record.Record{Submit: &record.Submit{Tasks: []record.Task{task}}})
		if n < 20000 {
			w.cancel(task.ID)
		}
	}
	data, err := w.state.Snapshot()
	is.NoErr(err)
	is.True(len(data) < w.state.settings.MaxBytes+64<<10) // bytes is an upper bound of the encoded size
	is.True(w.state.bytes <= w.state.settings.MaxBytes)
	is.True(w.state.liveCount() > 15000)
}

func TestOrder(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var o taskList
	var want []*task
	for serial := range uint64(5000) {
		o.insert(&task{serial: serial})
	}
	want = slices.Collect(o.all())
	var out []*task
	for range 60000 {
		if len(out) > 0 && (len(want) == 0 || random.IntN(5000) < len(out)) {
			i := random.IntN(len(out))
			at, _ := slices.BinarySearchFunc(want, out[i], bySerial)
			want = slices.Insert(want, at, out[i])
			o.insert(out[i])
			out = slices.Delete(out, i, i+1)
			continue
		}
		i := random.IntN(len(want))
		o.remove(want[i])
		out = append(out, want[i])
		want = slices.Delete(want, i, i+1)
	}
	is.True(slices.Equal(slices.Collect(o.all()), want))
	is.Equal(o.length, len(want))

	for i, t := range want {
		if i%100 != 0 {
			o.remove(t)
		}
	}
	is.True(len(o.chunks) <= 4*o.length/maxChunk+1) // the remaining tasks share chunks
}

func bySerial(a, b *task) int {
	return cmp.Compare(a.serial, b.serial)
}

func FuzzRestore(f *testing.F) {
	w := &writer{state: New("a"), now: sessionStart}
	w.append(record.Record{Limits: &record.Limits{Revision: 1, Groups: map[string]resource.Vector{"g": unit.Scale(9)}}})
	w.append(record.Record{Own: &record.Own{Worker: "w1", Epoch: 1, Capacity: unit.Scale(4)}})
	w.submit("t1", "t2", "t3", "t4")
	w.append(record.Record{Claim: &record.Claim{Tasks: []string{"t1", "t2", "t3"}}})
	w.append(record.Record{Failed: &record.Failed{Attempt: record.Attempt{Task: "t1", Number: 1}, Worker: "w1"}})
	w.append(record.Record{Done: &record.Done{Attempt: record.Attempt{Task: "t2", Number: 1}, Worker: "w1"}})
	data, err := w.state.Snapshot()
	is.New(f).NoErr(err)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0xa1, 0x00, 0x02})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(data)
		if err != nil {
			is.New(t).True(fault.Is(err, fault.Invalid))
			return
		}
		s.Dump()
		next := &writer{state: s, now: sessionStart}
		next.sequence = s.Sequence(record.Writer{ID: "a", Incarnation: 1})
		next.append(record.Record{Claim: &record.Claim{Tasks: []string{"t4"}}})
		next.cancel("t3", "t4")
	})
}

func TestChart(t *testing.T) {
	is := is.New(t)
	want, err := os.ReadFile("testdata/task.mermaid")
	is.NoErr(err)
	is.Equal(Chart(), string(want))
}

// BenchmarkApply applies the records of one task in each iteration (submit,
// claim, evict, claim, done) while 2,000 other tasks run.
func BenchmarkApply(b *testing.B) {
	w := &writer{state: populated(220, 2000), now: sessionStart}
	b.ReportAllocs()
	records := 0
	for b.Loop() {
		id := fmt.Sprint("life-", records)
		w.submit(id)
		w.append(record.Record{Claim: &record.Claim{Tasks: []string{id}}})
		w.append(record.Record{Evicted: &record.Evicted{Attempt: record.Attempt{Task: id, Number: 1}, Worker: "w1", Checkpoint: "c"}})
		w.append(record.Record{Claim: &record.Claim{Tasks: []string{id}}})
		w.append(record.Record{Done: &record.Done{Attempt: record.Attempt{Task: id, Number: 2}, Worker: "w1"}})
		records += 5
	}
	if done := w.state.Group("g").Done; done != uint64(records/5) {
		b.Fatalf("%d tasks done, want %d", done, records/5)
	}
	b.ReportMetric(float64(records)/b.Elapsed().Seconds(), "records/s")
}

// BenchmarkMemory reports the heap bytes for each worker, task, ended task and
// group.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		empty := heapGrowth(func() any { return populated(0, 0) })
		workers := heapGrowth(func() any { return populated(2000, 0) })
		tasks := heapGrowth(func() any { return populated(0, 20000) })
		ended := heapGrowth(func() any { return endAll(populated(0, 20000)) })
		groups := heapGrowth(func() any { return withGroups(1000) })
		b.ReportMetric((workers-empty)/2000, "B/worker")
		b.ReportMetric((tasks-empty)/20000, "B/task")
		b.ReportMetric((ended-empty)/20000, "B/ended-task")
		b.ReportMetric((groups-empty)/1000, "B/group")
	}
}

// BenchmarkSnapshot encodes a state and restores it.
func BenchmarkSnapshot(b *testing.B) {
	s := populated(220, 8300)
	for b.Loop() {
		data := must(s.Snapshot())
		must(Restore(data))
		b.ReportMetric(float64(len(data))/8300, "encoded-B/task")
	}
}

func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// populated returns a state built from encoded records, like that of an
// instance.
func populated(workers, tasks int) *State {
	w := &writer{state: New("a"), now: sessionStart}
	limits := map[string]resource.Vector{"g": {Processors: 1 << 40, Memory: 1 << 40}}
	w.append(record.Record{Limits: &record.Limits{Revision: 1, Groups: limits}})
	for n := range workers {
		own := &record.Own{Worker: fmt.Sprint("w", n), Epoch: 1, Rack: fmt.Sprint("rack", n/11), Capacity: unit.Scale(64)}
		w.append(roundTrip(record.Record{Own: own}))
	}
	for n := range tasks {
		id := fmt.Sprintf("rebuild-%08d-%04d", n/2, n%2)
		task := record.Task{
			ID: id, Job: id[:16], Group: "g", Need: unit, Duration: time.Hour,
			Command: "glossary rebuild --part=" + id,
		}
		w.append(roundTrip(record.Record{Submit: &record.Submit{Tasks: []record.Task{task}}}))
		if workers > 0 {
			w.append(roundTrip(record.Record{Claim: &record.Claim{Tasks: []string{id}}}))
		}
	}
	w.state.instances["a"].newest().sequence = 0
	return w.state
}

func withGroups(n int) *State {
	limits := map[string]resource.Vector{}
	for i := range n {
		limits[fmt.Sprint("group-", i)] = unit
	}
	w := &writer{state: New("a"), now: sessionStart}
	w.append(roundTrip(record.Record{Limits: &record.Limits{Revision: 1, Groups: limits}}))
	return w.state
}

func endAll(s *State) *State {
	for _, t := range s.liveTasks() {
		s.cancelTask(t, &Outcome{})
	}
	return s
}

func roundTrip(r record.Record) record.Record {
	return must(record.Decode(must(record.Encode(r))))
}
