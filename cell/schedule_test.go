package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
)

const (
	scheduleSeeds   = 60
	scheduleLength  = 25 * time.Second
	scheduleJobs    = 14
	scheduleWorkers = 5
)

// TestRandomSchedules injects faults drawn from fixed seeds, alone and in combination, and
// checks every start against the invariants. Once the faults are over, every job has to
// end.
func TestRandomSchedules(t *testing.T) {
	forEachSeed(t, scheduleSeeds, func(t *testing.T, seed uint64) {
		s := newSite(t, 100+seed, scheduleWorkers, 3)
		s.failsTask = func(_ string, attempt uint64) bool { return attempt%5 == 4 }
		s.playSchedule()
	})
}

// playSchedule simulates arrivals and faults, and checks that every job has ended once
// they are over.
func (s *site) playSchedule() {
	s.t.Helper()
	is := is.New(s.t)
	s.submitArrivals()
	s.owners[0].takeOver()
	for range 7 {
		at := time.Duration(s.rng.Int64N(int64(scheduleLength)))
		s.after(at, s.injectFault)
	}
	s.after(scheduleLength, s.endFaults)
	s.run(scheduleLength + 3*settleTime)
	is.Equal(s.violations, nil)
	for id := range s.jobs {
		state := s.state(id)
		is.True(state == "completed" || state == "cancelled" || state == "failed") // no job is left unfinished
	}
}

// submitArrivals submits jobs over the length of the schedule.
func (s *site) submitArrivals() {
	for i := range scheduleJobs {
		at := time.Duration(s.rng.Int64N(int64(scheduleLength)))
		j := &job.Job{ID: jobID(i), Steps: []job.Step{step(1+s.rng.IntN(4), 1+s.rng.Int64N(4)), step(1+s.rng.IntN(3), 2, 0)}}
		j.Steps[0].Gang = s.rng.IntN(6) == 0
		j.Steps[0].Checkpoints = s.rng.IntN(2) == 0
		if s.copies {
			j.Steps[0].AllowsCopies, j.Steps[1].AllowsCopies = i%3 > 0, i%3 > 1
		}
		s.after(at, func() { s.submit(j) })
		if s.rng.IntN(6) == 0 {
			s.after(at+time.Duration(s.rng.Int64N(int64(3*time.Second))), func() { s.cancel(j.ID) })
		}
	}
}

// injectFault injects a random fault, which ends by itself.
func (s *site) injectFault() {
	o := s.owners[s.rng.IntN(len(s.owners))]
	w := s.workers[s.rng.IntN(len(s.workers))]
	span := time.Second + time.Duration(s.rng.Int64N(int64(7*time.Second)))
	switch s.rng.IntN(7) {
	case 0:
		o.kill()
		s.after(time.Second, s.takeOverBySuccessor)
	case 1:
		o.freeze(span)
		s.after(1700*time.Millisecond, s.takeOverBySuccessor)
	case 2:
		o.noStore = true
		s.after(span, func() { o.noStore = false })
		s.after(1700*time.Millisecond, s.takeOverBySuccessor)
	case 3:
		for i := range s.workers {
			o.unreachable[i] = s.rng.IntN(2) == 0
		}
		s.after(span, func() { clear(o.unreachable) })
	case 4:
		if w.up {
			w.crash(span/4, int(s.now/time.Millisecond)+1)
		}
	case 5:
		s.lateOrderRate = 0.2
		s.after(span, func() { s.lateOrderRate = 0 })
	case 6:
		s.lostSaveRate = 0.5
		s.after(span, func() { s.lostSaveRate = 0 })
	}
}

// takeOverBySuccessor makes an instance that reaches the store take the cell.
func (s *site) takeOverBySuccessor() {
	for range 10 {
		o := s.owners[s.rng.IntN(len(s.owners))]
		if !o.noStore && !o.frozen {
			o.takeOver()
			return
		}
	}
}

// endFaults ends all faults and makes sure that there is an owner.
func (s *site) endFaults() {
	s.lateOrderRate = 0
	s.lostSaveRate = 0
	for _, o := range s.owners {
		o.noStore = false
		clear(o.unreachable)
	}
	s.after(9*time.Second, s.owners[0].takeOver)
}
