//go:build review

// Command trial plays a worker that crashes just after a lasting task began on it, on a service
// whose quick tasks keep coming. It checks that the lasting task runs again.
package main

import (
	"strings"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/second/kit"
)

const (
	workers      = 4
	cores        = 32000
	jobsEvery    = 50 * time.Millisecond
	jobTasks     = 8
	taskLength   = 150 * time.Millisecond
	taskCPU      = 500
	crashAfter   = 100 * time.Millisecond
	calm         = 4 * time.Second
	afterLastRun = 6 * time.Second
	idle         = 3 * time.Second
	shown        = 20 * time.Second // the case goes on for that long, to show that it lasts
	watch        = 40 * time.Second
)

func main() {
	c := kit.NewCase()
	var mu sync.Mutex
	started := 0
	var lasting string
	lastRun := make(map[string]time.Time)
	where := make(map[string]string)
	kit.Configure(c.Store, 3,
		kit.Queue{Name: "watch", Prefix: "/watch/", Service: "text", MaxAttempts: 3},
		kit.Queue{Name: "check", Prefix: "/check/", Service: "text", MaxAttempts: 4})
	o := kit.WorkerOptions{Service: "text", CPU: cores, Mem: 125000,
		Plan: func(_ string, _ uint64, spec, _ string) kit.Plan {
			if spec == "watch" {
				return kit.Plan{Need: kit.Need{CPU: 2000, Mem: 2000}, Tail: 10, AtWork: 300 * time.Millisecond}
			}
			return kit.Plan{Need: kit.Need{CPU: taskCPU, Mem: 200}, Tail: taskCPU, Length: taskLength}
		},
		Observe: func(e kit.Event) {
			mu.Lock()
			defer mu.Unlock()
			if e.What == "start" {
				started++
			}
			if lasting == "" || kit.JobOf(e.Task) != lasting {
				return
			}
			c.Record.Event(e)
			lastRun[e.Task] = e.At
			delete(where, e.Task)
			if e.What == "start" {
				where[e.Task] = e.Worker
			}
		}}
	c.AddWorkers(workers, o)
	c.AddEntries(3, "cloudApi.address="+c.NewCloud(), "cloudApi.ratePerS=60", "cloudApi.dutyPerS=60", "bounds.stopTimeoutMs=200")
	stop := make(chan struct{})
	accepted, failed := 0, 0
	for i := range 3 {
		go func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(3 * jobsEvery):
				}
				path := "/check/" + kit.ID()
				status, _ := kit.Call(c.Entries[i], "POST", path, map[string]any{"spec": "check", "phases": []map[string]any{{"count": jobTasks,
					"cpu": taskCPU, "memMb": 200, "estimateMs": 150}}}, 3*time.Second)
				mu.Lock()
				if status == 200 {
					accepted++
				} else {
					failed++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	id := kit.ID()
	mu.Lock()
	lasting = id
	mu.Unlock()
	if !kit.Submit(c.Record, c.Entries, "/watch/"+id, map[string]any{"spec": "watch", "phases": []map[string]any{{"count": 1, "cpu": 2000, "memMb": 2000,
		"estimateMs": 300, "longRunning": true, "image": "watch", "targetMs": 50, "mayMiss": 1}}}) {
		c.Exit(2, "the lasting job wasn't accepted")
	}
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		mu.Lock()
		n := len(where)
		mu.Unlock()
		if n > 0 {
			break
		}
		if time.Now().After(until) {
			c.Exit(2, "the lasting task didn't start")
		}
	}
	time.Sleep(crashAfter)
	if c.Trouble {
		for _, w := range c.Workers {
			mu.Lock()
			hit := len(where) > 0 && w.ID() == where[id+".0.0.0"]
			mu.Unlock()
			if hit {
				c.Record.Printf("worker %s is lost for good", w.ID())
				w.Crash()
				break
			}
		}
	}
	crashed := time.Now()
	before, broken := 0, false
	for time.Since(crashed) < watch {
		now := time.Now()
		mu.Lock()
		for name := range where {
			lastRun[name] = now
		}
		away := now.Sub(lastRun[id+".0.0.0"])
		n := started
		mu.Unlock()
		if away > afterLastRun+idle && now.Sub(crashed) > calm+idle && !broken {
			broken = true
			c.Record.Printf("LOST: the lasting task hasn't run for %.1f s", away.Seconds())
		}
		if broken && away > shown {
			used := kit.Need{}
			for _, w := range c.Workers {
				used.CPU += w.Used().CPU
			}
			close(stop)
			mu.Lock()
			a, f := accepted, failed
			mu.Unlock()
			for _, e := range c.Entries {
				var lines []string
				for _, l := range strings.Split(e.Log(), "\n") {
					if strings.Contains(l, id) || strings.Contains(l, "msg=load") || strings.Contains(l, "worker lost") {
						lines = append(lines, l)
					}
				}
				c.Record.Printf("%s log, lines on the job:\n%s", e.Name, strings.Join(lines, "\n"))
			}
			c.Exit(1, "LOST: the lasting task hasn't run for %.1f s; %d of %d thousandths of a core are in use; %.0f starts a second, %d quick jobs accepted, %d not",
				away.Seconds(), used.CPU, workers*cores, float64(n-before)/time.Since(crashed).Seconds(), a, f)
		}
		if before == 0 {
			before = n
		}
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	if broken {
		c.Exit(1, "LOST: the lasting task didn't run for over %v, and runs again", afterLastRun+idle)
	}
	c.Exit(0, "the lasting task runs; %.0f starts a second", float64(started-before)/time.Since(crashed).Seconds())
}
