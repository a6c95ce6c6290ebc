package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
)

// Guards against workers that are gone and that each new owner waits for until their leases have expired.
func TestGoneWorkersLeaveTheRecord(t *testing.T) {
	is := is.New(t)
	s := lastingSite(t, 3500, 6)
	s.noMachineList = true
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{lastingOf(6, 2)}})
	s.run(3 * time.Second)
	is.Equal(s.runningCount(jobID(0)), 6)
	s.owners[0].kill()
	for _, w := range s.workers[:2] {
		w.resetConnections()
		w.goDown()
	}
	s.owners[1].takeOver()
	s.run(s.now + 15*time.Second)
	is.Equal(len(s.store.readCatalog(t).Hosts()), 6) // their leases may not have expired
	s.run(s.now + 10*time.Second)
	is.Equal(len(s.store.readCatalog(t).Hosts()), 4)
	is.Equal(s.runningCount(jobID(0)), 6)
	s.replaceOwner(1, 0)
	s.submit(&job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{step(1, 2)}})
	surveyed := s.lines("workers surveyed")
	s.run(s.now + time.Second)
	is.Equal(len(*surveyed), 1)
	is.Equal(s.violations, nil)
}
