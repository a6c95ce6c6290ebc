package controller_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

const serviceManifest = testManifest + `
services:
  - {name: quote, group: red, replicas: 4, need: {processors: 1, memory: 1GiB}, slots: 4, timeout: 500ms, command: one}
`

func withService(t *testing.T) *harness {
	h := newHarness(t, 1, 3, 4)
	h.run(3 * time.Second)
	h.feed(h.nodes["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(serviceManifest)})
	h.run(5 * time.Second)
	return h
}

// routed returns the workers that any instance would send requests to.
func (h *harness) routed(service string) map[string]bool {
	workers := map[string]bool{}
	for _, n := range h.nodes {
		if n.table == nil {
			continue
		}
		for _, b := range n.table.Backends[service] {
			if h.now.Before(b.Until) {
				workers[b.Worker] = true
			}
		}
	}
	return workers
}

// running counts the replicas that run, by their attempt.
func (h *harness) running() map[uint32]int {
	attempts := map[uint32]int{}
	for _, w := range h.workers {
		for _, r := range w.Report().Tasks {
			if r.Kind == provider.KindService && r.State == provider.TaskRunning {
				attempts[r.Attempt]++
			}
		}
	}
	return attempts
}

// Symptom: a service is down while a change of it is rolled out, or runs as
// it was before for ever.
// Sequence: four replicas run; a manifest changes the service's command.
// Cause: all replicas are replaced at once, or only new ones follow the change.
func TestServiceChangeIsRolledOut(t *testing.T) {
	is := is.New(t)
	h := withService(t)
	is.Equal(len(h.routed("quote")), 4)
	before := h.running()
	is.Equal(len(before), 1)
	changed := strings.Replace(serviceManifest, "command: one", "command: two", 1)
	h.feed(h.nodes["e1"], controller.Apply{ID: 2, Base: 1, Author: "bob", Manifest: []byte(changed)})
	for range 300 {
		h.run(step)
		is.True(len(h.routed("quote")) >= 1) // some replica takes requests at every moment
	}
	after := h.running()
	is.Equal(len(h.routed("quote")), 4)
	is.Equal(len(after), 1)
	for attempt := range after {
		is.Equal(before[attempt], 0) // none runs as before
	}
}

// Symptom: requests are cut off, and batch work is lost, when a worker leaves.
// Sequence: a replica and batch tasks run on w1; the list says that it is
// leaving; later it is gone.
// Cause: the worker goes on getting work, or its replica is stopped at once.
func TestWorkerLeaves(t *testing.T) {
	is := is.New(t)
	h := withService(t)
	h.perform("submit", []string{"e1", "8", "blue", "sleep", "30s"})
	h.perform("submit", []string{"e2", "4", "red", "sleep", "30s"})
	h.run(8 * time.Second)
	is.True(len(h.workers["w1"].Report().Tasks) > 1) // batch tasks beside the replica
	h.leaving["w1"] = true
	h.run(2 * time.Second)
	is.True(!h.routed("quote")["w1"]) // no new requests after 2 s
	started := h.ledger()
	h.run(8 * time.Second)
	for _, r := range h.workers["w1"].Report().Tasks {
		is.True(r.State != provider.TaskRunning) // all has ended there
	}
	is.Equal(startsOn(started, "w1"), startsOn(h.ledger(), "w1")) // and nothing new was started
	h.dead["w1"] = true
	is.True(h.settledBy(2 * time.Minute))
	once(t, h)
}

func startsOn(l worker.Ledger, id string) int {
	n := 0
	for _, account := range l.Tasks {
		for _, r := range account.Runs {
			if r.Worker == id {
				n++
			}
		}
	}
	return n
}

// Symptom: requests are cut off when a service changes.
// Sequence: a replica leaves the routing table; requests sent just before are
// still answered; it is stopped.
// Cause: it is stopped as soon as it leaves the table.
func TestReplicaDrainsBeforeItStops(t *testing.T) {
	is := is.New(t)
	const drain = 2 * time.Second // longer than the service's timeout
	h := withService(t)
	before := keysOf(h.running())[0]
	changed := strings.Replace(serviceManifest, "command: one", "command: two", 1)
	h.feed(h.nodes["e1"], controller.Apply{ID: 2, Base: 1, Author: "bob", Manifest: []byte(changed)})
	left := map[string]time.Time{}
	stopped := 0
	for range 300 {
		h.run(step)
		routed := h.routed("quote")
		for id, w := range h.workers {
			old := runs(w, before)
			switch {
			case old && !routed[id] && left[id].IsZero():
				left[id] = h.now
			case !old && !left[id].IsZero():
				is.True(h.now.Sub(left[id]) >= drain)
				left[id] = time.Time{}
				stopped++
			}
		}
	}
	is.Equal(stopped, 4)
}

func runs(w *worker.Worker, attempt uint32) bool {
	for _, r := range w.Report().Tasks {
		if r.Kind == provider.KindService && r.State == provider.TaskRunning && r.Attempt == attempt {
			return true
		}
	}
	return false
}

func keysOf(m map[uint32]int) []uint32 {
	var all []uint32
	for k := range m {
		all = append(all, k)
	}
	return all
}

// Symptom: a planned stop of a zone's last instance takes the whole drain time.
// Sequence: the only instance, with tasks running, is told to leave.
// Cause: it gives its workers up, and waits for reports of the tasks there.
func TestLastInstanceLeavesAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 1, 2)
	h.run(3 * time.Second)
	h.feed(h.nodes["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(2 * time.Second)
	h.perform("submit", []string{"e0", "6", "red", "sleep", "1m"})
	h.run(5 * time.Second)
	h.feed(h.nodes["e0"], controller.Leave{})
	h.run(2 * time.Second)
	is.Equal(len(h.nodes), 0) // it has left
	running := 0
	for _, w := range h.workers {
		running += len(w.Report().Tasks)
	}
	is.Equal(running, 6) // and its tasks go on
}
