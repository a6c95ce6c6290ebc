// Package mixed measures the decisions about what runs beside what: it feeds
// the real packages usage, interference, placement and mitigation from a
// small fake of workers with a hidden table of pairwise slowdowns, and
// compares them with simpler policies and with an oracle.
//
// Usage:
//
//	err := mixed.New(mixed.WithSeeds(5)).Run(os.Stdout)
//
// Run prints Markdown tables. All time is virtual and all seeds are fixed, so
// the same options print the same figures. The fake models nothing but what
// the decisions are fed with; it is no cluster simulator. Services don't
// disturb each other in it, and moves of services are counted, not done.
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

// Tuning is options passed on to the packages under measurement.
type Tuning struct {
	Sizes   []usage.Option
	Pairs   []interference.Option
	Planner []placement.Option
	Ladder  []mitigation.Option
}

// Run prints the tables that the options name. A name that there isn't gives
// fault.Invalid.
func (b *Bench) Run(w io.Writer) error {
	for _, name := range b.sections {
		if !slices.ContainsFunc(sections, func(s section) bool { return s.name == name }) {
			return fault.New(fault.Invalid, "no section %q", name)
		}
	}
	for _, section := range sections {
		if !b.wants(section.name) {
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
	nameSplit    = "no colocation"
	nameBestFit  = "best fit"
	nameRandom   = "random"
	nameThrottle = "threshold throttling"
	nameEvict    = "threshold eviction"
	namePolicy   = "this policy"
	nameOracle   = "oracle"
)

// play runs one policy over one scenario.
func (b *Bench) play(name string, s Scenario) Result {
	switch name {
	case nameSplit:
		return newDriver(s, &blind{split: true}, true).run()
	case nameBestFit:
		return newDriver(s, &blind{}, false).run()
	case nameRandom:
		return newDriver(s, &blind{random: rand.New(rand.NewPCG(s.Seed, 3))}, false).run()
	case nameThrottle:
		return newDriver(s, newThreshold(b.threshold, false), false).run()
	case nameEvict:
		return newDriver(s, newThreshold(b.threshold, true), false).run()
	}
	p := newInformed(s, name == nameOracle, b.tuning)
	d := newDriver(s, p, false)
	p.introduce(d)
	return d.run()
}
