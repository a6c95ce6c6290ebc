package controller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/controller"
)

const (
	scheduleCount        = 150
	restartScheduleCount = 50
)

// TestRandomFaults runs schedules of random faults: instances killed, paused,
// replaced and leaving, links cut, log outages, lost answers and stalled
// workers, often several at once. Then all faults are healed, and every task
// must end. The seeds are fixed.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(scheduleCount) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomSchedule(t, seed, func(*harness) {})
		})
	}
	t.Logf("%d schedules", scheduleCount)
}

// TestRandomFaultsWithRestarts runs schedules in which workers also restart
// under their IDs.
func TestRandomFaultsWithRestarts(t *testing.T) {
	for seed := range uint64(restartScheduleCount) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomSchedule(t, 1000+seed, (*harness).restartRandomWorker)
		})
	}
}

// restartRandomWorker restarts a worker in half of the calls.
func (h *harness) restartRandomWorker() {
	if n := h.rand.IntN(2 * len(h.workers)); n < len(h.workers) {
		h.restartWorker(sortedKeys(h.workers)[n])
	}
}

func runRandomSchedule(t *testing.T, seed uint64, injectMore func(*harness)) {
	h := newHarness(t, seed, 3, 5)
	h.run(3 * time.Second)
	h.feed(h.instances["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(2 * time.Second)
	h.runCommand("submit", []string{"e1", "20", "red", "sleep", "25s"})
	h.runCommand("submit", []string{"e2", "20", "blue", "sleep", "9s"})
	h.run(time.Second)
	for range 12 {
		h.injectRandomFault()
		injectMore(h)
		h.run(time.Duration(h.rand.IntN(12000)) * time.Millisecond / step * step)
	}
	h.healAll()
	h.run(time.Minute) // lets planned shutdowns finish
	h.healAll()
	if !h.runUntilSettled(5 * time.Minute) {
		t.Fatalf("tasks left over:\n%s", h.anyRunning().c.Dump(h.now))
	}
	checkRecordedRuns(t, h)
}

// injectRandomFault causes or ends one random fault.
func (h *harness) injectRandomFault() {
	id := fmt.Sprintf("e%d", h.rand.IntN(3))
	inst, up := h.instances[id]
	switch h.rand.IntN(12) {
	case 0:
		delete(h.instances, id)
	case 1, 2:
		if !up {
			h.boot(id)
		}
	case 3:
		if up {
			inst.paused = true
		}
	case 4:
		if up {
			inst.paused = false
		}
	case 5:
		h.logDown = !h.logDown
	case 6:
		h.cutLinks[[2]string{id, h.randomEndpoint()}] = true
	case 7:
		clear(h.cutLinks)
	case 8:
		h.answerLoss = float64(h.rand.IntN(2)) * 0.3
	case 9:
		h.stalledWorkers[fmt.Sprintf("w%d", h.rand.IntN(5))] = true
	case 10:
		clear(h.stalledWorkers)
	case 11:
		if up && !inst.paused {
			h.feed(inst, controller.Leave{})
		}
	}
}

// randomEndpoint returns the other end of a link to cut from an instance.
func (h *harness) randomEndpoint() string {
	all := append([]string{logEndpoint, "e0", "e1", "e2"}, sortedKeys(h.workers)...)
	return all[h.rand.IntN(len(all))]
}

func (h *harness) healAll() {
	clear(h.cutLinks)
	clear(h.stalledWorkers)
	h.answerLoss = 0
	h.logDown = false
	for _, id := range []string{"e0", "e1", "e2"} {
		if inst, ok := h.instances[id]; ok {
			inst.paused = false
			continue
		}
		h.boot(id)
	}
}
