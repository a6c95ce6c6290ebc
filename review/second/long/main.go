//go:build review

// Command long plays a task that takes minutes although its job estimates seconds. It checks
// that the task runs on.
package main

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/second/kit"
)

const (
	estimate = 3 * time.Second
	finishS  = 14 * time.Second
	idle     = 3 * time.Second // as the rule says
	watch    = 42 * time.Second
	cores    = 64000
	label    = "kind-b"
)

func main() {
	c := kit.NewCase()
	length := 20 * time.Second
	if c.Trouble {
		length = 10 * time.Minute
	}
	need := kit.Need{CPU: 7000, Mem: 13000}
	kit.Configure(c.Store, 3, kit.Queue{Name: "settle", Prefix: "/settle/", Service: "price", Priority: 2, MaxAttempts: 2})
	o := kit.WorkerOptions{Service: "price", CPU: cores, Mem: 250000, Plan: func(string, uint64, string, string) kit.Plan {
		return kit.Plan{Need: need, Tail: need.CPU, Length: length}
	}}
	c.AddWorkers(5, o)
	o.Label = label
	c.AddWorkers(1, o)
	c.AddEntries(3)
	time.Sleep(2 * time.Second)
	path := "/settle/" + kit.ID()
	job := map[string]any{"spec": "end of day settlement", "phases": []map[string]any{{"count": 1, "cpu": need.CPU, "memMb": need.Mem,
		"estimateMs": estimate.Milliseconds(), "constraints": label}}}
	if !kit.Submit(c.Record, c.Entries, path, job) {
		c.Exit(2, "the job wasn't accepted")
	}
	traffic := time.Now() // its end
	lastRun := traffic
	longest := time.Duration(0)
	for time.Since(traffic) < watch {
		now := time.Now()
		if len(c.Workers[5].Running()) > 0 {
			lastRun = now
		}
		if now.Sub(traffic) > finishS {
			longest = max(longest, min(now.Sub(lastRun), now.Sub(traffic)-finishS))
		}
		if kit.State(c.Record, c.Entries[0], path) == "completed" {
			c.Exit(0, "the job is completed")
		}
		time.Sleep(100 * time.Millisecond)
	}
	starts, stopped := 0, 0
	worked := time.Duration(0)
	var began time.Time
	for _, e := range c.Events() {
		switch {
		case e.What == "start":
			starts++
			began = e.At
		case e.What == "end" && e.How == "stopped":
			stopped++
			worked = max(worked, e.At.Sub(began))
		}
	}
	state := kit.State(c.Record, c.Entries[0], path)
	for _, e := range c.Entries {
		c.Record.Printf("%s log:\n%s", e.Name, e.Log())
	}
	if longest > idle {
		c.Exit(1, "LOST: %.1f s after the traffic the job is %s; its only task was started %d times and stopped %d times, after %.1f s of work at most, and nothing of it ran for %.1f s on end, with the only worker that has the label sound and idle",
			time.Since(traffic).Seconds(), state, starts, stopped, worked.Seconds(), longest.Seconds())
	}
	c.Exit(0, "the task runs; %d starts", starts)
}
