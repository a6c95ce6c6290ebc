package interference_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/interference"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// BenchmarkObserve measures a service's report with 12 tasks beside it, from
// 64 classes in all.
func BenchmarkObserve(b *testing.B) {
	w := newSimulation()
	for i := range 16 {
		var classes []string
		for j := range 12 {
			classes = append(classes, fmt.Sprint("job", (i*12+j)%64))
		}
		w.placeReplica(fmt.Sprint("w", i), classes...)
	}
	i := 0
	for b.Loop() {
		if i%16 == 0 {
			w.now = w.now.Add(interval)
		}
		worker := fmt.Sprint("w", i%16)
		w.e.Observe(w.now, worker, usage("r-"+worker, w.now, 10*time.Millisecond))
		i++
	}
}

// BenchmarkMemory measures the heap for 2500 services and 8300 batch tasks
// of 400 classes on 1100 workers.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		e := interference.New()
		now := start
		for i := range 8300 {
			e.Placed(now, fmt.Sprint("w", i%1100), batch(fmt.Sprint("t", i), fmt.Sprint("job", i%400)))
		}
		for i := range 2500 {
			replica := interference.Task{ID: fmt.Sprint("r", i), Class: fmt.Sprint("service", i), Kind: provider.KindService}
			e.Placed(now, fmt.Sprint("w", i%1100), replica)
		}
		for range 3 {
			now = now.Add(interval)
			for i := range 2500 {
				e.Observe(now, fmt.Sprint("w", i%1100), usage(fmt.Sprint("r", i), now, 10*time.Millisecond))
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
		b.ReportMetric(float64(len(e.State(now).Pairs)), "pairs")
		runtime.KeepAlive(e)
	}
}
