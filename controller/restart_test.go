package controller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/standin/faults"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

// restartWorker replaces a worker's process by a new one with the same ID.
func (h *harness) restartWorker(id string) {
	before := h.workers[id]
	before.Set(worker.Faults{Common: faults.Common{Dead: true}})
	h.endedLedgers = append(h.endedLedgers, before.Ledger())
	h.restarts++
	h.workers[id] = h.newWorker(id, 1+h.restarts)
}

// Guards against a worker that stays unused after it restarts under the same
// ID.
func TestRestartedWorkerIsUsedAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 2, 1)
	h.run(3 * time.Second)
	h.feed(h.instances["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(2 * time.Second)
	for range 8 { // each new owner gets another epoch
		h.boot("e0")
		h.boot("e1")
		h.run(20 * time.Second)
	}
	h.runCommand("submit", []string{"e1", "6", "red", "sleep", "2s"})
	h.run(5 * time.Second)
	before, _ := h.anyRunning().c.State().Worker("w0")
	h.restartWorker("w0")
	h.run(1500 * time.Millisecond)
	after, _ := h.anyRunning().c.State().Worker("w0")
	is.Equal(after.Epoch, provider.NextEpoch(before.Epoch, 1+h.restarts))
	is.True(h.runUntilSettled(2 * time.Minute))
	checkRecordedRuns(t, h)
}
