//go:build review

// Command giveup plays clients that leave early and cancel their jobs, while answers of the
// store are lost and writes are done late. It checks that no task of a job starts long after
// the job's cancelling was acknowledged.
package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/second/kit"
)

const (
	lostShare  = 0.3             // of the writes, as the bench's platform_lost
	lateMin    = 1 * time.Second // as platform_lost late
	lateMax    = 6 * time.Second // as platform_lost late
	lostFor    = time.Second     // each time
	rounds     = 8
	pause      = 8 * time.Second        // from one time to the next
	leaveShare = 0.4                    // of the clients, as give_up
	leaveMost  = 125 * time.Millisecond // half of the objective of 250 ms, as give_up
	cancelMs   = 3 * time.Second
	contactMs  = 3 * time.Second
	jobs       = 40 // each time
	watch      = 10 * time.Second
)

type cancelled struct {
	id, answer string
	at         time.Time
}

func main() {
	c := kit.NewCase()
	kit.Configure(c.Store, 3, kit.Queue{Name: "weigh", Prefix: "/weigh/", Service: "price", MaxAttempts: 4})
	c.AddWorkers(6, kit.WorkerOptions{Service: "price", CPU: 64000, Mem: 250000,
		Plan: func(string, uint64, string, string) kit.Plan {
			return kit.Plan{Need: kit.Need{CPU: 1000, Mem: 500}, Tail: 1000, Length: 500 * time.Millisecond}
		}})
	c.AddEntries(3)
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var until time.Time
	var ended []time.Time // ends of the spans in which answers were lost
	c.Store.OnAppend = func(topic string, keys []string) kit.Fate {
		mu.Lock()
		defer mu.Unlock()
		if !time.Now().Before(until) || rand.Float64() >= lostShare {
			return kit.Fate{}
		}
		late := lateMin + time.Duration(rand.Int64N(int64(lateMax-lateMin)))
		c.Record.Printf("store loses its answer to an append to %s, and does it %v later: %s", topic, late.Round(time.Millisecond), strings.Join(keys, " "))
		return kit.Fate{Lose: true, Delay: late}
	}
	var gone []cancelled
	for range rounds {
		if c.Trouble {
			mu.Lock()
			until = time.Now().Add(lostFor)
			mu.Unlock()
		}
		var group sync.WaitGroup
		for i := range jobs {
			group.Add(1)
			go func() {
				defer group.Done()
				time.Sleep(time.Duration(i) * lostFor / jobs)
				if x, ok := client(c, i, rand.Float64() < leaveShare); ok {
					mu.Lock()
					gone = append(gone, x)
					mu.Unlock()
				}
			}()
		}
		time.Sleep(lostFor + pause)
		mu.Lock()
		ended = append(ended, until)
		mu.Unlock()
		group.Wait()
	}
	c.Record.Printf("%d jobs were cancelled by clients that had left", len(gone))
	time.Sleep(watch)
	broken := 0
	for _, x := range gone {
		for _, e := range c.Events() {
			late := e.At.Sub(x.at)
			if e.What == "start" && kit.JobOf(e.Task) == x.id && late > cancelMs && isStable(e.At, ended) {
				broken++
				c.Record.Printf("UNASKED: %s was started on %s %.1f s after the cancelling of its job was answered with %s, with the store sound for over 3 s",
					e.Task, e.Worker, late.Seconds(), x.answer)
			}
		}
	}
	if broken > 0 {
		c.Exit(1, "UNASKED: %d tasks were started over 3 s after the cancelling of their jobs was acknowledged", broken)
	}
	c.Exit(0, "no task was started long after its job's cancelling")
}

// isStable reports whether the store was sound for contactMs before a time.
func isStable(at time.Time, ended []time.Time) bool {
	for _, end := range ended {
		if at.After(end.Add(-lostFor)) && at.Sub(end) <= contactMs {
			return false
		}
	}
	return true
}

// client hands a job in. One that leaves has its job cancelled, and reports when that was
// acknowledged.
func client(c *kit.Case, n int, leaves bool) (cancelled, bool) {
	id := kit.ID()
	path := "/weigh/" + id
	job := map[string]any{"spec": "weigh " + id, "phases": []map[string]any{{"count": 2, "cpu": 1000, "memMb": 500, "estimateMs": 500}}}
	if !leaves {
		kit.Submit(c.Record, c.Entries, path, job)
		return cancelled{}, false
	}
	e := c.Entries[n%len(c.Entries)]
	patience := leaveMost/5 + time.Duration(rand.Int64N(int64(leaveMost*4/5)))
	status, answer := kit.Call(e, "POST", path, job, patience)
	c.Record.Printf("client POST %s at %s: %d %s", path, e.Name, status, answer)
	for i := 0; i < 20; i++ {
		e := c.Entries[(n+1+i)%len(c.Entries)]
		status, answer := kit.Call(e, "DELETE", path, nil, 3*time.Second)
		c.Record.Printf("client DELETE %s at %s: %d %s", path, e.Name, status, answer)
		if status >= 200 && status < 300 || status == 410 {
			return cancelled{id, map[bool]string{true: "410", false: "2xx"}[status == 410], time.Now()}, true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return cancelled{}, false
}
