package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/limit"
)

// flow bounds how many starts are without an answer.
//
// What goes wrong without it: an owner with a narrow link, or with little of a
// processor, orders all that could start. The orders wait for each other, and the
// workers' reports behind them; they pass their deadline and are given anew, so
// that the link is full of orders that are refused. It shows as lines "start
// unanswered" and "worker silent" for sound workers, whose leases end, so that work
// which they did is lost. The bound follows what the answers' time tells of the
// link and of this process alike.
type flow struct {
	bound    *limit.Limit
	inFlight int
}

const (
	// startAim is the time for an answer that is aimed at. It is far above a
	// calm one, 3 to 5 ms, and so far below Timing.StartWindow that an order
	// isn't late, nor a report of a worker that waits behind it.
	startAim = 80 * time.Millisecond
	// mostStarts is the largest bound, which no large instance reaches.
	mostStarts = 256
	// firstStarts is the bound of a new owner. It doubles with each window of
	// quick answers, 0.1 s.
	firstStarts = 32
	// leastStarts is the smallest bound. With it a few workers that answer
	// nothing don't hold up the starts on all others.
	leastStarts = 8
	// flowSamples is how many answers a window needs.
	flowSamples = 8
)

func newFlow() flow {
	return flow{bound: limit.New(
		limit.WithAim(startAim),
		limit.WithMax(mostStarts),
		limit.WithMin(leastStarts),
		limit.WithStart(firstStarts),
		limit.WithSamples(flowSamples),
	)}
}

// full reports whether further starts have to wait.
func (f *flow) full() bool {
	return f.inFlight >= f.bound.Value()
}

func (f *flow) sent() {
	f.inFlight++
}

// answered takes the outcome of a start.
func (f *flow) answered(now time.Duration, in StartReply) {
	f.bound.Observe(time.Unix(0, int64(now)), f.inFlight, now-in.Sent, in.Err == nil)
	f.inFlight--
}
