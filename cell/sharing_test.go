package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/overload"
)

// contend simulates 15 s of a pool that is given twice its capacity by jobs from one
// availability zone, and a little by jobs from another one. It returns the share of each
// zone's jobs of the first 10 s that completed, and the number of lines "sharing".
func contend(s *site) (completed map[string]float64, lines int) {
	s.duration = func(string) time.Duration { return time.Second }
	zones := make(map[string]string)
	counts := make(map[string]float64)
	submit := func(zone string, every time.Duration) {
		var next func()
		next = func() {
			j := &job.Job{ID: jobID(len(zones)), Spec: "x", Zone: zone, Steps: []job.Step{step(4, 2)}}
			zones[j.ID] = zone
			s.submit(j)
			if s.now < 10*time.Second {
				counts[zone]++
				s.after(every, next)
			}
		}
		s.after(0, next)
	}
	submit("busy", 50*time.Millisecond) // 160 core-seconds a second
	submit("quiet", 500*time.Millisecond)
	for _, o := range s.owners {
		o.onLog = func(e cell.LogEvent) {
			if e.Event == "sharing" {
				lines++
			}
		}
	}
	s.owners[0].takeOver()
	s.run(15 * time.Second)
	completed = make(map[string]float64)
	for id, zone := range zones {
		if s.state(id) == "completed" {
			completed[zone] += 1 / counts[zone]
		}
	}
	return completed, lines
}

// Guards against one availability zone's jobs that wait behind the backlog of another's, and
// against a line for each pass of a full pool.
func TestFullPoolIsShared(t *testing.T) {
	is := is.New(t)
	before, lines := contend(newSite(t, 1, 10, 1))
	is.Equal(lines, 0)
	s := newSite(t, 1, 10, 1)
	s.options = []cell.Option{cell.WithSharing(true)}
	after, lines := contend(s)
	t.Logf("completed without sharing %v, with %v", before, after)
	is.Equal(s.violations, nil)
	is.True(before["quiet"] < 0.9)
	is.True(after["quiet"] >= 1)
	is.True(after["busy"] >= 0.8*before["busy"]) // nothing is idle beside waiting work
	is.Equal(lines, 1)
}

// Guards against admission by figures of the time before a pool was full, and against figures
// that stay on record once it isn't any more.
func TestFiguresOfFullPool(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 10, 2)
	s.options = []cell.Option{cell.WithSharing(true)}
	published := func() *overload.Pool {
		b := s.store.readCatalog(t).Backlog()
		if b == nil {
			return nil
		}
		return b.Pools[service]
	}
	s.after(3*time.Second, func() { is.Equal(published(), nil) })
	s.after(9*time.Second, func() {
		p := published()
		is.True(p != nil)
		is.Equal(len(p.Lines), 2) // of two zones
		is.True(p.Waiting() > 100)
		is.True(p.Rate() > 60 && p.Rate() < 103) // 80 cores; all tasks end together, at most one time more in 3.5 s
	})
	s.after(9500*time.Millisecond, func() { s.replaceOwner(0, 1) })
	s.after(12*time.Second, func() { is.Equal(published(), nil) }) // a new owner measures anew
	contend(s)
	s.run(15*time.Second + settleTime)
	is.Equal(published(), nil)
	is.Equal(s.violations, nil)
}

// Guards against rejections because of a step that waits for few of the workers, while others
// have free capacity for the jobs that are rejected.
func TestNoFiguresOfConstrainedSteps(t *testing.T) {
	tests := []struct {
		name      string
		constrain func(*job.Step)
		published bool
	}{
		{"none", func(*job.Step) {}, true},
		{"label", func(s *job.Step) { s.Label = "r1" }, false},
		{"accelerators", func(s *job.Step) { s.Need.Accelerators = 1 }, false},
		{"most tasks on a worker", func(s *job.Step) { s.PerWorker = 1 }, false},
		{"same rack", func(s *job.Step) { s.SameRack = true }, false},
		{"gang", func(s *job.Step) { s.Gang = true }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 1, 2, 1)
			s.options = []cell.Option{cell.WithSharing(true)}
			s.duration = func(string) time.Duration { return time.Hour }
			s.owners[0].takeOver()
			s.after(3*time.Second, func() {
				large := step(100, 2)
				tt.constrain(&large)
				s.submit(&job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{large}})
			})
			published := false
			for at := 4 * time.Second; at < 14*time.Second; at += 100 * time.Millisecond {
				s.after(at, func() {
					if at == 10*time.Second {
						s.submit(&job.Job{ID: jobID(2), Spec: "x", Steps: []job.Step{step(20, 1)}})
					}
					b := s.store.readCatalog(t).Backlog()
					published = published || b != nil && b.Pools[service] != nil
				})
			}
			s.run(14 * time.Second)
			is.Equal(published, tt.published)
		})
	}
}

// TestRandomSchedulesWithSharing is TestRandomSchedules with sharing.
func TestRandomSchedulesWithSharing(t *testing.T) {
	forEachSeed(t, scheduleSeeds/4, func(t *testing.T, seed uint64) {
		s := newSite(t, 700+seed, scheduleWorkers, 3)
		s.options = []cell.Option{cell.WithSharing(true)}
		s.failsTask = func(_ string, attempt uint64) bool { return attempt%5 == 4 }
		s.playSchedule()
	})
}
