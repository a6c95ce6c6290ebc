package interference

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// pairsKept is the share of the pairs that stay when too many are held.
const pairsKept = 7.0 / 8

func (e *Estimator) victim(now time.Time, class string) *victim {
	v := e.victims[class]
	if v == nil {
		e.shedVictim()
		v = &victim{pairs: map[string]*pair{}, noise: startNoise, updated: now}
		e.victims[class] = v
	}
	return v
}

// shedVictim makes room for a service by dropping the one without news for
// the longest.
func (e *Estimator) shedVictim() {
	if len(e.victims) < e.maxServices {
		return
	}
	oldest := ""
	for name, v := range e.victims {
		o := e.victims[oldest]
		if o == nil || v.updated.Before(o.updated) || v.updated.Equal(o.updated) && name < oldest {
			oldest = name
		}
	}
	for class := range e.victims[oldest].pairs {
		e.drop(oldest, class)
	}
	delete(e.victims, oldest)
}

// pairKey names a pair for sorting by age.
type pairKey struct {
	victim, culprit string
	updated         time.Time
}

func byAge(a, b pairKey) int {
	return cmp.Or(
		a.updated.Compare(b.updated),
		cmp.Compare(a.victim, b.victim),
		cmp.Compare(a.culprit, b.culprit),
	)
}

// shed drops the pairs without news for the longest when a service has too
// many, or all services together.
func (e *Estimator) shed(class string) {
	if v := e.victims[class]; len(v.pairs) > e.maxCulprits {
		e.dropOldest(pairKeys(nil, class, v), e.maxCulprits)
	}
	if e.pairs <= e.maxPairs {
		return
	}
	var keys []pairKey
	for name, v := range e.victims {
		keys = pairKeys(keys, name, v)
	}
	e.dropOldest(keys, e.maxPairs)
}

func pairKeys(keys []pairKey, name string, v *victim) []pairKey {
	for class, p := range v.pairs {
		keys = append(keys, pairKey{name, class, p.updated})
	}
	return keys
}

func (e *Estimator) dropOldest(keys []pairKey, most int) {
	slices.SortFunc(keys, byAge)
	keep := int(float64(most) * pairsKept)
	for _, k := range keys[:len(keys)-keep] {
		e.drop(k.victim, k.culprit)
	}
}

// drop forgets a pair.
func (e *Estimator) drop(victim, class string) {
	v, c := e.victims[victim], e.culprits[class]
	p := v.pairs[class]
	delete(v.pairs, class)
	v.forget(p.index)
	e.pairs--
	c.pairs--
	c.margin.add(-p.weight, -p.sum)
	if c.kind != provider.KindService {
		v.margin.add(-p.weight, -p.sum)
	}
	if c.pairs == 0 {
		delete(e.culprits, class)
	}
}

// forget removes a coefficient and corrects the index of the one that takes
// its place.
func (v *victim) forget(index int) {
	last := len(v.filter.mean) - 1
	v.filter.remove(index)
	for _, p := range v.pairs {
		if p.index == last {
			p.index = index
		}
	}
	for i, k := range v.knots {
		if k == last+1 {
			v.knots[i] = index + 1
		}
	}
}
