package interference

import (
	"math"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

const (
	maxMean        = 3.0  // of a pair: a slowdown by 20
	minDeviation   = 0.01 // keeps a coefficient able to learn
	priorWeight    = 2.0  // pairs that the fixed prior counts for when pooling
	baseDeviation  = 0.7  // of a baseline that was never seen
	baseDrift      = 0.05 // standard deviation of a baseline's change in one memory
	startNoise     = 0.04 // variance of a report's logarithm at first
	minNoise       = 0.0025
	noiseGain      = 0.02
	residualMemory = 30 * time.Second // in which a residual without news falls to a third

	residualDrift = 0.0004 // variance that a replica's residual gains with each report
)

// coefficient is a normal estimate of the logarithm of a ratio.
type coefficient struct {
	mean     float64
	variance float64
}

func (c coefficient) ratio() float64 {
	return math.Exp(c.mean)
}

// confidence is the share of the prior variance that evidence has removed.
func (c coefficient) confidence(deviation float64) float64 {
	return min(max(1-c.variance/(deviation*deviation), 0), 1)
}

// victim is what is known of a service: its baselines by request rate and
// its pairs by the culprit's class, all in one filter.
type victim struct {
	filter  filter
	knots   [knots]int // one more than the index, zero when unseen
	pairs   map[string]*pair
	noise   float64
	margin  margin
	updated time.Time
}

// culprit pools the pairs that have one culprit.
type culprit struct {
	kind   provider.TaskKind
	pairs  int
	margin margin
}

// pair is where a culprit's class stands in a victim's filter. It remembers
// what it added to the margins.
type pair struct {
	index       int
	updated     time.Time
	weight, sum float64
}

// margin is a weighted sum of means over pairs.
type margin struct {
	weight, sum float64
}

func (m *margin) add(weight, sum float64) {
	m.weight += weight
	m.sum += sum
}

// priorOf returns the mean for an unseen pair: the fixed prior of the kind,
// pooled with the known pairs of the same culprit and of the same victim.
func (e *Estimator) priorOf(v *victim, class string, kind provider.TaskKind) float64 {
	sum, weight := 0.0, priorWeight
	if kind != provider.KindService {
		sum = priorWeight * e.prior
	}
	if c := e.culprits[class]; c != nil {
		sum += c.margin.sum
		weight += c.margin.weight
	}
	if v != nil && kind != provider.KindService {
		sum += v.margin.sum
		weight += v.margin.weight
	}
	return max(sum/weight, 0)
}

// read returns the coefficient of a pair as of now, seen or not. Without
// news it returns to the prior.
//
// What goes wrong: load shifts and a pair's slowdown changes, but a variance
// that only shrinks makes the estimate deaf to it. One would notice that the
// residuals of a class stay one-sided for long. Variance grows with time, so
// later reports weigh more.
func (e *Estimator) read(now time.Time, v *victim, class string, kind provider.TaskKind) coefficient {
	prior := e.priorOf(v, class, kind)
	limit := e.deviation * e.deviation
	if v == nil || v.pairs[class] == nil {
		return coefficient{prior, limit}
	}
	p := v.pairs[class]
	keep := math.Exp(-max(now.Sub(p.updated).Seconds(), 0) / e.memory.Seconds())
	variance := v.filter.covariance[p.index][p.index] + e.growth(limit, now.Sub(v.updated))
	return coefficient{prior + keep*(v.filter.mean[p.index]-prior), min(variance, limit)}
}

// growth is the variance that a coefficient gains over a time.
func (e *Estimator) growth(limit float64, over time.Duration) float64 {
	return limit * max(over.Seconds(), 0) / e.memory.Seconds()
}

// loosen lets all coefficients of a victim drift up to now.
func (e *Estimator) loosen(now time.Time, v *victim) {
	over := now.Sub(v.updated)
	for _, p := range v.pairs {
		limit := e.deviation * e.deviation
		v.filter.loosen(p.index, e.growth(limit, over), limit)
	}
	for _, k := range v.knots {
		if k > 0 {
			v.filter.loosen(k-1, e.growth(baseDrift*baseDrift, over), baseDeviation*baseDeviation)
		}
	}
	v.updated = now
}

// pair returns the kept pair, made from the prior when it is new.
func (e *Estimator) pair(now time.Time, v *victim, x exposure) *pair {
	c := e.read(now, v, x.class, x.kind)
	if p := v.pairs[x.class]; p != nil {
		v.filter.mean[p.index] = c.mean
		p.updated = now
		return p
	}
	p := &pair{index: v.filter.add(c.mean, c.variance), updated: now}
	v.pairs[x.class] = p
	e.pairs++
	e.culprit(x).pairs++
	return p
}

func (e *Estimator) culprit(x exposure) *culprit {
	c := e.culprits[x.class]
	if c == nil {
		c = &culprit{kind: x.kind}
		e.culprits[x.class] = c
	}
	return c
}

// pool brings the margins up to date with a changed pair.
func (e *Estimator) pool(v *victim, class string) {
	p := v.pairs[class]
	known := coefficient{v.filter.mean[p.index], v.filter.covariance[p.index][p.index]}
	weight := known.confidence(e.deviation)
	sum := weight * known.mean
	c := e.culprits[class]
	c.margin.add(weight-p.weight, sum-p.sum)
	if c.kind != provider.KindService {
		v.margin.add(weight-p.weight, sum-p.sum)
	}
	p.weight, p.sum = weight, sum
}

func logRatio(ratio float64) float64 {
	return math.Log(max(ratio, 1))
}
