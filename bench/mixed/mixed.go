// Package mixed measures the colocation of batch tasks with services. It feeds
// the packages usage, interference, placement and mitigation from simulated
// workers with a hidden table of pairwise slowdowns, and compares their
// decisions with simpler policies and with an oracle.
//
// Usage:
//
//	err := mixed.New(mixed.WithSeeds(5)).Run(os.Stdout)
//
// Run prints Markdown tables. All time is virtual and all seeds are fixed, so
// the same options print the same figures. The simulation models only the
// inputs of the decisions: services don't slow each other down, and moves of
// services are counted but not carried out.
package mixed

import (
	"io"
	"math/rand/v2"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/interference"
	"github.com/dogwoodladder/dogwoodladder/mitigation"
	"github.com/dogwoodladder/dogwoodladder/placement"
	"github.com/dogwoodladder/dogwoodladder/usage"
)

// Bench runs the measurements.
type Bench struct {
	options
}

// New returns a Bench.
func New(opts ...Option) *Bench {
	b := &Bench{options: defaults()}
	for _, opt := range opts {
		opt(&b.options)
	}
	return b
}

// Tuning holds options for the packages under measurement.
type Tuning struct {
	Sizes   []usage.Option
	Pairs   []interference.Option
	Planner []placement.Option
	Ladder  []mitigation.Option
}

// Run prints the selected tables. An unknown section name gives fault.Invalid.
func (b *Bench) Run(w io.Writer) error {
	for _, name := range b.sections {
		if !slices.ContainsFunc(sections, func(s section) bool { return s.name == name }) {
			return fault.New(fault.Invalid, "no section %q", name)
		}
	}
	for _, section := range sections {
		if !b.hasSection(section.name) {
			continue
		}
		if err := section.print(b, w); err != nil {
			return err
		}
	}
	return nil
}

// Names of policies.
const (
	nameNoColocation = "no colocation"
	nameBestFit      = "best fit"
	nameRandom       = "random"
	nameThrottle     = "threshold throttling"
	nameEvict        = "threshold eviction"
	namePolicy       = "this policy"
	nameOracle       = "oracle"
)

// runPolicy runs a scenario under the policy of a name.
func (b *Bench) runPolicy(name string, s Scenario) Result {
	switch name {
	case nameNoColocation:
		return newDriver(s, &declaredSizes{noColocation: true}, true).run()
	case nameBestFit:
		return newDriver(s, &declaredSizes{}, false).run()
	case nameRandom:
		return newDriver(s, &declaredSizes{random: rand.New(rand.NewPCG(s.Seed, 3))}, false).run()
	case nameThrottle:
		return newDriver(s, newThreshold(b.threshold, false), false).run()
	case nameEvict:
		return newDriver(s, newThreshold(b.threshold, true), false).run()
	}
	p := newInterferenceAware(s, name == nameOracle, b.tuning)
	d := newDriver(s, p, false)
	p.registerServices(d)
	return d.run()
}
