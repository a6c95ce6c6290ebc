package controller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/controller"
)

const schedules = 150

// TestRandomFaults plays schedules of random faults: instances killed,
// paused, replaced and leaving, cuts between any two, log outages, lost
// answers and dead workers, often several at once. Then all heals, and every
// task has to end. The seeds are fixed.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playRandom(t, seed)
		})
	}
	t.Logf("%d schedules", schedules)
}

func playRandom(t *testing.T, seed uint64) {
	h := newHarness(t, seed, 3, 5)
	h.run(3 * time.Second)
	h.feed(h.nodes["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(2 * time.Second)
	h.perform("submit", []string{"e1", "20", "red", "sleep", "25s"})
	h.perform("submit", []string{"e2", "20", "blue", "sleep", "9s"})
	h.run(time.Second)
	for range 12 {
		h.strike()
		h.run(time.Duration(h.rand.IntN(12000)) * time.Millisecond / step * step)
	}
	h.heal()
	h.run(time.Minute) // planned stops end
	h.heal()
	if !h.settledBy(5 * time.Minute) {
		t.Fatalf("tasks left over:\n%s", h.any().c.Dump(h.now))
	}
	once(t, h)
}

// strike causes one random fault, or ends one.
func (h *harness) strike() {
	id := fmt.Sprintf("e%d", h.rand.IntN(3))
	n, up := h.nodes[id]
	switch h.rand.IntN(12) {
	case 0:
		delete(h.nodes, id)
	case 1, 2:
		if !up {
			h.boot(id)
		}
	case 3:
		if up {
			n.paused = true
		}
	case 4:
		if up {
			n.paused = false
		}
	case 5:
		h.logDown = !h.logDown
	case 6:
		h.cuts[[2]string{id, h.target()}] = true
	case 7:
		clear(h.cuts)
	case 8:
		h.lose = float64(h.rand.IntN(2)) * 0.3
	case 9:
		h.stalled[fmt.Sprintf("w%d", h.rand.IntN(5))] = true
	case 10:
		clear(h.stalled)
	case 11:
		if up && !n.paused {
			h.feed(n, controller.Leave{})
		}
	}
}

// target returns what an instance may be cut from.
func (h *harness) target() string {
	all := append([]string{theLog, "e0", "e1", "e2"}, keys(h.workers)...)
	return all[h.rand.IntN(len(all))]
}

func (h *harness) heal() {
	clear(h.cuts)
	clear(h.stalled)
	h.lose = 0
	h.logDown = false
	for _, id := range []string{"e0", "e1", "e2"} {
		if n, ok := h.nodes[id]; ok {
			n.paused = false
			continue
		}
		h.boot(id)
	}
}
