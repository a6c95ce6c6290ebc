//go:build review

// Command fill plays a filling task beside serving tasks whose users keep them busy. It checks
// that the task is started, as it would disturb none of them.
package main

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/second/kit"
)

const (
	workers  = 4
	cores    = 64000
	fillCPU  = 14000 // the largest filling task of the site
	targetMs = 50
	weight   = 0.5 // of the filling task: the slack that it would take if it used the whole worker
	finishS  = 14 * time.Second
	idle     = 3 * time.Second // as the rule says
	watch    = 45 * time.Second
)

func main() {
	c := kit.NewCase()
	slack := 4.0 // target as a multiple of the tail, without filling tasks
	if c.Trouble {
		slack = 1.6
	}
	kit.Configure(c.Store, 3,
		kit.Queue{Name: "watch", Prefix: "/watch/", Service: "price", MaxAttempts: 3},
		kit.Queue{Name: "settle", Prefix: "/settle/", Service: "price", Priority: 2, MaxAttempts: 2})
	c.AddWorkers(workers, kit.WorkerOptions{Service: "price", CPU: cores, Mem: 250000,
		Plan: func(_ string, _ uint64, spec, _ string) kit.Plan {
			if spec == "watch" {
				return kit.Plan{Need: kit.Need{CPU: 13000, Mem: 26000}, AtWork: 500 * time.Millisecond}
			}
			return kit.Plan{Need: kit.Need{Mem: 13000}, Tail: fillCPU, Length: 3 * time.Second}
		},
		Row: func(_, spec string, beside []string, tail int64) int64 {
			if spec != "watch" {
				return tail
			}
			left := slack
			for _, s := range beside {
				if s != "watch" {
					left -= weight * fillCPU / cores
				}
			}
			return int64(targetMs/left + 0.5)
		}})
	c.AddEntries(3)
	submit(c, "/watch/", map[string]any{"spec": "watch", "phases": []map[string]any{{"count": workers, "cpu": 13000, "memMb": 26000,
		"estimateMs": 500, "longRunning": true, "image": "watch", "targetMs": targetMs, "mayMiss": 1, "antiAffinity": 1}}})
	time.Sleep(8 * time.Second)
	path := submit(c, "/settle/", map[string]any{"spec": "settle", "phases": []map[string]any{{"count": 1, "cpu": fillCPU, "memMb": 13000,
		"estimateMs": 3000, "image": "settle", "fills": true}}})
	id := path[len("/settle/"):]
	traffic := time.Now() // its end
	broken := false
	for time.Since(traffic) < watch {
		state := kit.State(c.Record, c.Entries[1], path)
		if state == "completed" {
			if broken {
				c.Exit(1, "LOST: nothing of the job ran for over %v; it was completed after %.1f s", idle, time.Since(traffic).Seconds())
			}
			c.Exit(0, "the filling task was completed after %.1f s", time.Since(traffic).Seconds())
		}
		started := false
		for _, e := range c.Events() {
			started = started || e.What == "start" && kit.JobOf(e.Task) == id
		}
		if !started && !broken && time.Since(traffic) > finishS+idle {
			broken = true
			c.Record.Printf("LOST: nothing of the filling job has run")
		}
		time.Sleep(250 * time.Millisecond)
	}
	for _, e := range c.Entries {
		c.Record.Printf("%s log:\n%s", e.Name, e.Log())
	}
	if broken {
		c.Exit(1, "LOST: %.0f s after the traffic the filling job is %s and nothing of it was started; each of the %d workers has %d of %d thousandths of a core unused",
			time.Since(traffic).Seconds(), kit.State(c.Record, c.Entries[1], path), workers, cores-13000, cores)
	}
	c.Exit(0, "the filling task was started")
}

func submit(c *kit.Case, prefix string, job any) string {
	path := prefix + kit.ID()
	if !kit.Submit(c.Record, c.Entries, path, job) {
		c.Exit(2, "a job wasn't accepted")
	}
	return path
}
