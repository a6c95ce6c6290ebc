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
	steadyTime  = 2500 * time.Millisecond
	urgentLimit = 7300 * time.Millisecond // from submission to start
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
	s.report.event("submitted", "tasks=%d, those that the manifest declares included", len(s.work.tasks))
	return pause(ctx, steadyTime)
}

// hurry queues an urgent task in each zone, behind work that waits.
func (s *scenario) hurry(ctx context.Context) error {
	for _, zone := range zones {
		if err := s.queue(ctx, zone, []record.Task{urgentTask(zone)}); err != nil {
			return err
		}
	}
	return s.awaitUrgent(ctx)
}

func (s *scenario) queue(ctx context.Context, zone string, tasks []record.Task) error {
	s.work.add(zone, tasks)
	if err := s.site.first(zone).operator.submit(ctx, tasks); err != nil {
		return fmt.Errorf("submit to zone %s: %w", zone, err)
	}
	return nil
}

func (s *scenario) awaitUrgent(ctx context.Context) error {
	start := time.Now()
	started := func(context.Context) bool {
		ledger := s.site.ledger("")
		for _, zone := range zones {
			if !ran(ledger, urgentTask(zone).ID) {
				return false
			}
		}
		return true
	}
	err := s.until(ctx, urgentLimit, "urgent tasks start", started)
	if ctx.Err() != nil {
		return err
	}
	if err != nil {
		s.late = append(s.late, err.Error())
	}
	s.report.event("urgent", "tasks=%d started=%v after=%v", len(zones), err == nil, short(time.Since(start)))
	return nil
}

// finish waits until every task has completed on record.
func (s *scenario) finish(ctx context.Context) error {
	err := s.until(ctx, maxRuntime, "tasks complete", s.allDone)
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	s.reportUnfinished()
	return nil // what is missing counts with the guarantees
}

// reportUnfinished writes how far the tasks are that haven't completed, as an
// instance of their zone sees them.
func (s *scenario) reportUnfinished() {
	ctx, cancel := context.WithTimeout(context.Background(), verifyLimit)
	defer cancel()
	done := completedTasks(s.site.ledger(""))
	for _, zone := range zones {
		text, err := s.site.first(zone).operator.dump(ctx)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			id, _, _ := strings.Cut(strings.TrimPrefix(line, "task "), " ")
			if s.work.zones[id] == zone && done[id] != 1 {
				s.report.event("unfinished", "%s", strings.TrimSpace(line))
			}
		}
	}
}

func (s *scenario) allDone(ctx context.Context) bool {
	done := 0
	for _, zone := range zones {
		status, err := s.site.first(zone).operator.status(ctx)
		if err != nil {
			return false
		}
		for _, g := range status.Groups {
			done += int(g.Group.Done)
		}
	}
	return done >= len(s.work.tasks)
}

func (s *scenario) evictions(ctx context.Context) int {
	n := 0
	for _, zone := range zones {
		status, err := s.site.first(zone).operator.status(ctx)
		if err != nil {
			continue
		}
		for _, g := range status.Groups {
			n += int(g.Group.Evicted)
		}
	}
	return n
}

func ran(l worker.Ledger, id string) bool {
	for _, a := range l.Tasks {
		if a.Task == id {
			return true
		}
	}
	return false
}
