package demo

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/standin/caller"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

const verifyTimeout = time.Second

// verify writes the totals and whether each guarantee held, and returns the
// number of broken guarantees.
func (s *scenario) verify() int {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	ledger := s.site.ledger("")
	s.totals(ctx, ledger)
	broken := 0
	for _, g := range []struct {
		name   string
		faults []string
	}{
		{"no task ran in two places at once", overlaps(ledger)},
		{"each task completed once", s.incomplete(ledger)},
		{"urgent tasks started in time", s.lateUrgent},
		{"each attempt ran once, and resumed from a checkpoint of the one before", invalidRestarts(ledger)},
		{"no worker held more than its capacity", s.watch.overcommits},
		{"no group held more than its share", s.overShare()},
		{"answers whole, refusals true, no other request ran twice", caller.Audit(s.tries, ledger.Nonces)},
		{"the newest configuration is in force everywhere", s.staleInstances(ctx)},
		{"no instance went back to an older configuration", s.watch.rollbacks},
		{"the planned stop cut off no request", s.cutRequests},
	} {
		if !s.report.verdict(g.name, g.faults) {
			broken++
		}
	}
	return broken
}

// totals writes the totals of the whole run, and each group's peak usage and
// limit.
func (s *scenario) totals(ctx context.Context, ledger worker.Ledger) {
	s.report.event("totals", "answered=%d refused=%v tasks=%d completed=%d evictions=%d samples=%d",
		s.answered, s.kinds, len(s.workload.tasks), completions(ledger), s.evictions(ctx), s.watch.samples)
	for _, zone := range zones {
		peaks := s.peaks(zone)
		limits := s.manifest.Limits(zone)
		for _, group := range slices.Sorted(maps.Keys(peaks)) {
			s.report.event("share", "zone=%s group=%s peak=%q limit=%q", zone, group, peaks[group], limits[group])
		}
	}
}

func overlaps(l worker.Ledger) []string {
	var faults []string
	for _, a := range l.Tasks {
		if a.Overlap {
			faults = append(faults, fmt.Sprintf("task=%s runs=%+v", a.Task, a.Runs))
		}
	}
	return faults
}

// incomplete returns the tasks that didn't complete exactly once on the workers.
func (s *scenario) incomplete(l worker.Ledger) []string {
	done := completedTasks(l)
	var faults []string
	for _, id := range slices.Sorted(maps.Keys(s.workload.tasks)) {
		if done[id] != 1 {
			faults = append(faults, fmt.Sprintf("task=%s completed=%d", id, done[id]))
		}
	}
	return faults
}

// completedTasks returns how often each task completed on the workers.
func completedTasks(l worker.Ledger) map[string]int {
	done := make(map[string]int)
	for _, a := range l.Tasks {
		for _, r := range a.Runs {
			if r.State == provider.TaskDone {
				done[a.Task]++
			}
		}
	}
	return done
}

func completions(l worker.Ledger) int {
	n := 0
	for _, times := range completedTasks(l) {
		n += times
	}
	return n
}

// invalidRestarts returns the runs that repeat an attempt, or that start with more work
// done than earlier runs of the task had reached.
func invalidRestarts(l worker.Ledger) []string {
	var faults []string
	for _, a := range l.Tasks {
		var attempt uint32
		var reached time.Duration
		for _, r := range a.Runs {
			if r.Attempt <= attempt {
				faults = append(faults, fmt.Sprintf("task=%s attempt=%d after attempt %d", a.Task, r.Attempt, attempt))
			}
			if r.From > reached {
				faults = append(faults, fmt.Sprintf("task=%s attempt=%d starts at %v, reached %v", a.Task, r.Attempt, r.From, reached))
			}
			attempt = r.Attempt
			reached = max(reached, r.To)
		}
	}
	return faults
}

// overShare returns the groups whose batch tasks held more at some time than
// their limit, which is the group's share less the needs of its services.
func (s *scenario) overShare() []string {
	var faults []string
	for _, zone := range zones {
		limits := s.manifest.Limits(zone)
		for group, peak := range s.peaks(zone) {
			if !peak.Fits(limits[group]) {
				faults = append(faults, fmt.Sprintf("zone=%s group=%s peak=%v limit=%v", zone, group, peak, limits[group]))
			}
		}
	}
	return faults
}

// peaks returns the maximum of each resource that each group's batch tasks held
// at any time.
func (s *scenario) peaks(zone string) map[string]resource.Vector {
	changes := make(map[string][]change)
	for _, a := range s.site.ledger(zone).Tasks {
		t := s.workload.tasks[a.Task]
		for _, r := range a.Runs {
			changes[t.Group] = append(changes[t.Group], change{r.Start, t.Need})
			if !r.End.IsZero() {
				changes[t.Group] = append(changes[t.Group], change{r.End, resource.Vector{}.Sub(t.Need)})
			}
		}
	}
	peaks := make(map[string]resource.Vector)
	for group, list := range changes {
		peaks[group] = peak(list)
	}
	return peaks
}

// change is the start of a task, or with a negative amount its end.
type change struct {
	at     time.Time
	amount resource.Vector
}

// peak returns the maximum sum of the changes at any time, for each resource by
// itself. At equal times ends count before starts.
func peak(changes []change) resource.Vector {
	slices.SortStableFunc(changes, func(a, b change) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return int(a.amount.Processors - b.amount.Processors)
	})
	var held, most resource.Vector
	for _, c := range changes {
		held = held.Add(c.amount)
		most.Processors = max(most.Processors, held.Processors)
		most.Memory = max(most.Memory, held.Memory)
		most.Accelerators = max(most.Accelerators, held.Accelerators)
	}
	return most
}

// staleInstances returns the running instances where the newest revision isn't in force.
func (s *scenario) staleInstances(ctx context.Context) []string {
	var faults []string
	for _, in := range s.site.running() {
		status, err := in.operator.status(ctx)
		if err != nil {
			faults = append(faults, fmt.Sprintf("instance=%s %v", in.id, err))
			continue
		}
		if status.Revision != s.revision {
			faults = append(faults, fmt.Sprintf("instance=%s revision=%d newest=%d", in.id, status.Revision, s.revision))
		}
	}
	return faults
}

// cutOff returns the requests that reached an instance and got no whole answer or
// refusal.
func cutOff(tries []caller.Try) []string {
	var faults []string
	for _, t := range tries {
		switch t.Outcome {
		case caller.MayHaveRun, caller.Truncated, caller.Foreign:
			faults = append(faults, fmt.Sprintf("nonce=%s outcome=%v", t.Nonce, t.Outcome))
		}
	}
	return faults
}
