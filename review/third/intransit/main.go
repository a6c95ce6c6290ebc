//go:build review

// Command intransit plays case 9: a start is held up on its way, its owner is killed, the next
// owner asks the worker and starts the task elsewhere, and the worker starts again under its ID.
package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/dogwoodladder/dogwoodladder/review/third/site"
)

const (
	processors = 16000 // of a worker
	workers    = 8
	task       = "00000000000000aa" // job whose start is held up
	taskTime   = 8 * time.Second
	shortTime  = 2 * time.Second    // of the tasks that keep the other workers busy before
	long       = "00000000000000b0" // job that stays on the first worker
	short      = "00000000000000c"  // jobs on the others
	downTime   = 500 * time.Millisecond
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
	code, err := play(s, program, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		s.Record("%v", err)
		code = 2
	}
	s.Record("exit %d", code)
	return code
}

func job(processors int) map[string]any {
	return map[string]any{"spec": "x", "phases": []map[string]any{{"count": 1, "cpu": processors, "memMb": 1000, "estimateMs": taskTime.Milliseconds()}}}
}

func await(what string, timeout time.Duration, holds func() bool) error {
	for end := time.Now().Add(timeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("in vain: %s", what)
		}
	}
	return nil
}

func play(s *site.Site, program string, trouble bool) (int, error) {
	s.Work = func(name string) time.Duration {
		if strings.HasPrefix(name, short) {
			return shortTime
		}
		return taskTime
	}
	s.Configure(1, site.Queue{Name: "settle", Prefix: "/settle/", Attempts: 4})
	var all []*site.Worker
	for n := range workers {
		w, err := s.StartWorker(fmt.Sprintf("i-%d", n), fmt.Sprintf("m-%d", n), fmt.Sprintf("r1-%d", n%2), processors)
		if err != nil {
			return 2, err
		}
		all = append(all, w)
	}
	for n := range 3 {
		if _, err := s.StartEntry(program, fmt.Sprintf("edge-%d", n+1), fmt.Sprintf("127.0.%d.1", n+1)); err != nil {
			return 2, err
		}
	}
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return 2, err
	}
	var owner *site.Entry
	if err := await("an owner", 10*time.Second, func() bool { owner = s.Owner(); return owner != nil }); err != nil {
		return 2, err
	}
	time.Sleep(3 * time.Second)
	survivor := s.Other(owner)
	first := all[0]
	if trouble {
		first.HoldUp(task)
	}
	submit := func(id string, cpu int) error {
		if status, _ := s.Call(survivor, "POST", "/settle/"+id, job(cpu)); status != 200 {
			return fmt.Errorf("job %s not accepted: %d", id, status)
		}
		return nil
	}
	if err := submit(long, processors/8); err != nil {
		return 2, err
	}
	time.Sleep(300 * time.Millisecond)
	for n := 1; n < workers; n++ {
		if err := submit(fmt.Sprintf("%s%d", short, n), processors/4); err != nil {
			return 2, err
		}
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if err := submit(task, processors/2); err != nil {
		return 2, err
	}
	if trouble {
		if err := await("a start that is held up", 3*time.Second, first.HasHeldUp); err != nil {
			return 2, err
		}
		s.Record("kill instance=%s", owner.Name)
		owner.Signal(syscall.SIGKILL)
		if err := await("the task elsewhere", 8*time.Second, func() bool { return s.Runs(task) != nil }); err != nil {
			return 2, err
		}
		if s.Runs(task).ID == first.ID {
			return 2, fmt.Errorf("the next owner has chosen the same worker")
		}
		time.Sleep(300 * time.Millisecond)
		first.Crash()
		time.Sleep(downTime)
		if _, err := first.Restart(); err != nil {
			return 2, err
		}
	}
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if _, answer := s.Call(survivor, "GET", "/settle/"+task, nil); strings.HasPrefix(fmt.Sprint(answer["state"]), "completed") {
			break
		}
	}
	if s.Twice() > 0 {
		return 1, nil
	}
	return 0, nil
}
