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

func newServiceHarness(t *testing.T) *harness {
	h := newHarness(t, 1, 3, 4)
	h.run(3 * time.Second)
	h.feed(h.instances["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(serviceManifest)})
	h.run(5 * time.Second)
	return h
}

// routedWorkers returns the workers to which any instance would send requests.
func (h *harness) routedWorkers(service string) map[string]bool {
	workers := map[string]bool{}
	for _, inst := range h.instances {
		if inst.routes == nil {
			continue
		}
		for _, b := range inst.routes.Backends[service] {
			if h.now.Before(b.LeaseUntil) {
				workers[b.Worker] = true
			}
		}
	}
	return workers
}

// runningReplicas counts the running replicas by attempt.
func (h *harness) runningReplicas() map[uint32]int {
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

// Guards against a service that is down while a change is rolled out, because
// all replicas are replaced at once, and against replicas that keep the old
// version, because only new ones follow the change.
func TestServiceChangeIsRolledOut(t *testing.T) {
	is := is.New(t)
	h := newServiceHarness(t)
	is.Equal(len(h.routedWorkers("quote")), 4)
	before := h.runningReplicas()
	is.Equal(len(before), 1)
	changed := strings.Replace(serviceManifest, "command: one", "command: two", 1)
	h.feed(h.instances["e1"], controller.Apply{ID: 2, Base: 1, Author: "bob", Manifest: []byte(changed)})
	for range 300 {
		h.run(step)
		is.True(len(h.routedWorkers("quote")) >= 1) // at least one replica takes requests at any time
	}
	after := h.runningReplicas()
	is.Equal(len(h.routedWorkers("quote")), 4)
	is.Equal(len(after), 1)
	for attempt := range after {
		is.Equal(before[attempt], 0) // no replica runs the old version
	}
}

// Guards against dropped requests and lost batch work when a worker leaves. A
// replica and batch tasks run on w1; the instance list marks it as leaving,
// and later it is gone. It must get no new work, and its replica must be
// drained before it is stopped.
func TestWorkerLeaves(t *testing.T) {
	is := is.New(t)
	h := newServiceHarness(t)
	h.runCommand("submit", []string{"e1", "8", "blue", "sleep", "30s"})
	h.runCommand("submit", []string{"e2", "4", "red", "sleep", "30s"})
	h.run(8 * time.Second)
	is.True(len(h.workers["w1"].Report().Tasks) > 1) // batch tasks beside the replica
	h.leavingWorkers["w1"] = true
	h.run(2 * time.Second)
	is.True(!h.routedWorkers("quote")["w1"]) // no new requests after 2 s
	started := h.ledger()
	h.run(8 * time.Second)
	for _, r := range h.workers["w1"].Report().Tasks {
		is.True(r.State != provider.TaskRunning) // every task there has ended
	}
	is.Equal(countStarts(started, "w1"), countStarts(h.ledger(), "w1")) // nothing new was started
	h.deadWorkers["w1"] = true
	is.True(h.runUntilSettled(2 * time.Minute))
	checkRecordedRuns(t, h)
}

func countStarts(l worker.Ledger, id string) int {
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

// Guards against dropped requests when a service changes. A replica leaves the
// routing table while requests sent just before are still being answered; it
// must be stopped only after the drain time.
func TestReplicaDrainsBeforeItStops(t *testing.T) {
	is := is.New(t)
	const drain = 2 * time.Second // exceeds the service's timeout
	h := newServiceHarness(t)
	before := attemptsOf(h.runningReplicas())[0]
	changed := strings.Replace(serviceManifest, "command: one", "command: two", 1)
	h.feed(h.instances["e1"], controller.Apply{ID: 2, Base: 1, Author: "bob", Manifest: []byte(changed)})
	left := map[string]time.Time{}
	stopped := 0
	for range 300 {
		h.run(step)
		routed := h.routedWorkers("quote")
		for id, w := range h.workers {
			old := runsReplica(w, before)
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

func runsReplica(w *worker.Worker, attempt uint32) bool {
	for _, r := range w.Report().Tasks {
		if r.Kind == provider.KindService && r.State == provider.TaskRunning && r.Attempt == attempt {
			return true
		}
	}
	return false
}

func attemptsOf(m map[uint32]int) []uint32 {
	var all []uint32
	for k := range m {
		all = append(all, k)
	}
	return all
}

// Guards against a planned shutdown of a zone's last instance that takes the
// whole drain time, because it drops its workers and waits for reports of
// their tasks. The only instance is told to leave while tasks run.
func TestLastInstanceLeavesAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 1, 2)
	h.run(3 * time.Second)
	h.feed(h.instances["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(2 * time.Second)
	h.runCommand("submit", []string{"e0", "6", "red", "sleep", "1m"})
	h.run(5 * time.Second)
	h.feed(h.instances["e0"], controller.Leave{})
	h.run(2 * time.Second)
	is.Equal(len(h.instances), 0) // the instance has left
	running := 0
	for _, w := range h.workers {
		running += len(w.Report().Tasks)
	}
	is.Equal(running, 6) // its tasks run on
}
