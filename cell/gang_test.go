package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/progress"
)

// Guards against a gang that has completed and never ends, because the end of one member is
// lost and that member alone is started again.
func TestGangCompletesAsAWhole(t *testing.T) {
	const size = 4
	tests := []struct {
		name string
		play func(s *site, members []*fakeWorker)
	}{
		{"a new owner can't read the end of a member whose worker has crashed", func(s *site, members []*fakeWorker) {
			s.owners[0].kill()
			s.runUntilCompleted(jobID(0) + ".0.0.0")
			members[0].crash(4*time.Second, 9)
			s.owners[1].takeOver()
		}},
		{"a new owner can read the end of a single member", func(s *site, members []*fakeWorker) {
			s.owners[0].kill()
			s.runUntilCompleted(jobID(0) + ".0.0.0")
			for i, w := range members[1:] {
				w.crash(4*time.Second, 9+i)
			}
			s.owners[1].takeOver()
		}},
		{"a member's worker crashes before its owner has read the end", func(s *site, members []*fakeWorker) {
			s.runUntilCompleted(jobID(0) + ".0.0.0")
			members[0].crash(4*time.Second, 9)
		}},
		{"the end of one member is read after the gang was started again", func(s *site, members []*fakeWorker) {
			for _, w := range members {
				s.owners[0].unreachable[w.number] = true
			}
			s.runUntilCompleted(jobID(0) + ".0.0.0")
			s.duration = func(string) time.Duration { return 6 * time.Second }
			for s.runningCount(jobID(0)) < size && s.now < settleTime {
				s.run(s.now + 10*time.Millisecond)
			}
			is.New(s.t).Equal(s.runningCount(jobID(0)), size)
			delete(s.owners[0].unreachable, members[0].number)
			s.run(s.now + 2*time.Second)
			is.New(s.t).Equal(s.runningCount(jobID(0)+".0.0"), 0) // the second start was stopped
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 5800, 2*size, 2)
			s.duration = func(string) time.Duration { return 1200 * time.Millisecond }
			gang := step(size, 5)
			gang.Gang = true
			s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{gang, step(1, 1, 0)}})
			s.owners[0].takeOver()
			s.run(time.Second)
			var members []*fakeWorker
			for _, w := range s.workers {
				if len(w.runs) > 0 {
					members = append(members, w)
				}
			}
			is.Equal(len(members), size)
			tt.play(s, members)
			s.run(2 * settleTime)
			s.mustComplete(1)
			is.Equal(s.endedAlone, 0)
		})
	}
}

// runUntilCompleted runs the site until a task has completed.
func (s *site) runUntilCompleted(task string) {
	for !s.completed[task] {
		s.run(s.now + time.Millisecond)
	}
}

// Guards against a gang that never ends because its record, of an older version, has only
// some of its members as done.
func TestGangWithOneMemberDoneOnRecord(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 5900, 4, 1)
	gang := step(4, 2)
	gang.Gang = true
	j := &job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{gang, step(1, 1, 0)}}
	s.submit(j)
	p := progress.New(j)
	p.Claimed, p.State = true, progress.Running
	member := job.Task{Job: j.ID, Index: 2}
	p.RecordDone(member)
	record, err := catalog.ProgressRecord(j.ID, p)
	is.NoErr(err)
	known := s.store.readCatalog(t)
	is.NoErr(known.Progress(record))
	for i := range gang.Count {
		member.Index = i
		s.completed[member.String()] = true
	}
	is.NoErr(s.owners[0].takeOverWith(known))
	s.run(settleTime)
	s.mustComplete(1)
	is.Equal(s.restartedAfterDone, 0)
}
