package limit

import (
	"math"
	"time"
)

// Maximum factors by which Aim changes the bound in one window.
const (
	maxGrowth = 2.0 // as in TCP slow start
	maxShrink = 0.5
)

// adjustToTarget moves the bound towards the value at which the latency would
// equal the target.
//
// Without such a bound, requests queue at a saturated link or process, time out
// and are sent again, until the link carries little but requests that nobody
// waits for any more: most get no response, at a throughput far below the
// link's capacity. By Little's law the number in flight is throughput times
// latency, so at constant throughput the bound scales with the ratio of target
// to measured latency. A target queueing delay is also the principle of LEDBAT
// (RFC 6817).
func (l *Limit) adjustToTarget(now time.Time, saturated bool, median float64) {
	ratio := l.targetLatency / math.Max(median, l.targetLatency/maxGrowth)
	if ratio < 1 {
		l.value = l.clamp(l.value * math.Max(ratio, maxShrink))
		l.shrunkAt = now
		return
	}
	if saturated {
		l.value = l.clamp(math.Max(l.value*ratio, l.value+1))
	}
}
