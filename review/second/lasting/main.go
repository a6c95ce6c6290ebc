//go:build review

// Command lasting plays a service on which only lasting tasks run, some of which fail at
// times. It checks that each of them runs again.
package main

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/second/kit"
)

const (
	tasks        = 4
	workers      = 3
	failureEvery = 2500 * time.Millisecond
	failures     = 16
	calm         = 4 * time.Second  // before a span that counts
	afterLastRun = 6 * time.Second  // as the rule says
	idle         = 3 * time.Second  // as the rule says
	watch        = 30 * time.Second // after the last failure
)

func main() {
	c := kit.NewCase()
	need := kit.Need{CPU: 13000, Mem: 26000}
	kit.Configure(c.Store, 3, kit.Queue{Name: "watch", Prefix: "/watch/", Service: "price", MaxAttempts: 3})
	c.AddWorkers(workers, kit.WorkerOptions{Service: "price", CPU: 64000, Mem: 250000,
		Plan: func(string, uint64, string, string) kit.Plan {
			return kit.Plan{Need: need, Tail: 10, AtWork: 500 * time.Millisecond}
		}})
	c.AddEntries(3)
	id := kit.ID()
	job := map[string]any{"spec": "grade watch", "phases": []map[string]any{{"count": tasks, "cpu": need.CPU, "memMb": need.Mem,
		"estimateMs": 500, "longRunning": true, "image": "watch", "targetMs": 50, "mayMiss": 1}}}
	if !kit.Submit(c.Record, c.Entries, "/watch/"+id, job) {
		c.Exit(2, "the job wasn't accepted")
	}
	for until := time.Now().Add(10 * time.Second); len(running(c)) < tasks; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			c.Exit(2, "the tasks didn't start")
		}
	}
	c.Record.Printf("all %d tasks run", tasks)
	for n := 0; n < failures; n++ {
		time.Sleep(failureEvery)
		if c.Trouble {
			failOldest(c)
		}
	}
	c.Record.Printf("no task fails from now on")
	calmFrom := time.Now()
	lastRun := make(map[string]time.Time) // when each task was last seen to run
	for time.Since(calmFrom) < watch {
		now := time.Now()
		up := running(c)
		for _, e := range c.Events() {
			if e.What == "end" {
				lastRun[e.Task] = e.At
			}
		}
		for name := range up {
			lastRun[name] = now
		}
		for name, at := range lastRun {
			since := max(0, now.Sub(calmFrom)-calm)
			if waits := now.Sub(at) - afterLastRun; waits > idle && since > idle {
				report(c, name, now.Sub(at))
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(running(c)) < tasks {
		c.Exit(2, "a task doesn't run, and not for long enough to count")
	}
	c.Exit(0, "each lasting task runs")
}

// running returns the tasks that run.
func running(c *kit.Case) map[string]bool {
	up := make(map[string]bool)
	for _, w := range c.Workers {
		for _, name := range w.Running() {
			up[name] = true
		}
	}
	return up
}

// failOldest lets the run fail that began first.
func failOldest(c *kit.Case) {
	started := make(map[string]time.Time)
	for _, e := range c.Events() {
		if e.What == "start" {
			started[e.Task] = e.At
		}
	}
	oldest := ""
	for name := range running(c) {
		if oldest == "" || started[name].Before(started[oldest]) {
			oldest = name
		}
	}
	for _, w := range c.Workers {
		if oldest != "" && w.Fail(oldest) {
			return
		}
	}
}

func report(c *kit.Case, name string, away time.Duration) {
	var used kit.Need
	for _, w := range c.Workers {
		n := w.Used()
		used.CPU += n.CPU
		used.Mem += n.Mem
	}
	for _, e := range c.Entries {
		c.Record.Printf("%s log:\n%s", e.Name, e.Log())
	}
	c.Exit(1, "LOST: nothing of lasting task %s has run for %.1f s; %d of %d thousandths of a core are in use, %d tasks run",
		name, away.Seconds(), used.CPU, workers*64000, len(running(c)))
}
