package pressure

import (
	"math"
	"time"
)

// Bounds of a trend. The load of a job's users swings within seconds: by 1.1 over
// 5 s, which has a steepest slope of 1.4 a second that turns by 1.8 a second in a
// second. Bounds that fit slow swings alone make a fast one look like noise.
const (
	priorBase     = 2.6
	baseVariance  = 1.0
	slopeVariance = 1.0
	leastBase     = 1.4 // without filling tasks a tail stays below its target
	mostBase      = 5.0 // above it a tail is too short to tell anything
	mostSlope     = 3.0
	turning       = 0.5             // variance that a slope gains in a second
	wander        = 0.01            // variance that a value gains beside that
	memory        = 4 * time.Second // without a reading for that long nothing is known any more
)

// trend is a value that moves steadily, with its covariance. Its slope is followed
// with its level, as an order takes a while to show, and the level has moved by then.
type trend struct {
	value, slope float64 // slope in a second
	vv, vs, ss   float64 // covariance of the two
	at           time.Duration
}

func newTrend(now time.Duration) *trend {
	return &trend{value: priorBase, vv: baseVariance, ss: slopeVariance, at: now}
}

// advance moves the trend on to a time.
func (t *trend) advance(now time.Duration) {
	dt := (now - t.at).Seconds()
	if dt <= 0 {
		return
	}
	if now-t.at > memory {
		*t = *newTrend(now)
		return
	}
	t.at = now
	t.value = clamp(t.value+t.slope*dt, leastBase, mostBase)
	t.vv += dt*(2*t.vs+dt*t.ss) + turning*dt*dt*dt/3 + wander*dt
	t.vs += dt*t.ss + turning*dt*dt/2
	t.ss += turning * dt
	t.limit()
}

// limit keeps the variances at what is known without any reading.
func (t *trend) limit() {
	if t.vv > baseVariance {
		t.vs *= math.Sqrt(baseVariance / t.vv)
		t.vv = baseVariance
	}
	if t.ss > slopeVariance {
		t.vs *= math.Sqrt(slopeVariance / t.ss)
		t.ss = slopeVariance
	}
}

// correct moves the trend by a reading's error, whose variance is total.
func (t *trend) correct(wrong, total float64) {
	kv, ks := t.vv/total, t.vs/total
	t.value = clamp(t.value+kv*wrong, leastBase, mostBase)
	t.slope = clamp(t.slope+ks*wrong, -mostSlope, mostSlope)
	t.ss -= ks * t.vs
	t.vs -= kv * t.vs
	t.vv -= kv * t.vv
}

// after returns the value that is expected some time after the last reading.
func (t *trend) after(d time.Duration) float64 {
	return clamp(t.value+t.slope*d.Seconds(), leastBase, mostBase)
}

func clamp(x, least, most float64) float64 {
	return max(least, min(most, x))
}
