package interference

import (
	"math"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

const (
	maxMean           = 3.0  // of a pair: a slowdown by a factor of 20
	minDeviation      = 0.01 // keeps a coefficient able to learn
	priorWeight       = 2.0  // weight of the fixed prior in pooling, in pairs
	baselineDeviation = 0.7  // prior standard deviation of a baseline
	baselineDrift     = 0.05 // standard deviation of a baseline's change within the memory
	initialNoise      = 0.04 // initial variance of a report's logarithm
	minNoise          = 0.0025
	noiseGain         = 0.02
	residualMemory    = 30 * time.Second // time constant by which a residual decays without reports

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

// victim is the model of a service: its baselines by request rate and its pairs
// by the culprit's class, all in one filter.
type victim struct {
	filter  filter
	knots   [numKnots]int // index in the filter plus one, zero for an unseen knot
	pairs   map[string]*pair
	noise   float64
	pooled  weightedSum
	updated time.Time
}

// culprit pools the pairs of one culprit class.
type culprit struct {
	kind   provider.TaskKind
	pairs  int
	pooled weightedSum
}

// pair locates a culprit's class in a victim's filter. Weight and sum are its current
// part of the pooled sums.
type pair struct {
	index       int
	updated     time.Time
	weight, sum float64
}

// weightedSum is a weighted sum of means over pairs.
type weightedSum struct {
	weight, sum float64
}

func (s *weightedSum) add(weight, sum float64) {
	s.weight += weight
	s.sum += sum
}

// priorMean returns the mean for an unseen pair: the fixed prior of the kind,
// pooled with the known pairs of the same culprit and of the same victim.
func (e *Estimator) priorMean(v *victim, class string, kind provider.TaskKind) float64 {
	sum, weight := 0.0, priorWeight
	if kind != provider.KindService {
		sum = priorWeight * e.prior
	}
	if c := e.culprits[class]; c != nil {
		sum += c.pooled.sum
		weight += c.pooled.weight
	}
	if v != nil && kind != provider.KindService {
		sum += v.pooled.sum
		weight += v.pooled.weight
	}
	return max(sum/weight, 0)
}

// coefficient returns the coefficient of a pair at now, also of an unseen pair. Without
// reports it returns to the prior.
//
// The variance grows with time, so that newer reports weigh more. If it only shrank,
// the estimate couldn't follow a change of a pair's slowdown, and the residuals of the
// class would stay one-sided for long.
func (e *Estimator) coefficient(now time.Time, v *victim, class string, kind provider.TaskKind) coefficient {
	prior := e.priorMean(v, class, kind)
	limit := e.deviation * e.deviation
	if v == nil || v.pairs[class] == nil {
		return coefficient{prior, limit}
	}
	p := v.pairs[class]
	keep := math.Exp(-max(now.Sub(p.updated).Seconds(), 0) / e.memory.Seconds())
	variance := v.filter.covariance[p.index][p.index] + e.driftVariance(limit, now.Sub(v.updated))
	return coefficient{prior + keep*(v.filter.mean[p.index]-prior), min(variance, limit)}
}

// driftVariance returns the variance that a coefficient gains over a time.
func (e *Estimator) driftVariance(limit float64, over time.Duration) float64 {
	return limit * max(over.Seconds(), 0) / e.memory.Seconds()
}

// addDrift adds the drift variance since the last update to the variances of all coefficients of a
// victim.
func (e *Estimator) addDrift(now time.Time, v *victim) {
	over := now.Sub(v.updated)
	for _, p := range v.pairs {
		limit := e.deviation * e.deviation
		v.filter.inflate(p.index, e.driftVariance(limit, over), limit)
	}
	for _, k := range v.knots {
		if k > 0 {
			v.filter.inflate(k-1, e.driftVariance(baselineDrift*baselineDrift, over), baselineDeviation*baselineDeviation)
		}
	}
	v.updated = now
}

// pair returns the pair of a victim and a culprit, which it creates from the prior when
// it is new.
func (e *Estimator) pair(now time.Time, v *victim, x exposure) *pair {
	c := e.coefficient(now, v, x.class, x.kind)
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

// updatePooled updates the pooled sums after a change of a pair.
func (e *Estimator) updatePooled(v *victim, class string) {
	p := v.pairs[class]
	known := coefficient{v.filter.mean[p.index], v.filter.covariance[p.index][p.index]}
	weight := known.confidence(e.deviation)
	sum := weight * known.mean
	c := e.culprits[class]
	c.pooled.add(weight-p.weight, sum-p.sum)
	if c.kind != provider.KindService {
		v.pooled.add(weight-p.weight, sum-p.sum)
	}
	p.weight, p.sum = weight, sum
}

func logRatio(ratio float64) float64 {
	return math.Log(max(ratio, 1))
}
