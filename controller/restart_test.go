package controller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

// restart has a worker's process end, and another one come up under its ID at once.
func (h *harness) restart(id string) {
	h.workers[id] = worker.New(id,
		worker.WithClock(func() time.Time { return h.now }),
		worker.WithCapacity(resource.Vector{Processors: 4000, Memory: 8192}))
}

// Guards against a worker that stays out of use once it is back under its ID.
func TestRestartedWorkerIsUsedAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 2, 1)
	h.run(3 * time.Second)
	h.feed(h.nodes["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(2 * time.Second)
	for range 8 { // each owner that follows has another epoch
		h.boot("e0")
		h.boot("e1")
		h.run(20 * time.Second)
	}
	h.perform("submit", []string{"e1", "6", "red", "sleep", "2s"})
	h.run(5 * time.Second)
	before, _ := h.any().c.State().Worker("w0")
	h.restart("w0")
	h.run(1500 * time.Millisecond)
	after, _ := h.any().c.State().Worker("w0")
	is.Equal(after.Epoch, before.Epoch+1)
	is.True(h.settledBy(2 * time.Minute))
	once(t, h)
}
