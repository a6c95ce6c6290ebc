package controller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// maxUrgentDelay bounds the time until an urgent task starts.
const maxUrgentDelay = 7300 * time.Millisecond

// Guards against urgent tasks that wait for minutes because capacity becomes
// free only when a task ends. Long tasks take all workers and the whole limit
// of the urgent tasks' group, and then urgent tasks are submitted one after
// the other.
func TestUrgentStarts(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 3, 4)
	h.run(3 * time.Second)
	h.feed(h.instances["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(2 * time.Second)
	h.runCommand("submit", []string{"e1", "40", "red", "sleep", "1h"})
	h.runCommand("submit", []string{"e2", "40", "blue", "sleep", "1h"})
	h.run(10 * time.Second)
	var ids []string
	submitted := map[string]time.Time{}
	for _, node := range []string{"e0", "e1", "e2", "e0"} {
		id := "urgent-" + node + h.now.Format("-05")
		task := record.Task{ID: id, Group: "red", Need: resource.Vector{Processors: 2000, Memory: 512}, Command: "sleep 1h", Urgent: true}
		h.feed(h.instances[node], controller.Submit{ID: 9, Tasks: []record.Task{task}})
		submitted[id] = h.now
		ids = append(ids, id)
		h.run(2 * time.Second)
	}
	h.run(10 * time.Second)
	started := map[string]time.Time{}
	for _, account := range h.ledger().Tasks {
		started[account.Task] = account.Runs[0].Start
	}
	for _, id := range ids {
		is.True(!started[id].IsZero()) // the task started
		wait := started[id].Sub(submitted[id])
		t.Logf("%s started after %v", id, wait)
		is.True(wait <= maxUrgentDelay)
	}
}
