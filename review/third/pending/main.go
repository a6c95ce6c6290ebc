//go:build review

// Command pending plays case 12: one start isn't answered and never carried out. Its job waits then,
// as the pool is full, and has to be counted as pending.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/third/site"
)

const (
	processors = 16000 // of a worker, and what each task needs
	workers    = 4
	waiting    = "00000000000000aa"
	lasting    = "00000000000000bb"
	visible    = 5 * time.Second // visible_ms + 2 s
	polls      = 12
)

func main() {
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(program, record string, trouble bool) int {
	s, err := site.New(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.Stop()
	wrong, err := play(s, program, trouble)
	code := 0
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		s.Record("%v", err)
		code = 2
	case wrong > 0:
		code = 1
	}
	s.Record("wrong answers: %d of %d; exit %d", wrong, polls, code)
	return code
}

func job(count int, lasts bool) map[string]any {
	return map[string]any{"spec": "x", "phases": []map[string]any{{"count": count, "cpu": processors, "memMb": 1000, "estimateMs": 20000, "longRunning": lasts}}}
}

func play(s *site.Site, program string, trouble bool) (wrong int, err error) {
	s.Work = func(string) time.Duration { return 0 } // nothing ends by itself
	s.Configure(1, site.Queue{Name: "watch", Prefix: "/watch/", Attempts: 3}, site.Queue{Name: "settle", Prefix: "/settle/", Priority: 2, Attempts: 4})
	for n := range workers {
		w, err := s.StartWorker(fmt.Sprintf("i-%d", n), fmt.Sprintf("m-%d", n), fmt.Sprintf("r1-%d", n%2), processors)
		if err != nil {
			return 0, err
		}
		if trouble {
			w.HoldUp(waiting)
		}
	}
	for n := range 2 {
		if _, err := s.StartEntry(program, fmt.Sprintf("edge-%d", n+1), fmt.Sprintf("127.0.%d.1", n+1)); err != nil {
			return 0, err
		}
	}
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	for end := time.Now().Add(10 * time.Second); s.Owner() == nil; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return 0, fmt.Errorf("no instance owns the cell")
		}
	}
	time.Sleep(3 * time.Second)
	entries := s.Entries()
	if status, _ := s.Call(entries[0], "POST", "/settle/"+waiting, job(1, false)); status != 200 {
		return 0, fmt.Errorf("job not accepted: %d", status)
	}
	accepted := time.Now()
	time.Sleep(100 * time.Millisecond)
	if status, _ := s.Call(entries[1], "POST", "/watch/"+lasting, job(workers, true)); status != 200 {
		return 0, fmt.Errorf("lasting job not accepted: %d", status)
	}
	time.Sleep(time.Until(accepted.Add(visible + time.Second)))
	for n := range polls {
		begun := s.Runs(waiting) != nil
		status, answer := s.Call(entries[n%2], "GET", "/settle/", nil)
		if pending, ok := answer["pending"].(float64); status == 200 && ok && !begun && pending < 0.5 {
			wrong++
			s.Record("rule MIXED broken: job %s was accepted %.1f s before and hasn't begun; pending is %g", waiting, time.Since(accepted).Seconds(), pending)
		}
		time.Sleep(250 * time.Millisecond)
	}
	s.Call(entries[0], "GET", "/settle/"+waiting, nil)
	return wrong, nil
}
