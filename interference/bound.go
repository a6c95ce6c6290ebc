package interference

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// evictionTarget is the share of the maximum number of pairs that remains after an eviction.
const evictionTarget = 7.0 / 8

func (e *Estimator) victim(now time.Time, class string) *victim {
	v := e.victims[class]
	if v == nil {
		e.evictVictim()
		v = &victim{pairs: map[string]*pair{}, noise: initialNoise, updated: now}
		e.victims[class] = v
	}
	return v
}

// evictVictim evicts the least recently updated service if the maximum number is reached.
func (e *Estimator) evictVictim() {
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
		e.removePair(oldest, class)
	}
	delete(e.victims, oldest)
}

// pairKey identifies a pair, with its last update to sort by.
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

// evictPairs evicts the least recently updated pairs when a service has too many, or all
// services together.
func (e *Estimator) evictPairs(class string) {
	if v := e.victims[class]; len(v.pairs) > e.maxCulprits {
		e.evictOldest(pairKeys(nil, class, v), e.maxCulprits)
	}
	if e.pairs <= e.maxPairs {
		return
	}
	var keys []pairKey
	for name, v := range e.victims {
		keys = pairKeys(keys, name, v)
	}
	e.evictOldest(keys, e.maxPairs)
}

func pairKeys(keys []pairKey, name string, v *victim) []pairKey {
	for class, p := range v.pairs {
		keys = append(keys, pairKey{name, class, p.updated})
	}
	return keys
}

func (e *Estimator) evictOldest(keys []pairKey, limit int) {
	slices.SortFunc(keys, byAge)
	keep := int(float64(limit) * evictionTarget)
	for _, k := range keys[:len(keys)-keep] {
		e.removePair(k.victim, k.culprit)
	}
}

// removePair removes a pair and its part of the pooled sums.
func (e *Estimator) removePair(victim, class string) {
	v, c := e.victims[victim], e.culprits[class]
	p := v.pairs[class]
	delete(v.pairs, class)
	v.removeCoefficient(p.index)
	e.pairs--
	c.pairs--
	c.pooled.add(-p.weight, -p.sum)
	if c.kind != provider.KindService {
		v.pooled.add(-p.weight, -p.sum)
	}
	if c.pairs == 0 {
		delete(e.culprits, class)
	}
}

// removeCoefficient removes a coefficient and updates the index of the one that is moved to
// its place.
func (v *victim) removeCoefficient(index int) {
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
