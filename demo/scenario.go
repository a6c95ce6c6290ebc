package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/manifest"
	"github.com/dogwoodladder/dogwoodladder/standin/caller"
)

const (
	writeFraction  = 0.4
	workTime       = 5 * time.Millisecond
	slowWork       = 250 * time.Millisecond
	slowRate       = 80.0
	requestTimeout = 2 * time.Second
)

// scenario is the state of one run and the results collected so far.
type scenario struct {
	site     *site
	report   *report
	watch    *watch
	rate     float64
	seed     uint64
	manifest *manifest.Manifest
	workload *workload
	revision uint64

	tries       []caller.Try
	kinds       counts
	answered    int
	lateUrgent  []string // urgent tasks that didn't start in time
	cutRequests []string // requests that the planned stop cut off
}

func newScenario(d *Demo, s *site, r *report) *scenario {
	return &scenario{site: s, report: r, watch: newWatch(s), rate: d.rate, seed: d.seed, kinds: make(counts)}
}

// run executes all phases under load.
func (s *scenario) run(ctx context.Context) error {
	watching, stop := context.WithCancel(ctx)
	var watched sync.WaitGroup
	watched.Go(func() { s.watch.run(watching) })
	defer watched.Wait()
	defer stop()
	phases := []struct {
		name string
		step func(context.Context) error
		opts []caller.Option
	}{
		{"steady", s.submit, nil},
		{"reconfigure", s.reconfigure, nil},
		{"urgent", s.submitUrgent, nil},
		{"conflict", s.applyConcurrently, nil},
		{"outage", s.breakLog, nil},
		{"kill", s.kill, nil},
		{"stop", s.stop, []caller.Option{caller.WithRate(slowRate), caller.WithWork(slowWork)}},
		{"finish", s.finish, nil},
	}
	for _, p := range phases {
		if err := s.underLoad(ctx, p.name, p.step, p.opts); err != nil {
			return fmt.Errorf("phase %s: %w", p.name, err)
		}
	}
	return nil
}

// underLoad runs a step while callers send requests to all instances that are
// running at its start.
func (s *scenario) underLoad(ctx context.Context, phase string, step func(context.Context) error, opts []caller.Option) error {
	s.seed++
	all := append([]caller.Option{
		caller.WithRate(s.rate),
		caller.WithSeed(s.seed),
		caller.WithWrites(writeFraction),
		caller.WithWork(workTime),
		caller.WithTimeout(requestTimeout),
	}, opts...)
	c, err := caller.New(s.site.callerAddresses(), service, all...)
	if err != nil {
		return err
	}
	calling, stop := context.WithCancel(ctx)
	defer stop()
	summaries := make(chan caller.Summary, 1)
	go func() { summaries <- c.Run(calling) }()
	err = step(ctx)
	stop()
	s.recordSummary(phase, <-summaries)
	return err
}

// recordSummary adds a phase's summary to the results.
func (s *scenario) recordSummary(phase string, summary caller.Summary) {
	s.tries = append(s.tries, summary.Tries...)
	s.kinds.add(summary.Kinds)
	s.answered += summary.Outcomes[caller.Answered]
	s.report.requests(phase, summary)
	if phase == "stop" {
		s.cutRequests = cutOff(summary.Tries)
	}
}
