package limit

// Constants of Climb.
const (
	step         = 0.75 // of the bound that a trial tries
	keepLower    = 0.93 // a lower bound must keep this part of the throughput
	gainHigher   = 1.10 // a higher bound must gain this much throughput
	soon         = 8    // windows at the bound before the first trial
	seldom       = 256  // and at most, after trials that were in vain
	backOff      = 4    // times rarer after a trial in vain
	trialWindows = 2    // of which the first only lets old requests end
	steadyWeight = 0.3  // of the newest window in the median
)

// climb is the state of Climb: it tries a lower or a higher bound for a
// moment and keeps what serves more, or as much at a lower latency.
type climb struct {
	median float64 // at the kept bound, in seconds
	every  int     // windows at the bound between trials
	count  int     // windows at the bound since the last trial
	upward bool    // direction of the next trial
	left   int     // windows of the present trial
	kept   float64 // the bound before the present trial
}

// climbWindow judges one window.
//
// What goes wrong with a fixed notion of the usual latency: the service
// becomes slower by itself, or a few quick requests set the mark too low, and
// the bound shrinks although no congestion is there. One would see refusals
// with idle workers. A trial compares throughput at two bounds a moment
// apart, and a wrong result is taken back by the next trial.
func (l *Limit) climbWindow(saturated bool, median float64) {
	c := &l.climb
	if c.left > 0 {
		c.left--
		if c.left == 0 {
			l.endTrial(saturated, median)
		}
		return
	}
	if c.median == 0 {
		c.median = median
	}
	c.median += steadyWeight * (median - c.median)
	if !saturated {
		return
	}
	c.count++
	if c.count >= max(c.every, soon) {
		l.beginTrial()
	}
}

func (l *Limit) beginTrial() {
	c := &l.climb
	c.count = 0
	c.kept = l.value
	if l.value >= l.max {
		c.upward = false
	}
	tried := l.clamp(l.value * step)
	if c.upward {
		tried = l.clamp(l.value / step)
	}
	if tried == l.value {
		c.upward = !c.upward
		return
	}
	l.value = tried
	c.left = trialWindows
}

// endTrial keeps the tried bound or returns to the old one. By Little's law
// the throughput at a bound is the bound by the latency.
func (l *Limit) endTrial(saturated bool, median float64) {
	c := &l.climb
	gain := (l.value / median) / (c.kept / c.median)
	needed := keepLower
	if c.upward {
		needed = gainHigher
	}
	if saturated && gain >= needed {
		c.median = median
		c.every = soon
		return
	}
	l.value = c.kept
	c.upward = !c.upward
	c.every = min(backOff*max(c.every, soon), seldom)
}

func (c *climb) scale(factor float64) {
	c.kept *= factor
}
