package limit

// Constants of Climb.
const (
	trialStep        = 0.75 // ratio of a lower trial bound to the current bound
	minLowerGain     = 0.93 // minimum throughput ratio to accept a lower bound
	minHigherGain    = 1.10 // minimum throughput ratio to accept a higher bound
	minTrialInterval = 8    // saturated windows before the first trial
	maxTrialInterval = 256  // after unsuccessful trials
	trialBackoff     = 4    // factor after an unsuccessful trial
	trialWindows     = 2    // the first only lets requests from before the trial end
	medianWeight     = 0.3  // of the latest window in the moving median
)

// climb is the state of Climb. A trial applies a lower or a higher bound for a
// short time, and keeps it if it serves more requests, or nearly as many at a
// lower latency.
type climb struct {
	median         float64 // latency at the accepted bound, in seconds
	trialInterval  int     // saturated windows between trials
	saturatedCount int     // saturated windows since the last trial
	upward         bool    // direction of the next trial
	windowsLeft    int     // windows left of the current trial
	acceptedBound  float64 // bound before the current trial
}

// climbWindow processes one window.
//
// Comparing with a fixed baseline latency would shrink the bound without any
// congestion when the service itself becomes slower, or when a few fast requests
// set the baseline too low: requests would be refused while workers are idle. A
// trial compares the throughput at two bounds a short time apart, and a wrong
// result is corrected by the next trial.
func (l *Limit) climbWindow(saturated bool, median float64) {
	c := &l.climb
	if c.windowsLeft > 0 {
		c.windowsLeft--
		if c.windowsLeft == 0 {
			l.endTrial(saturated, median)
		}
		return
	}
	if c.median == 0 {
		c.median = median
	}
	c.median += medianWeight * (median - c.median)
	if !saturated {
		return
	}
	c.saturatedCount++
	if c.saturatedCount >= max(c.trialInterval, minTrialInterval) {
		l.beginTrial()
	}
}

func (l *Limit) beginTrial() {
	c := &l.climb
	c.saturatedCount = 0
	c.acceptedBound = l.value
	if l.value >= l.max {
		c.upward = false
	}
	trialBound := l.clamp(l.value * trialStep)
	if c.upward {
		trialBound = l.clamp(l.value / trialStep)
	}
	if trialBound == l.value {
		c.upward = !c.upward
		return
	}
	l.value = trialBound
	c.windowsLeft = trialWindows
}

// endTrial accepts the trial bound or restores the former one. By Little's law
// the throughput at a bound is the bound divided by the latency.
func (l *Limit) endTrial(saturated bool, median float64) {
	c := &l.climb
	gain := (l.value / median) / (c.acceptedBound / c.median)
	minGain := minLowerGain
	if c.upward {
		minGain = minHigherGain
	}
	if saturated && gain >= minGain {
		c.median = median
		c.trialInterval = minTrialInterval
		return
	}
	l.value = c.acceptedBound
	c.upward = !c.upward
	c.trialInterval = min(trialBackoff*max(c.trialInterval, minTrialInterval), maxTrialInterval)
}

func (c *climb) scale(factor float64) {
	c.acceptedBound *= factor
}
