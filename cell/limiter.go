package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/limit"
)

// startLimiter limits the number of starts without an answer. Without the limit, an owner
// with a narrow link or little processor time orders all starts that are possible at once.
// The orders queue behind each other and the workers' reports behind the orders; the
// orders pass their deadline and are repeated, until the link is full of orders that get
// refused. The log then shows "start unanswered" and "worker silent" for healthy workers,
// whose leases expire, so that their work is lost. The limit adapts to the answer latency,
// which reflects the load of the link and of this process alike.
type startLimiter struct {
	limit    *limit.Limit
	inFlight int
}

const (
	// targetLatency is the answer latency that the limit aims at. It is far above the
	// latency without load, 3 to 5 ms, and far enough below Timing.StartWindow that
	// neither an order nor a worker's report that queues behind it is late.
	targetLatency = 80 * time.Millisecond
	// maxStarts is the upper bound of the limit, which no large instance reaches.
	maxStarts = 256
	// initialStarts is the limit of a new owner. It doubles with each window of fast
	// answers, 0.1 s.
	initialStarts = 32
	// minStarts is the lower bound of the limit. It keeps a few workers that don't answer
	// from blocking the starts on all others.
	minStarts = 8
	// minSamples is how many answers a window needs.
	minSamples = 8
)

func newStartLimiter() startLimiter {
	return startLimiter{limit: limit.New(
		limit.WithAim(targetLatency),
		limit.WithMax(maxStarts),
		limit.WithMin(minStarts),
		limit.WithStart(initialStarts),
		limit.WithSamples(minSamples),
	)}
}

// full reports whether further starts have to wait.
func (l *startLimiter) full() bool {
	return l.inFlight >= l.limit.Value()
}

func (l *startLimiter) recordStart() {
	l.inFlight++
}

// recordReply feeds the latency and outcome of a start to the limit.
func (l *startLimiter) recordReply(now time.Duration, in StartReply) {
	l.limit.Observe(time.Unix(0, int64(now)), l.inFlight, now-in.Sent, in.Err == nil)
	l.inFlight--
}
