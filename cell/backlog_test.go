package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
)

// Guards against a large backlog that keeps its owner too busy to write heartbeats.
func TestBacklogCostsLittle(t *testing.T) {
	const (
		workers = 100
		steps   = 400
		span    = 10 * time.Second
	)
	is := is.New(t)
	s := newSite(t, 1, workers, 2)
	s.duration = func(string) time.Duration { return 1700 * time.Millisecond }
	for i := range steps {
		s.submit(&job.Job{ID: jobID(i), Spec: "x", Steps: []job.Step{step(20, 4)}})
	}
	s.owners[0].takeOver()
	s.run(time.Second)
	s.replaceOwner(0, 1)
	s.run(time.Second + span)
	is.Equal(s.violations, nil)
	is.True(len(s.completed) > 1000) // two tasks a worker, every 1.7 s
	perSecond := s.owners[1].cell.Checks() / uint64(span/time.Second)
	t.Logf("%d checks a second, %d tasks ran", perSecond, len(s.completed))
	is.True(perSecond < 500_000) // 0.05 of a processor at most
}

// Guards against more concurrent starts than a small owner can send before their deadline.
func TestFewStartsWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 200, 1)
	for i := range 40 {
		s.submit(&job.Job{ID: jobID(i), Spec: "x", Steps: []job.Step{step(20, 1)}})
	}
	s.owners[0].takeOver()
	s.run(settleTime)
	s.mustComplete(40)
	is.True(s.owners[0].maxStartsInFlight > 100)
	is.True(s.owners[0].maxStartsInFlight <= 256)
}
