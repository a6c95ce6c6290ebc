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
	watchInterval  = 20 * time.Millisecond
	statusInterval = 5 // watch intervals
)

// watch samples workers and instances during the run, and records violations of
// guarantees.
type watch struct {
	site *site

	mu          sync.Mutex
	revisions   map[string]uint64
	rollbacks   []string
	overcommits []string
	samples     int
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
		if n%statusInterval == 0 {
			w.sampleInstances(ctx)
		}
	}
}

// sampleWorkers compares the needs of each worker's running tasks with its
// capacity. A worker's report is a consistent snapshot.
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
			w.overcommits = append(w.overcommits, fmt.Sprintf("worker=%s runs %v, holds %v", m.id, sum, capacity))
		}
		w.mu.Unlock()
	}
}

func (w *watch) sampleInstances(ctx context.Context) {
	for _, in := range w.site.running() {
		s, err := in.operator.status(ctx)
		if err != nil {
			continue // the instance stopped meanwhile
		}
		w.checkRevision(in.id, s.Revision)
	}
}

// checkRevision records an instance's revision, and a violation if it is older than before.
func (w *watch) checkRevision(id string, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if before := w.revisions[id]; revision < before {
		w.rollbacks = append(w.rollbacks, fmt.Sprintf("instance=%s went from revision %d to %d", id, before, revision))
	}
	w.revisions[id] = revision
}
