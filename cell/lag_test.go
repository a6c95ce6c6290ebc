package cell_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/job"
)

// reportedLag returns the lag in the owner's last record of its backlog.
func (s *site) reportedLag() time.Duration {
	known := catalog.New()
	for _, r := range s.store.progress {
		s.noError(known.Progress(r))
	}
	return known.Backlog().Lag(0)
}

func (s *site) noError(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// Guards against a backlog that isn't reported to the instances that accept jobs.
func TestOwnerReportsBacklog(t *testing.T) {
	const rate = 2_000_000 / 8
	tests := []struct {
		name    string
		link    *link
		workers int
		behind  bool
	}{
		{"narrow link", &link{rate: rate}, 140, true},
		{"keeps up", nil, 140, false},
		{"no room", nil, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 1, test.workers, 1)
			s.link = test.link
			spec := strings.Repeat("x", 800)
			for i := range 100 {
				s.after(time.Duration(i)*50*time.Millisecond, func() {
					s.submit(&job.Job{ID: jobID(i), Spec: spec, Steps: []job.Step{step(20, 1)}})
				})
			}
			s.owners[0].takeOver()
			s.run(5 * time.Second)
			lag := s.reportedLag()
			t.Logf("lags by %v", lag)
			is.Equal(lag > time.Second, test.behind)
			if test.workers > 2 {
				s.run(settleTime)
				s.mustComplete(100)
				is.Equal(s.reportedLag(), time.Duration(0))
			}
		})
	}
}
