package demo

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

const (
	steadyTime    = 2500 * time.Millisecond
	urgentTimeout = 7300 * time.Millisecond // from submission to start
)

// submit queues the batch work.
func (s *scenario) submit(ctx context.Context) error {
	for _, zone := range zones {
		for _, b := range batches {
			if err := s.queue(ctx, zone, b.tasks(zone)); err != nil {
				return err
			}
		}
	}
	s.report.event("submitted", "tasks=%d, those that the manifest declares included", len(s.workload.tasks))
	return pause(ctx, steadyTime)
}

// submitUrgent queues an urgent task in each zone behind waiting tasks, and waits until
// they start.
func (s *scenario) submitUrgent(ctx context.Context) error {
	for _, zone := range zones {
		if err := s.queue(ctx, zone, []record.Task{urgentTask(zone)}); err != nil {
			return err
		}
	}
	return s.awaitUrgent(ctx)
}

func (s *scenario) queue(ctx context.Context, zone string, tasks []record.Task) error {
	s.workload.add(zone, tasks)
	if err := s.site.firstInstance(zone).operator.submit(ctx, tasks); err != nil {
		return fmt.Errorf("submit to zone %s: %w", zone, err)
	}
	return nil
}

func (s *scenario) awaitUrgent(ctx context.Context) error {
	start := time.Now()
	started := func(context.Context) bool {
		ledger := s.site.ledger("")
		for _, zone := range zones {
			if !hasRun(ledger, urgentTask(zone).ID) {
				return false
			}
		}
		return true
	}
	err := s.waitUntil(ctx, urgentTimeout, "urgent tasks start", started)
	if ctx.Err() != nil {
		return err
	}
	if err != nil {
		s.lateUrgent = append(s.lateUrgent, err.Error())
	}
	s.report.event("urgent", "tasks=%d started=%v after=%v", len(zones), err == nil, roundLatency(time.Since(start)))
	return nil
}

// finish waits until every task is recorded as completed.
func (s *scenario) finish(ctx context.Context) error {
	err := s.waitUntil(ctx, maxRuntime, "tasks complete", s.allDone)
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	s.reportUnfinished()
	return nil // verify counts the unfinished tasks
}

// reportUnfinished writes the state of each task that hasn't completed once, from
// the dump of an instance of its zone.
func (s *scenario) reportUnfinished() {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	done := completedTasks(s.site.ledger(""))
	for _, zone := range zones {
		text, err := s.site.firstInstance(zone).operator.dump(ctx)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			id, _, _ := strings.Cut(strings.TrimPrefix(line, "task "), " ")
			if s.workload.zones[id] == zone && done[id] != 1 {
				s.report.event("unfinished", "%s", strings.TrimSpace(line))
			}
		}
	}
}

func (s *scenario) allDone(ctx context.Context) bool {
	done := 0
	for _, zone := range zones {
		status, err := s.site.firstInstance(zone).operator.status(ctx)
		if err != nil {
			return false
		}
		for _, g := range status.Groups {
			done += int(g.Group.Done)
		}
	}
	return done >= len(s.workload.tasks)
}

func (s *scenario) evictions(ctx context.Context) int {
	n := 0
	for _, zone := range zones {
		status, err := s.site.firstInstance(zone).operator.status(ctx)
		if err != nil {
			continue
		}
		for _, g := range status.Groups {
			n += int(g.Group.Evicted)
		}
	}
	return n
}

func hasRun(l worker.Ledger, id string) bool {
	for _, a := range l.Tasks {
		if a.Task == id {
			return true
		}
	}
	return false
}
