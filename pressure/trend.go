package pressure

import (
	"math"
	"time"
)

// Bounds of a trend. The load of a job's users oscillates within seconds. An amplitude
// of 1.1 with a period of 5 s has a slope of up to 1.4 per second, which changes by up to
// 1.8 per second squared. With bounds for slower oscillations, the filter would take a
// fast one for noise.
const (
	priorBase     = 2.6
	baseVariance  = 1.0
	slopeVariance = 1.0
	minBase       = 1.4 // without filling tasks a tail stays below its target
	maxBase       = 5.0 // a shorter tail carries no information
	maxSlope      = 3.0
	slopeNoise    = 0.5             // process noise of the slope, variance per second
	valueNoise    = 0.01            // additional process noise of the value, variance per second
	trendExpiry   = 4 * time.Second // the trend is reset after this time without a reading
)

// trend is a value with a slope and their covariance. The slope is needed since an order
// takes a while to affect a tail, and the value has moved by then.
type trend struct {
	value, slope float64       // slope per second
	vv, vs, ss   float64       // covariance of value and slope
	at           time.Duration // time of the value
}

func newTrend(now time.Duration) *trend {
	return &trend{value: priorBase, vv: baseVariance, ss: slopeVariance, at: now}
}

// advance predicts the trend at now.
func (t *trend) advance(now time.Duration) {
	dt := (now - t.at).Seconds()
	if dt <= 0 {
		return
	}
	if now-t.at > trendExpiry {
		*t = *newTrend(now)
		return
	}
	t.at = now
	t.value = clamp(t.value+t.slope*dt, minBase, maxBase)
	t.vv += dt*(2*t.vs+dt*t.ss) + slopeNoise*dt*dt*dt/3 + valueNoise*dt
	t.vs += dt*t.ss + slopeNoise*dt*dt/2
	t.ss += slopeNoise * dt
	t.boundVariances()
}

// boundVariances bounds the variances by those of a trend without readings.
func (t *trend) boundVariances() {
	if t.vv > baseVariance {
		t.vs *= math.Sqrt(baseVariance / t.vv)
		t.vv = baseVariance
	}
	if t.ss > slopeVariance {
		t.vs *= math.Sqrt(slopeVariance / t.ss)
		t.ss = slopeVariance
	}
}

// correct applies a Kalman update with an innovation and its variance.
func (t *trend) correct(innovation, variance float64) {
	kv, ks := t.vv/variance, t.vs/variance
	t.value = clamp(t.value+kv*innovation, minBase, maxBase)
	t.slope = clamp(t.slope+ks*innovation, -maxSlope, maxSlope)
	t.ss -= ks * t.vs
	t.vs -= kv * t.vs
	t.vv -= kv * t.vv
}

// predict returns the expected value a duration after the last advance.
func (t *trend) predict(d time.Duration) float64 {
	return clamp(t.value+t.slope*d.Seconds(), minBase, maxBase)
}

func clamp(x, lo, hi float64) float64 {
	return max(lo, min(hi, x))
}
