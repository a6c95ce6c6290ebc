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

// fold measures the fold by itself on the records of a zone at the peak.
func (b *Bench) fold(w io.Writer) error {
	var entries []entry
	err := b.each(func() error {
		c := newCluster(b.plan(b.size.zones(1)))
		if err := c.warm(); err != nil {
			return err
		}
		c.run(b.window)
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
			panic(err) // this program wrote it
		}
		records[i] = r
	}
	decoding := timeOf(rounds, func() {
		s := zone.New(zoneName(0))
		for _, e := range entries {
			r, _ := record.Decode(e.data)
			s.Apply(e.offset, e.at, r)
		}
	})
	var state *zone.State
	before := heapSize()
	plain := timeOf(rounds, func() {
		state = zone.New(zoneName(0))
		for i, e := range entries {
			state.Apply(e.offset, e.at, records[i])
		}
	})
	held := heapSize() - before
	snapshot, err := state.Snapshot()
	if err != nil {
		panic(err) // the default settings rule that out
	}
	encoded := timeOf(rounds, func() { _, _ = state.Snapshot() })
	restored := timeOf(rounds, func() { _, _ = zone.Restore(snapshot) })
	runtime.KeepAlive(entries)
	runtime.KeepAlive(records)
	runtime.KeepAlive(state)
	tasks := 0
	for _, g := range state.Groups() {
		tasks += int(g.Submitted)
	}
	n := float64(len(entries))
	return []string{
		fmt.Sprint(len(entries)), fmt.Sprint(size), number(n / decoding.Seconds()), number(n / plain.Seconds()),
		fmt.Sprint(tasks), fmt.Sprint(held), fmt.Sprint(len(snapshot)), encoded.Round(10 * time.Microsecond).String(), restored.Round(10 * time.Microsecond).String(),
	}
}

// timeOf returns the least processor time of one of several rounds.
func timeOf(rounds int, f func()) time.Duration {
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
