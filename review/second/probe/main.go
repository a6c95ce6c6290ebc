//go:build review

// Command probe plays a job that can never be done, and then a job of long tasks. It checks
// that other jobs are started beside them.
package main

import (
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/second/kit"
)

const (
	workers   = 6
	cores     = 64000
	quickJobs = 24 // before the job that can't be done: it is one of 26 of its queue
	longTasks = 12
	longTime  = 70 * time.Second
	finishS   = 14 * time.Second
	idle      = 3 * time.Second // as the rule says
)

var need = kit.Need{CPU: 6300, Mem: 13000}

func main() {
	c := kit.NewCase()
	kit.Configure(c.Store, 3,
		kit.Queue{Name: "weigh", Prefix: "/weigh/", Service: "price", MaxAttempts: 4},
		kit.Queue{Name: "settle", Prefix: "/settle/", Service: "price", Priority: 2, MaxAttempts: 2})
	c.AddWorkers(workers, kit.WorkerOptions{Service: "price", CPU: cores, Mem: 250000,
		Plan: func(_ string, _ uint64, spec, _ string) kit.Plan {
			p := kit.Plan{Need: need, Tail: need.CPU, Length: time.Second}
			switch spec {
			case "poison":
				p.Length, p.Outcome = 300*time.Millisecond, "failed"
			case "long":
				p.Length = longTime
			}
			return p
		}})
	c.AddEntries(3)
	time.Sleep(time.Second)
	var group sync.WaitGroup
	for i := range quickJobs {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			submit(c, "/settle/", "quick", 6, 1000)
		}()
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	if c.Trouble {
		path := submit(c, "/settle/", "poison", 12, 1700)
		for kit.State(c.Record, c.Entries[0], path) != "failed" {
			time.Sleep(200 * time.Millisecond)
		}
		c.Record.Printf("the job that can't be done has failed")
	}
	time.Sleep(4 * time.Second)
	submit(c, "/settle/", "long", longTasks, int(longTime.Milliseconds()))
	time.Sleep(time.Second)
	path := submit(c, "/weigh/", "quick", 2, 1000)
	id := path[len("/weigh/"):]
	traffic := time.Now() // its end
	for {
		state := kit.State(c.Record, c.Entries[1], path)
		if state == "completed" {
			c.Exit(0, "the quick job was completed after %.1f s, beside the long tasks", time.Since(traffic).Seconds())
		}
		started := false
		for _, e := range c.Events() {
			started = started || e.What == "start" && kit.JobOf(e.Task) == id
		}
		if waited := time.Since(traffic); !started && waited > finishS+idle {
			used, running := kit.Need{}, 0
			for _, w := range c.Workers {
				used.CPU += w.Used().CPU
				running += len(w.Running())
			}
			for _, e := range c.Entries {
				c.Record.Printf("%s log:\n%s", e.Name, e.Log())
			}
			c.Exit(1, "LOST: %.1f s after the traffic the quick job is %s and nothing of it was started; %d of %d long tasks run, on %d of %d thousandths of a core",
				waited.Seconds(), state, running, longTasks, used.CPU, workers*cores)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func submit(c *kit.Case, prefix, spec string, count, estimate int) string {
	path := prefix + kit.ID()
	if !kit.Submit(c.Record, c.Entries, path, map[string]any{"spec": spec, "phases": []map[string]any{{"count": count, "cpu": need.CPU, "memMb": need.Mem, "estimateMs": estimate}}}) {
		c.Exit(2, "a job wasn't accepted")
	}
	return path
}
