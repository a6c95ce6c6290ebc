package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

// configBound is how soon a configuration has to be in force everywhere.
const configBound = 12 * time.Second

// revision returns a manifest that differs with n.
func revision(n int) []byte {
	return fmt.Appendf(nil, "%s  - {name: extra-%d, share: 0%%}\n", testManifest, n)
}

// awaitRevision runs until every instance has a revision, and returns how
// long that took.
func (h *harness) awaitRevision(n uint64) time.Duration {
	began := h.now
	for h.now.Sub(began) < time.Minute {
		h.run(step)
		missing := 0
		for _, node := range h.nodes {
			if node.c.Revision() != n {
				missing++
			}
		}
		if missing == 0 {
			break
		}
	}
	return h.now.Sub(began)
}

// Symptom: an instance that can't read the log works by an old configuration
// for a minute.
// Sequence: e2 owns workers with tasks and is cut from the log; its records
// wait; changes are published one after the other.
// Cause: asking a peer for a configuration waits for the log.
func TestConfigurationReachesACutInstance(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 3, 4)
	h.run(3 * time.Second)
	h.feed(h.nodes["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(2 * time.Second)
	h.perform("submit", []string{"e0", "16", "red", "sleep", "10s"})
	h.perform("submit", []string{"e1", "16", "blue", "sleep", "10s"})
	h.run(4 * time.Second)
	h.cuts[[2]string{"e2", theLog}] = true
	h.run(10 * time.Second)
	for n := range 4 {
		h.feed(h.nodes["e0"], controller.Apply{ID: 2, Base: uint64(n + 1), Author: "ann", Manifest: revision(n)})
		took := h.awaitRevision(uint64(n + 2))
		t.Logf("revision %d in force everywhere after %v", n+2, took)
		is.True(took <= configBound)
	}
}

// Symptom: two operators' changes are mixed, or the later one undoes the
// earlier without anyone being told.
// Sequence: three operators replace the same revision at three instances at
// the same time; answers of the log get lost.
// Cause: the last writer wins, or a repeated record counts twice.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 3, 3, 4)
	h.run(3 * time.Second)
	h.feed(h.nodes["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(2 * time.Second)
	h.lose = 0.5
	for round := range 5 {
		base := h.nodes["e0"].c.Revision()
		for _, id := range keys(h.nodes) {
			h.nodes[id].done = nil
			h.feed(h.nodes[id], controller.Apply{ID: 7, Base: base, Author: id, Manifest: revision(round)})
		}
		h.awaitRevision(base + 1)
		h.run(6 * time.Second)
		won := 0
		for _, id := range keys(h.nodes) {
			is.Equal(len(h.nodes[id].done), 1) // each is answered once
			a := h.nodes[id].done[0]
			switch {
			case a.Err == nil:
				won++
				is.Equal(a.Revision, base+1)
			default:
				is.True(fault.Is(a.Err, fault.Conflict))
				is.True(strings.Contains(a.Err.Error(), "author=")) // and told who won
			}
			is.Equal(h.nodes[id].c.Revision(), base+1)
		}
		is.Equal(won, 1)
	}
}
