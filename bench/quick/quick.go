// Package quick measures the policies for quick requests under load and
// faults. It simulates callers, entry instances and workers in virtual time.
//
// Usage:
//
//	err := quick.New(quick.WithSeed(1)).Run(os.Stdout)
//
// The simulation has 7 entry instances in 3 availability zones and 65 workers
// with 8 slots each. Service times are log-normal with a mean of 40 ms. A
// message takes 1 ms to a caller, 1.5 ms to another availability zone and
// 0.1 ms within one. Each caller sends to a random instance, doesn't retry a
// refused request and times out after 400 ms. Packages admission, balancer,
// budget, forward and limit decide as they do in the daemon. For the same
// seed, all policies and baselines get the same arrivals and service times,
// and every run gives the same figures.
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

// WithSeed sets the seed of arrivals, service times and random choices, 1 by
// default.
func WithSeed(seed uint64) Option {
	return func(b *Bench) { b.seed = seed }
}

// WithParallel sets how many runs execute concurrently, 1 by default.
func WithParallel(n int) Option {
	return func(b *Bench) { b.parallel = n }
}

// WithTrials adds runs of alternative settings of the policy.
func WithTrials(on bool) Option {
	return func(b *Bench) { b.trials = on }
}

// WithScenario restricts the measurement to the scenario of that name.
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

// Run executes the measurements and writes their results to w as a Markdown
// table.
func (b *Bench) Run(w io.Writer) error {
	_, err := io.WriteString(w, b.Measure().Markdown())
	return err
}

// Measure executes all runs and returns their results in a fixed order.
func (b *Bench) Measure() Report {
	runs := b.runs()
	rows := make([]Row, len(runs))
	next := make(chan int)
	var workers sync.WaitGroup
	for range b.parallel {
		workers.Go(func() {
			for i := range next {
				rows[i] = runs[i].measure(b.seed)
			}
		})
	}
	for i := range runs {
		next <- i
	}
	close(next)
	workers.Wait()
	return Report{Seed: b.seed, Rows: rows}
}

// runs returns the selected pairs of a scenario and a policy.
func (b *Bench) runs() []benchRun {
	var runs []benchRun
	for _, c := range cases(b.trials) {
		for _, v := range c.variants {
			s := c.newScenario()
			if b.only == "" || b.only == s.name {
				runs = append(runs, benchRun{scenario: s, variant: v})
			}
		}
	}
	return runs
}

// benchRun is one scenario under one policy.
type benchRun struct {
	scenario *scenario
	variant  variant
}

func (j benchRun) measure(seed uint64) Row {
	return newRow(j.scenario, j.variant.name, j.scenario.execute(j.variant.newPolicy, seed))
}
