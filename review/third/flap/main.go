//go:build review

// Command flap plays case 12: a machine whose worker crashes soon after each of its starts, while
// all other workers are full. A job that waits for room must not be shown as failed for it.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/third/site"
)

const (
	processors = 16000 // of a worker, and what each task needs
	sound      = 5     // workers that stay up
	lasting    = "00000000000000aa"
	waiting    = "00000000000000bb"
	upTime     = 800 * time.Millisecond // of a life of the worker that crashes
	downTime   = 1500 * time.Millisecond
	span       = 30 * time.Second
	taskTime   = time.Second
)

func main() {
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func fail(s *site.Site, err error) int {
	fmt.Fprintln(os.Stderr, err)
	if s != nil {
		s.Stop()
	}
	return 2
}

func run(program, record string, trouble bool) int {
	s, err := site.New(record)
	if err != nil {
		return fail(nil, err)
	}
	s.Work = func(task string) time.Duration {
		if strings.HasPrefix(task, waiting) {
			return taskTime
		}
		return 0
	}
	s.Configure(1, site.Queue{Name: "watch", Prefix: "/watch/", Attempts: 3}, site.Queue{Name: "settle", Prefix: "/settle/", Attempts: 4})
	for n := range sound {
		if _, err := s.StartWorker(fmt.Sprintf("i-%d", n), fmt.Sprintf("m-%d", n), fmt.Sprintf("r1-%d", n%2), processors); err != nil {
			return fail(s, err)
		}
	}
	var entries []*site.Entry
	for n := range 2 {
		e, err := s.StartEntry(program, fmt.Sprintf("edge-%d", n+1), fmt.Sprintf("127.0.%d.1", n+1))
		if err != nil {
			return fail(s, err)
		}
		entries = append(entries, e)
	}
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return fail(s, err)
	}
	time.Sleep(2 * time.Second)
	steps := func(count int, lasts bool) map[string]any {
		return map[string]any{"spec": "x", "phases": []map[string]any{{"count": count, "cpu": processors, "memMb": 1000, "estimateMs": 1000, "longRunning": lasts}}}
	}
	if status, _ := s.Call(entries[0], "POST", "/watch/"+lasting, steps(sound, true)); status != 200 {
		return fail(s, fmt.Errorf("lasting job not accepted: %d", status))
	}
	time.Sleep(2 * time.Second)
	if status, _ := s.Call(entries[1], "POST", "/settle/"+waiting, steps(1, false)); status != 200 {
		return fail(s, fmt.Errorf("job not accepted: %d", status))
	}
	time.Sleep(time.Second)
	done := make(chan struct{})
	go flap(s, trouble, done)
	code := 2
	for end := time.Now().Add(span); time.Now().Before(end) && code == 2; time.Sleep(250 * time.Millisecond) {
		_, answer := s.Call(entries[1], "GET", "/settle/"+waiting, nil)
		switch answer["state"] {
		case "failed", "cancelled":
			s.Record("rule LOST broken: shown as %s, though none of its runs has ended failed", answer["state"])
			code = 1
		case "completed":
			code = 0
		}
	}
	close(done)
	if code == 2 && trouble {
		code = 0 // it still waits for room
	}
	s.Record("exit %d", code)
	s.Stop()
	return code
}

// flap starts a worker on one more machine again and again. Without trouble it stays up.
func flap(s *site.Site, trouble bool, done chan struct{}) {
	for life := 0; ; life++ {
		w, err := s.StartWorker(fmt.Sprintf("i-f%d", life), "m-f", "r1-0", processors)
		if err != nil {
			return
		}
		if !trouble {
			return
		}
		time.Sleep(upTime)
		w.Crash()
		select {
		case <-done:
			return
		case <-time.After(downTime):
		}
	}
}
