package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

const (
	watchInterval = 20 * time.Millisecond
	statusEvery   = 5 // watch intervals
)

// watch samples workers and instances all along.
type watch struct {
	site *site

	mu        sync.Mutex
	revisions map[string]uint64
	backward  []string
	overfull  []string
	samples   int
}

func newWatch(s *site) *watch {
	return &watch{site: s, revisions: make(map[string]uint64)}
}

// run samples until ctx ends.
func (w *watch) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.sampleWorkers()
		if n%statusEvery == 0 {
			w.sampleInstances(ctx)
		}
	}
}

// sampleWorkers compares what each worker runs with what it holds. A worker's
// report is taken at one moment.
func (w *watch) sampleWorkers() {
	for _, m := range w.site.workers {
		var sum resource.Vector
		for _, t := range m.Report().Tasks {
			if t.State == provider.TaskRunning {
				sum = sum.Add(t.Need)
			}
		}
		w.mu.Lock()
		w.samples++
		if !sum.Fits(capacity) {
			w.overfull = append(w.overfull, fmt.Sprintf("worker=%s runs %v, holds %v", m.id, sum, capacity))
		}
		w.mu.Unlock()
	}
}

func (w *watch) sampleInstances(ctx context.Context) {
	for _, in := range w.site.running() {
		s, err := in.operator.status(ctx)
		if err != nil {
			continue // stopped meanwhile
		}
		w.see(in.id, s.Revision)
	}
}

func (w *watch) see(id string, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if before := w.revisions[id]; revision < before {
		w.backward = append(w.backward, fmt.Sprintf("instance=%s went from revision %d to %d", id, before, revision))
	}
	w.revisions[id] = revision
}
