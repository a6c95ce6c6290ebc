// Package quick measures the policies of quick requests under load and
// faults, on a fake of callers, entry instances and workers in virtual time.
//
// Usage:
//
//	err := quick.New(quick.WithSeed(1)).Run(os.Stdout)
//
// The fake has 7 entry instances in 3 availability zones and 65 workers with
// 8 slots. Times of service are log-normal with a mean of 40 ms. A message
// takes 1 ms to a caller, 1.5 ms to another availability zone and 0.1 ms
// within one. Callers arrive at random instances, don't repeat a refused
// request and wait 400 ms. Packages admission, balancer, budget, forward and
// limit decide as they do in the daemon. The same seed gives the same
// arrivals and work to the policies and to the baselines, and the same
// figures on every run.
package quick

import (
	"io"
	"sync"
)

// Bench runs the measurements.
type Bench struct {
	seed     uint64
	parallel int
	trials   bool
	only     string
}

// Option changes a Bench.
type Option func(*Bench)

// WithSeed sets the seed of arrivals, work and choices, 1 by default.
func WithSeed(seed uint64) Option {
	return func(b *Bench) { b.seed = seed }
}

// WithParallel sets how many runs go on at once, 1 by default.
func WithParallel(n int) Option {
	return func(b *Bench) { b.parallel = n }
}

// WithTrials adds the variants of the policy that were weighed.
func WithTrials(on bool) Option {
	return func(b *Bench) { b.trials = on }
}

// WithScenario measures one scenario only, by its name.
func WithScenario(name string) Option {
	return func(b *Bench) { b.only = name }
}

// New returns a Bench.
func New(opts ...Option) *Bench {
	b := &Bench{seed: 1, parallel: 1}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Run measures and writes the table.
func (b *Bench) Run(w io.Writer) error {
	_, err := io.WriteString(w, b.Measure().Markdown())
	return err
}

// Measure returns what the runs gave, in a fixed order.
func (b *Bench) Measure() Report {
	jobs := b.jobs()
	rows := make([]Row, len(jobs))
	next := make(chan int)
	var group sync.WaitGroup
	for range b.parallel {
		group.Go(func() {
			for i := range next {
				rows[i] = jobs[i].measure(b.seed)
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	group.Wait()
	return Report{Seed: b.seed, Rows: rows}
}

// jobs returns all pairs of a scenario and a policy.
func (b *Bench) jobs() []job {
	var jobs []job
	for _, c := range cases(b.trials) {
		for _, v := range c.variants {
			s := c.make()
			if b.only == "" || b.only == s.name {
				jobs = append(jobs, job{scenario: s, variant: v})
			}
		}
	}
	return jobs
}

// job is one run.
type job struct {
	scenario *scenario
	variant  variant
}

func (j job) measure(seed uint64) Row {
	return newRow(j.scenario, j.variant.name, j.scenario.execute(j.variant.make, seed))
}
