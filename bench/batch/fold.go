package batch

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// fold measures how fast the records of a zone at its peak are applied to its
// state, and the size of the state and its snapshot.
func (b *Bench) fold(w io.Writer) error {
	var entries []entry
	err := b.runParallel(func() error {
		c := newCluster(b.plan(b.size.zones(1)))
		if err := c.reachSteadyLoad(); err != nil {
			return err
		}
		c.advance(b.window)
		for _, e := range c.stream(controller.ZoneStream(zoneName(0))).entries {
			entries = append(entries, entry{e.Offset, e.Time, e.Data})
		}
		return nil
	})
	if err != nil {
		return err
	}
	rows := [][]string{foldRow(entries)}
	return table(w, "Fold of one zone's records", []string{"records", "bytes", "records/s with decoding", "records/s without", "tasks known", "heap bytes of the state", "snapshot bytes", "snapshot encoded in", "restored in"}, rows)
}

// entry is an encoded record of a stream.
type entry struct {
	offset uint64
	at     time.Time
	data   []byte
}

func foldRow(entries []entry) []string {
	const rounds = 5
	size := 0
	records := make([]record.Record, len(entries))
	for i, e := range entries {
		size += len(e.data)
		r, err := record.Decode(e.data)
		if err != nil {
			panic(err) // the records were encoded by this program
		}
		records[i] = r
	}
	decoding := minThreadTime(rounds, func() {
		s := zone.New(zoneName(0))
		for _, e := range entries {
			r, _ := record.Decode(e.data)
			s.Apply(e.offset, e.at, r)
		}
	})
	var state *zone.State
	before := heapSize()
	applying := minThreadTime(rounds, func() {
		state = zone.New(zoneName(0))
		for i, e := range entries {
			state.Apply(e.offset, e.at, records[i])
		}
	})
	heapBytes := heapSize() - before
	snapshot, err := state.Snapshot()
	if err != nil {
		panic(err) // the default settings keep a snapshot within the size of a record
	}
	encoded := minThreadTime(rounds, func() { _, _ = state.Snapshot() })
	restored := minThreadTime(rounds, func() { _, _ = zone.Restore(snapshot) })
	runtime.KeepAlive(entries)
	runtime.KeepAlive(records)
	runtime.KeepAlive(state)
	tasks := 0
	for _, g := range state.Groups() {
		tasks += int(g.Submitted)
	}
	n := float64(len(entries))
	return []string{
		fmt.Sprint(len(entries)), fmt.Sprint(size), number(n / decoding.Seconds()), number(n / applying.Seconds()),
		fmt.Sprint(tasks), fmt.Sprint(heapBytes), fmt.Sprint(len(snapshot)), encoded.Round(10 * time.Microsecond).String(), restored.Round(10 * time.Microsecond).String(),
	}
}

// minThreadTime returns the least processor time of f over several rounds.
func minThreadTime(rounds int, f func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var least time.Duration
	for range rounds {
		before := threadTime()
		f()
		if d := threadTime() - before; least == 0 || d < least {
			least = d
		}
	}
	return max(least, time.Nanosecond)
}

func heapSize() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
