package interference

import (
	"cmp"
	"slices"
	"time"
)

// State is a dump of an Estimator.
type State struct {
	Reports map[string]uint64 `json:"reports"` // by outcome
	Silent  []string          `json:"silent"`  // names of silent workers, which get the conservative policy
	Workers int               `json:"workers"`
	Spans   int               `json:"spans"`
	Pairs   []Pair            `json:"pairs"`
}

// Pair is the estimate of one pair of classes.
type Pair struct {
	Victim     string    `json:"victim"`
	Culprit    string    `json:"culprit"`
	Ratio      float64   `json:"ratio"`
	Confidence float64   `json:"confidence"`
	Updated    time.Time `json:"updated"`
}

// State returns a dump, in a fixed order.
func (e *Estimator) State(now time.Time) State {
	s := State{Reports: map[string]uint64{}, Silent: []string{}, Workers: len(e.workers)}
	for o, n := range e.counts {
		s.Reports[Outcome(o).String()] = n
	}
	for name, w := range e.workers {
		s.Spans += len(w.spans)
		if e.Silent(now, name) {
			s.Silent = append(s.Silent, name)
		}
	}
	slices.Sort(s.Silent)
	for name, v := range e.victims {
		for class, p := range v.pairs {
			c := e.coefficient(now, v, class, e.kindOf(class))
			s.Pairs = append(s.Pairs, Pair{name, class, c.ratio(), c.confidence(e.deviation), p.updated})
		}
	}
	slices.SortFunc(s.Pairs, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Victim, b.Victim), cmp.Compare(a.Culprit, b.Culprit))
	})
	return s
}
