package controller_test

import (
	"strings"
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

// Guards against an owner that takes one worker for two. w1 is gone, and w0 was
// started at the address that the instance list still has for w1.
func TestAddressOfAnotherWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 1, 2)
	h.addresses = map[string]string{"w1": "w0"}
	h.run(3 * time.Second)
	h.feed(h.instances["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(10 * time.Second)
	owned, _ := h.instances["e0"].c.State().Worker("w0")
	_, known := h.instances["e0"].c.State().Worker("w1")
	is.True(!known)
	is.Equal(owned.Epoch, provider.NextEpoch(0, 1)) // the lease was granted once
}

// Guards against a task that runs on two workers. The Own records of e0 for w1
// wait while it can't reach the log. w1 restarts as e0 leaves, and e1 owns the
// new incarnation under a lower epoch when the records reach the log.
func TestOwnRecordOfTheIncarnationBefore(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 2, 3)
	h.run(3 * time.Second)
	h.feed(h.instances["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(10 * time.Second)
	h.cutLinks[[2]string{"e0", logEndpoint}] = true
	for range 2 { // e0 takes further epochs
		h.cutLinks[[2]string{"e0", "w1"}] = true
		h.run(4 * time.Second)
		delete(h.cutLinks, [2]string{"e0", "w1"})
		h.run(4 * time.Second)
	}
	h.restartWorker("w1")
	h.feed(h.instances["e0"], controller.Leave{})
	h.runCommand("submit", []string{"e1", "6", "red", "sleep", "40s"})
	h.runCommand("submit", []string{"e1", "4", "blue", "sleep", "8s"})
	h.run(8 * time.Second)
	is.True(len(h.workers["w1"].Report().Tasks) > 0)
	clear(h.cutLinks)
	isWritten := func() bool { return strings.Contains(h.transcript.String(), "by e0/6: own worker=w1") }
	for end := h.now.Add(10 * time.Second); h.now.Before(end) && !isWritten(); {
		h.run(step)
	}
	is.True(isWritten())
	h.cutLinks[[2]string{"e1", "w1"}] = true
	h.run(12 * time.Second)
	clear(h.cutLinks)
	is.True(h.runUntilSettled(3 * time.Minute))
	checkRecordedRuns(t, h)
	is.True(!strings.Contains(h.transcript.String(), "evicted")) // no run was given up
}
