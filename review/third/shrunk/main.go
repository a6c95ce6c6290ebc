//go:build review

// Command shrunk plays cases 10 and 11: one worker of eight shrinks while it is cut off from the
// store, or while the store is down. Its argument names which.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/third/site"
)

const (
	processors = 64000 // of a worker
	shrunk     = 35200 // of one that has shrunk, 0.55 of that
	workers    = 8
	need       = 6300 // of a task
	taskTime   = time.Second
	known      = 4100 * time.Millisecond // contactMs and a heartbeat: until then a start over the capacity is not counted
	lead       = 4 * time.Second         // from the first jobs to the disruption
	delay      = 200 * time.Millisecond
	tail       = 4 * time.Second
)

func main() {
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func run(kind, program, record string, trouble bool) int {
	s, err := site.New(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.Stop()
	if err := play(s, kind, program, trouble); err != nil {
		fmt.Fprintln(os.Stderr, err)
		s.Record("%v", err)
		return 2
	}
	code := 0
	if s.OverCapacity() > 0 {
		code = 1
	}
	s.Record("starts over the capacity: %d; exit %d", s.OverCapacity(), code)
	return code
}

func play(s *site.Site, kind, program string, trouble bool) error {
	s.Work = func(string) time.Duration { return taskTime }
	s.Need = func(string) int { return need }
	s.Known = known
	s.Configure(1, site.Queue{Name: "settle", Prefix: "/settle/", Attempts: 4})
	var all []*site.Worker
	for n := range workers {
		w, err := s.StartWorker(fmt.Sprintf("i-%d", n), fmt.Sprintf("m-%d", n), fmt.Sprintf("r1-%d", n%2), processors)
		if err != nil {
			return err
		}
		all = append(all, w)
		time.Sleep(100 * time.Millisecond) // they report at different times
	}
	for n := range 3 {
		if _, err := s.StartEntry(program, fmt.Sprintf("edge-%d", n+1), fmt.Sprintf("127.0.%d.1", n+1)); err != nil {
			return err
		}
	}
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	steps := map[string]any{"spec": "x", "phases": []map[string]any{{"count": 100, "cpu": need, "memMb": 1000, "estimateMs": taskTime.Milliseconds()}}}
	for n := range 18 { // the pool works on them for 23 s
		if status, _ := s.Call(s.Entries()[n%3], "POST", fmt.Sprintf("/settle/%016x", n+1), steps); status != 200 {
			return fmt.Errorf("job not accepted: %d", status)
		}
	}
	time.Sleep(lead)
	w := all[3]
	switch {
	case kind == "store" && trouble:
		s.Record("store down")
		s.Store.SetDown(true)
		time.Sleep(delay)
		w.Shrink(shrunk)
		time.Sleep(4500*time.Millisecond - delay)
		s.Store.SetDown(false)
		s.Record("store back")
	case kind == "cut" && trouble:
		s.Record("cut worker=%s", w.ID)
		w.Cut(true)
		time.Sleep(delay)
		w.Shrink(shrunk)
		time.Sleep(5*time.Second - delay)
		w.Cut(false)
		s.Record("not cut worker=%s", w.ID)
	default:
		w.Shrink(shrunk)
	}
	time.Sleep(tail)
	return nil
}
