package cell_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Bytes of messages on the wire, with their headers.
const (
	orderBytes  = 350 // without the spec
	answerBytes = 200
	rowBytes    = 70 // of a run or an end in an answer to a hold
)

// link is the owners' network link: what is sent waits until what was sent
// before has passed, in either direction.
type link struct {
	rate     int // bytes a second
	upFree   time.Duration
	downFree time.Duration
}

func (l *link) pass(free *time.Duration, now time.Duration, bytes int) time.Duration {
	*free = max(now, *free) + time.Duration(bytes)*time.Second/time.Duration(l.rate)
	return *free - now
}

// up returns how long bytes of an order are on the link.
func (l *link) up(now time.Duration, bytes int) time.Duration {
	if l == nil {
		return 0
	}
	return l.pass(&l.upFree, now, bytes)
}

// down returns the same of an answer.
func (l *link) down(now time.Duration, answer any) time.Duration {
	if l == nil {
		return 0
	}
	bytes := answerBytes
	if held, ok := answer.(provider.Held); ok {
		bytes += rowBytes * (len(held.Running) + len(held.Ended))
	}
	return l.pass(&l.downFree, now, bytes)
}

// firstOutcome returns a back that drops all but the first outcome of an
// order, and that there is no answer if none comes in time.
func (s *site) firstOutcome(wait time.Duration, back func(any, error)) func(any, error) {
	settled := false
	once := func(out any, err error) {
		if !settled {
			settled = true
			back(out, err)
		}
	}
	s.after(wait+timeout, func() { once(nil, fault.New(fault.MayHaveRun, "no answer")) })
	return once
}

// Guards against more orders than a narrow link carries, and reports that come late behind them.
func TestNarrowLink(t *testing.T) {
	const (
		workers = 140
		rate    = 2_000_000 / 8
		jobs    = 80
		each    = 250 * time.Millisecond
		width   = 20
		surge   = 30
		span    = jobs*each + 10*time.Second
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
		s.after(time.Duration(i)*each, func() { submit(1, i) })
	}
	s.after(jobs/2*each, func() { submit(surge, jobs) })
	lapsed := 0
	s.owners[0].noted = func(event string) {
		if event == "lease ended" {
			lapsed++
		}
	}
	s.owners[0].take()
	s.run(span)
	t.Logf("%d tasks ended well, %d were started again after it, %d leases ended", len(s.ran), s.again, lapsed)
	is.Equal(s.broken, nil)
	is.Equal(s.again, 0)
	is.Equal(lapsed, 0)
	s.mustComplete(jobs + surge)
}
