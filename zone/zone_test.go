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
	s        *State
	at       time.Time
	sequence uint64
}

func (w *writer) append(r record.Record) Outcome {
	w.sequence++
	r.Writer = record.Writer{ID: "a", Incarnation: 1}
	r.Sequence = w.sequence
	return w.s.Apply(w.s.Next(), w.at, r)
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

// Symptom: an instance goes on from a state that the others don't share.
// Sequence: a read skips offsets, or brings a record of a newer version.
// Cause: a fold that goes on without them.
func TestApplyStops(t *testing.T) {
	is := is.New(t)
	w := &writer{s: New("a"), at: sessionStart}
	w.submit("t1")
	before := w.s.Dump()
	marker := record.Record{Writer: record.Writer{ID: "a", Incarnation: 1}, Sequence: 9, Marker: &record.Marker{}}
	newer := marker
	newer.Version = record.Version + 1
	is.Equal(w.s.Apply(2, w.at, marker).Reason, Gap)
	is.Equal(w.s.Apply(1, w.at, newer).Reason, NewerVersion)
	is.Equal(w.s.Apply(0, w.at, marker).Effect, Repeated)
	is.Equal(w.s.Dump(), before)
	w.s.SkipTo(2)
	is.Equal(w.s.Apply(2, w.at, marker).Effect, Applied)
	is.Equal(w.s.Sequence(marker.Writer), uint64(9))
}

// Symptom: an instance runs out of memory, or a snapshot doesn't fit in a
// record.
// Sequence: tasks are submitted faster than they end, for ever; instances and
// workers come and go.
// Cause: state without a bound.
func TestBounds(t *testing.T) {
	is := is.New(t)
	w := &writer{s: New("a", WithMaxTasks(3), WithMaxEnded(2), WithRetention(time.Hour)), at: sessionStart}
	o := w.submit("t1", "t2", "t3", "t4")
	is.Equal(o.Refused, []Refusal{{"t4", Full}})
	w.cancel("t2", "t1", "t3")
	_, known := w.s.Task("t2")
	is.True(!known) // the oldest end goes first
	_, known = w.s.Task("t1")
	is.True(known)
	is.Equal(w.submit("t1").Reason, KnownTask)

	w.append(record.Record{Own: &record.Own{Worker: "w1", Epoch: 1}})
	w.append(record.Record{Fence: &record.Fence{Instance: record.Writer{ID: "b", Incarnation: 1}}})
	w.at = w.at.Add(time.Hour - time.Microsecond)
	is.Equal(w.submit("t1").Reason, KnownTask)
	w.at = w.at.Add(2 * time.Hour)
	is.Equal(w.submit("t1").Effect, Applied) // no longer known
	is.Equal(len(w.s.instances), 1)          // b is forgotten, a writes
	_, known = w.s.Worker("w1")
	is.True(known) // it has an owner
	w.append(record.Record{Fence: &record.Fence{Instance: record.Writer{ID: "a", Incarnation: 1}}})
	other := record.Record{Writer: record.Writer{ID: "c", Incarnation: 1}, Sequence: 1, Lapse: &record.Lapse{Worker: "w1", Epoch: 1}}
	is.Equal(w.s.Apply(w.s.Next(), w.at, other).Effect, Applied)
	other = record.Record{Writer: other.Writer, Sequence: 2, Marker: &record.Marker{}}
	w.s.Apply(w.s.Next(), w.at.Add(2*time.Hour), other)
	_, known = w.s.Worker("w1")
	is.True(!known)

	w = &writer{s: New("a", WithMaxBytes(1000)), at: sessionStart}
	id := strings.Repeat("x", maxName-1)
	is.Equal(len(w.submit(id+"1", id+"2", id+"3", id+"4").Refused), 1)
	w.cancel(id + "1")
	is.Equal(len(w.submit(id+"4").Changed), 1)
	_, known = w.s.Task(id + "1")
	is.True(!known) // it made room
}

// The default settings have to keep the largest state within one record.
func TestSnapshotFits(t *testing.T) {
	is := is.New(t)
	w := &writer{s: New("a"), at: sessionStart}
	command := strings.Repeat("c", 130)
	for n := range 40000 {
		task := record.Task{
			ID: fmt.Sprintf("task-%06d", n), Job: fmt.Sprint("job-", n/4), Group: "g", Command: command,
			Need: resource.Vector{Processors: maxAmount, Memory: maxAmount, Accelerators: maxAmount}, Duration: 1 << 60,
		}
		w.append(record.Record{Submit: &record.Submit{Tasks: []record.Task{task}}})
		if n < 20000 {
			w.cancel(task.ID)
		}
	}
	data, err := w.s.Snapshot()
	is.NoErr(err)
	is.True(len(data) < w.s.settings.MaxBytes+64<<10) // what is counted is at least what is encoded
	is.True(w.s.bytes <= w.s.settings.MaxBytes)
	is.True(w.s.live() > 15000)
}

func TestOrder(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var o order
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
	is.True(len(o.chunks) <= 4*o.length/maxChunk+1) // stragglers share chunks
}

func bySerial(a, b *task) int {
	return cmp.Compare(a.serial, b.serial)
}

func FuzzRestore(f *testing.F) {
	w := &writer{s: New("a"), at: sessionStart}
	w.append(record.Record{Limits: &record.Limits{Revision: 1, Groups: map[string]resource.Vector{"g": unit.Scale(9)}}})
	w.append(record.Record{Own: &record.Own{Worker: "w1", Epoch: 1, Capacity: unit.Scale(4)}})
	w.submit("t1", "t2", "t3", "t4")
	w.append(record.Record{Claim: &record.Claim{Tasks: []string{"t1", "t2", "t3"}}})
	w.append(record.Record{Failed: &record.Failed{Attempt: record.Attempt{Task: "t1", Number: 1}, Worker: "w1"}})
	w.append(record.Record{Done: &record.Done{Attempt: record.Attempt{Task: "t2", Number: 1}, Worker: "w1"}})
	data, err := w.s.Snapshot()
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
		next := &writer{s: s, at: sessionStart}
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

// BenchmarkApply folds the life of one task for each iteration: submitted,
// claimed, evicted, claimed, done, beside 2,000 others that run.
func BenchmarkApply(b *testing.B) {
	w := &writer{s: populated(220, 2000), at: sessionStart}
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
	if done := w.s.Group("g").Done; done != uint64(records/5) {
		b.Fatalf("%d tasks done, want %d", done, records/5)
	}
	b.ReportMetric(float64(records)/b.Elapsed().Seconds(), "records/s")
}

// BenchmarkMemory reports the bytes of heap that each kind of thing takes.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		empty := heap(func() any { return populated(0, 0) })
		workers := heap(func() any { return populated(2000, 0) })
		tasks := heap(func() any { return populated(0, 20000) })
		ended := heap(func() any { return endAll(populated(0, 20000)) })
		groups := heap(func() any { return grouped(1000) })
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

func heap(build func() any) float64 {
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

// populated returns a state read from encoded records, as an instance has it.
func populated(workers, tasks int) *State {
	w := &writer{s: New("a"), at: sessionStart}
	limits := map[string]resource.Vector{"g": {Processors: 1 << 40, Memory: 1 << 40}}
	w.append(record.Record{Limits: &record.Limits{Revision: 1, Groups: limits}})
	for n := range workers {
		own := &record.Own{Worker: fmt.Sprint("w", n), Epoch: 1, Rack: fmt.Sprint("rack", n/11), Capacity: unit.Scale(64)}
		w.append(wired(record.Record{Own: own}))
	}
	for n := range tasks {
		id := fmt.Sprintf("rebuild-%08d-%04d", n/2, n%2)
		task := record.Task{
			ID: id, Job: id[:16], Group: "g", Need: unit, Duration: time.Hour,
			Command: "glossary rebuild --part=" + id,
		}
		w.append(wired(record.Record{Submit: &record.Submit{Tasks: []record.Task{task}}}))
		if workers > 0 {
			w.append(wired(record.Record{Claim: &record.Claim{Tasks: []string{id}}}))
		}
	}
	w.s.instances["a"].newest().sequence = 0
	return w.s
}

func grouped(n int) *State {
	limits := map[string]resource.Vector{}
	for i := range n {
		limits[fmt.Sprint("group-", i)] = unit
	}
	w := &writer{s: New("a"), at: sessionStart}
	w.append(wired(record.Record{Limits: &record.Limits{Revision: 1, Groups: limits}}))
	return w.s
}

func endAll(s *State) *State {
	for _, t := range s.liveTasks() {
		s.cancelTask(t, &Outcome{})
	}
	return s
}

func wired(r record.Record) record.Record {
	return must(record.Decode(must(record.Encode(r))))
}
