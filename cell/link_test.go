package cell_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Bytes of messages on the wire, with their headers.
const (
	orderBytes  = 350 // without the spec
	answerBytes = 200
	rowBytes    = 70 // of a run or an end in the answer to a hold
)

// link is the network link of the owners. In each direction, a message waits until the
// previous ones have been transmitted.
type link struct {
	rate     int // bytes a second
	upFree   time.Duration
	downFree time.Duration
}

func (l *link) transmit(free *time.Duration, now time.Duration, bytes int) time.Duration {
	*free = max(now, *free) + time.Duration(bytes)*time.Second/time.Duration(l.rate)
	return *free - now
}

// upDelay returns how long an order takes on the link.
func (l *link) upDelay(now time.Duration, bytes int) time.Duration {
	if l == nil {
		return 0
	}
	return l.transmit(&l.upFree, now, bytes)
}

// downDelay returns how long an answer takes on the link.
func (l *link) downDelay(now time.Duration, answer any) time.Duration {
	if l == nil {
		return 0
	}
	bytes := answerBytes
	if held, ok := answer.(provider.HoldResult); ok {
		bytes += rowBytes * (len(held.Running) + len(held.Ended))
	}
	return l.transmit(&l.downFree, now, bytes)
}

// firstOutcome wraps report so that it passes on only the first outcome of an order, and a
// timeout if there is none in time.
func (s *site) firstOutcome(wait time.Duration, report func(any, error)) func(any, error) {
	settled := false
	once := func(out any, err error) {
		if !settled {
			settled = true
			report(out, err)
		}
	}
	s.after(wait+timeout, func() { once(nil, fault.New(fault.MayHaveRun, "no answer")) })
	return once
}

// Guards against sending more orders than a narrow link carries, so that reports queue
// behind them and arrive late.
func TestNarrowLink(t *testing.T) {
	const (
		workers  = 140
		rate     = 2_000_000 / 8
		jobs     = 80
		interval = 250 * time.Millisecond
		width    = 20
		surge    = 30
		span     = jobs*interval + 10*time.Second
	)
	is := is.New(t)
	s := newSite(t, 1, workers, 1)
	s.link = &link{rate: rate}
	spec := strings.Repeat("x", 800)
	submit := func(n, from int) {
		for i := range n {
			s.submit(&job.Job{ID: jobID(from + i), Spec: spec, Steps: []job.Step{step(width, 1)}})
		}
	}
	for i := range jobs {
		s.after(time.Duration(i)*interval, func() { submit(1, i) })
	}
	s.after(jobs/2*interval, func() { submit(surge, jobs) })
	endedLeases := 0
	s.owners[0].onLog = func(e cell.LogEvent) {
		if e.Event == "lease ended" {
			endedLeases++
		}
	}
	s.owners[0].takeOver()
	s.run(span)
	t.Logf("%d tasks ended well, %d were started again after it, %d leases ended", len(s.completed), s.restartedAfterDone, endedLeases)
	is.Equal(s.violations, nil)
	is.Equal(s.restartedAfterDone, 0)
	is.Equal(endedLeases, 0)
	s.mustComplete(jobs + surge)
}
