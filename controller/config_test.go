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

// maxConfigDelay bounds the time until a configuration is in force at every
// instance.
const maxConfigDelay = 12 * time.Second

// manifestRevision returns a manifest that depends on n.
func manifestRevision(n int) []byte {
	return fmt.Appendf(nil, "%s  - {name: extra-%d, share: 0%%}\n", testManifest, n)
}

// runUntilRevision advances time until every instance has a revision, and
// returns how long that took.
func (h *harness) runUntilRevision(n uint64) time.Duration {
	began := h.now
	for h.now.Sub(began) < time.Minute {
		h.run(step)
		missing := 0
		for _, id := range h.instances {
			if id.c.Revision() != n {
				missing++
			}
		}
		if missing == 0 {
			break
		}
	}
	return h.now.Sub(began)
}

// Guards against an instance that uses an old configuration for a minute while
// it can't read the log. e2 owns workers with tasks and is cut from the log,
// so that its records wait; several changes are published in succession.
// Requesting a configuration from a peer must not wait for the log.
func TestConfigurationReachesACutInstance(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 3, 4)
	h.run(3 * time.Second)
	h.feed(h.instances["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(2 * time.Second)
	h.runCommand("submit", []string{"e0", "16", "red", "sleep", "10s"})
	h.runCommand("submit", []string{"e1", "16", "blue", "sleep", "10s"})
	h.run(4 * time.Second)
	h.cutLinks[[2]string{"e2", logEndpoint}] = true
	h.run(10 * time.Second)
	for n := range 4 {
		h.feed(h.instances["e0"], controller.Apply{ID: 2, Base: uint64(n + 1), Author: "ann", Manifest: manifestRevision(n)})
		took := h.runUntilRevision(uint64(n + 2))
		t.Logf("revision %d in force everywhere after %v", n+2, took)
		is.True(took <= maxConfigDelay)
	}
}

// Guards against mixed or silently undone changes when three operators replace
// the same revision at three instances at the same time and answers of the log
// get lost: the last writer must not win, and a repeated record must not count
// twice.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 3, 3, 4)
	h.run(3 * time.Second)
	h.feed(h.instances["e0"], controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	h.run(2 * time.Second)
	h.answerLoss = 0.5
	for round := range 5 {
		base := h.instances["e0"].c.Revision()
		for _, id := range sortedKeys(h.instances) {
			h.instances[id].answers = nil
			h.feed(h.instances[id], controller.Apply{ID: 7, Base: base, Author: id, Manifest: manifestRevision(round)})
		}
		h.runUntilRevision(base + 1)
		h.run(6 * time.Second)
		won := 0
		for _, id := range sortedKeys(h.instances) {
			is.Equal(len(h.instances[id].answers), 1) // each operator gets one answer
			a := h.instances[id].answers[0]
			switch {
			case a.Err == nil:
				won++
				is.Equal(a.Revision, base+1)
			default:
				is.True(fault.Is(a.Err, fault.Conflict))
				is.True(strings.Contains(a.Err.Error(), "author=")) // the error names the winner
			}
			is.Equal(h.instances[id].c.Revision(), base+1)
		}
		is.Equal(won, 1)
	}
}
