//go:build review

// Command flap plays the only worker with a label going down and up by turns. It checks that no
// job is shown as failed whose tasks haven't failed.
package main

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/second/kit"
)

const (
	others = 9
	label  = "kind-b"
	period = 1400 * time.Millisecond // as srv_flap on the site of claim.txt
	flapS  = 6500 * time.Millisecond // as there
	jobs   = 1
	watch  = 25 * time.Second
)

func main() {
	c := kit.NewCase()
	need := kit.Need{CPU: 7000, Mem: 13000}
	kit.Configure(c.Store, 3, kit.Queue{Name: "settle", Prefix: "/settle/", Service: "price", Priority: 2, MaxAttempts: 2})
	o := kit.WorkerOptions{Service: "price", CPU: 64000, Mem: 250000, Plan: func(string, uint64, string, string) kit.Plan {
		return kit.Plan{Need: need, Tail: need.CPU, Length: 1700 * time.Millisecond}
	}}
	c.AddWorkers(others, o)
	o.Label, o.Machine = label, "m-flapping"
	c.AddWorkers(1, o)
	c.AddEntries(3, "cloudApi.address="+c.NewCloud(), "cloudApi.ratePerS=60", "cloudApi.dutyPerS=60")
	time.Sleep(2 * time.Second)
	var paths []string
	start := time.Now()
	for turn := 0; time.Since(start) < flapS; turn++ {
		if turn < jobs {
			path := "/settle/" + kit.ID()
			paths = append(paths, path)
			if !kit.Submit(c.Record, c.Entries, path, map[string]any{"spec": "settle", "phases": []map[string]any{{"count": 1, "cpu": need.CPU, "memMb": need.Mem,
				"estimateMs": 1700, "constraints": label}}}) {
				c.Exit(2, "a job wasn't accepted")
			}
		}
		time.Sleep(period / 2)
		if c.Trouble {
			w := c.Workers[len(c.Workers)-1]
			c.Record.Printf("worker %s goes down", w.ID())
			w.Crash()
		}
		time.Sleep(period / 2)
		if c.Trouble {
			c.AddWorkers(1, o)
			c.Record.Printf("worker %s is up on its machine", c.Workers[len(c.Workers)-1].ID())
		}
	}
	flapped := time.Now()
	broken, open := 0, len(paths)
	for time.Since(flapped) < watch && open > 0 {
		broken, open = 0, 0
		for _, path := range paths {
			switch state := kit.State(c.Record, c.Entries[0], path); state {
			case "completed":
			case "failed":
				broken++
			default:
				open++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	failedRuns := 0
	for _, e := range c.Events() {
		if e.What == "end" && e.How == "failed" {
			failedRuns++
		}
	}
	for _, e := range c.Entries {
		c.Record.Printf("%s log:\n%s", e.Name, e.Log())
	}
	if broken > 0 {
		c.Exit(1, "LOST: %d of %d accepted jobs are shown as failed; %d runs ended failed", broken, len(paths), failedRuns)
	}
	if open > 0 {
		c.Exit(2, "%d jobs aren't over", open)
	}
	c.Exit(0, "no job is shown as failed")
}
