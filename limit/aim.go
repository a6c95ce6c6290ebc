package limit

import (
	"math"
	"time"
)

// Factors by which Aim moves the bound in one window, at most.
const (
	mostGrowth = 2.0 // as slow start does
	mostCut    = 0.5
)

// aimWindow moves the bound to where the latency would be the one aimed at.
//
// What goes wrong without it: requests that a full link or a busy process
// can't pass on wait there, time out, and are sent again, so that the link
// carries little but requests that nobody waits for any more. One would see
// most of them unanswered, at a throughput far below what the link carries. By
// Little's law what is in flight is throughput by latency, so at a given
// throughput the bound shrinks by the ratio of the latencies. The idea, a
// queueing delay as the aim, is that of LEDBAT (RFC 6817).
func (l *Limit) aimWindow(now time.Time, saturated bool, median float64) {
	ratio := l.aim / math.Max(median, l.aim/mostGrowth)
	if ratio < 1 {
		l.value = l.clamp(l.value * math.Max(ratio, mostCut))
		l.cutAt = now
		return
	}
	if saturated {
		l.value = l.clamp(math.Max(l.value*ratio, l.value+1))
	}
}
