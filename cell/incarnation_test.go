package cell_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// cutOffEvery cuts the owner off from every nth worker.
func (o *owner) cutOffEvery(nth int) {
	for i := range o.site.workers {
		if i%nth == 0 {
			o.unreachable[i] = true
		}
	}
}

// awaitsRestarts makes orders to workers that are down reach their next incarnations, whose
// list entries come late.
func (s *site) awaitsRestarts() {
	s.ordersAwaitRestart = true
	s.entryDelay = 4 * time.Second
	s.clockSetback = time.Minute
	s.duration = func(string) time.Duration { return 9800 * time.Millisecond }
}

// Guards against a task that runs twice because the next incarnation of its worker accepted
// the start, which counted as accepted by the one before.
func TestStartAcceptedByTheNextIncarnation(t *testing.T) {
	tests := []struct {
		name      string
		olderList bool // a list of machines that was requested before the start was accepted
	}{
		{"its list of runs comes late", false},
		{"a list of machines is older", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t, 2700, 16, 1)
			s.awaitsRestarts()
			o := s.owners[0]
			o.takeOver()
			s.run(2 * time.Second)
			asked := false
			o.onHold = func(h provider.HoldOrder) {
				if h.Token > s.store.term && !asked {
					asked = true
					o.cutOffEvery(2)
					s.after(500*time.Millisecond, func() { clear(o.unreachable) })
				}
			}
			s.restartEvery(2, 450*time.Millisecond, true)
			s.after(10*time.Millisecond, func() { s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(40, 2)}}) })
			s.after(300*time.Millisecond, func() {
				list := s.machineList()
				if tt.olderList {
					s.after(650*time.Millisecond, func() { o.step(list) })
				}
			})
			s.run(s.now + settleTime)
			s.mustComplete(1)
		})
	}
}

// Guards against a task that runs twice because the next incarnation of its worker was cut
// off, and held a longer lease than the one before.
func TestLeaseOfTheNextIncarnation(t *testing.T) {
	tests := []struct {
		name          string
		noMachineList bool
		onceAsked     bool // cut off after its restart was noticed
	}{
		{"unnoticed", false, false},
		{"unnoticed without a list of machines", true, false},
		{"noticed", false, true},
		{"noticed without a list of machines", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t, 2750, 16, 1)
			s.awaitsRestarts()
			s.noMachineList = tt.noMachineList
			o := s.owners[0]
			o.takeOver()
			s.run(2 * time.Second)
			o.onHold = func(h provider.HoldOrder) {
				if tt.onceAsked && h.Token > s.store.term {
					o.cutOffEvery(2)
				}
			}
			s.restartEvery(2, 350*time.Millisecond, true)
			s.after(10*time.Millisecond, func() { s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(40, 2)}}) })
			s.after(410*time.Millisecond, func() {
				if !tt.onceAsked {
					o.cutOffEvery(2)
				}
			})
			s.run(s.now + 20*time.Second)
			o.onHold = nil
			clear(o.unreachable)
			s.run(s.now + settleTime)
			s.mustComplete(1)
		})
	}
}

// Guards against a task that runs twice because its start, which a relay still has, reaches
// the next incarnation after the one before has listed no such run.
func TestStartInTransitOutlivesItsIncarnation(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2770, 3, 1)
	s.awaitsRestarts()
	s.ordersInTransit = true
	o := s.owners[0]
	o.takeOver()
	var heldAt time.Duration
	o.onHold = func(h provider.HoldOrder) {
		if h.Host.ID == s.workers[0].host.ID {
			heldAt = s.now
		}
	}
	s.run(3 * time.Second)
	s.run(heldAt + 100*time.Millisecond)
	s.workers[0].resize(10)              // no second start there
	s.run(heldAt + 880*time.Millisecond) // an answer comes 1.1 s after the start
	o.onStart = func(order provider.StartOrder) {
		w := s.workerAt(order.Host)
		if w != s.workers[0] {
			return
		}
		o.onStart = nil
		s.lateOrderRate = 1 // this one is lost on the way
		s.after(time.Millisecond, func() { s.lateOrderRate = 0 })
		s.after(1300*time.Millisecond, func() { w.restart(300 * time.Millisecond) })
		s.after(1700*time.Millisecond, func() { is.Equal(s.workerAt(order.Host).start(order), provider.Accepted) })
	}
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(1, 2)}})
	s.run(s.now + settleTime)
	s.mustComplete(1)
}

// Guards against a survey that takes a worker whose machine is down for gone, although an
// earlier owner's start may still reach its next incarnation.
func TestSurveyAwaitsOrdersInFlight(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2780, 4, 2)
	s.awaitsRestarts()
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(4, 2)}})
	var order provider.StartOrder
	s.owners[0].onStart = func(o provider.StartOrder) {
		if o.Host.ID == s.workers[0].host.ID {
			order = o
		}
	}
	s.owners[0].takeOver()
	s.run(2 * time.Second)
	is.True(order.Task != "")
	s.owners[0].kill()
	s.workers[0].crash(time.Hour, 1)
	down := s.workers[0]
	s.after(100*time.Millisecond, s.owners[1].takeOver)
	s.after(1600*time.Millisecond, func() { // back under its ID
		next := newFakeWorker(s, 0, 2)
		next.host.ID = down.host.ID
		next.offset = down.offset - time.Minute
		s.workers[0] = next
		order.Attempt++
		is.Equal(next.start(order), provider.Accepted)
		s.owners[1].unreachable[0] = true
		s.after(1500*time.Millisecond, func() { s.owners[1].unreachable[0] = false })
	})
	s.run(settleTime)
	s.mustComplete(1)
}

// Guards against a survey that ends before the lease does that an earlier owner's last order
// gave the next incarnation of a worker.
func TestSurveyOutlivesTheLastLease(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2790, 4, 2)
	s.awaitsRestarts()
	s.noMachineList = true
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(4, 2)}})
	var order provider.StartOrder
	s.owners[0].onStart = func(o provider.StartOrder) {
		if o.Host.ID == s.workers[0].host.ID {
			order = o
		}
	}
	s.owners[0].takeOver()
	s.run(2 * time.Second)
	is.True(order.Task != "")
	s.owners[1].takeOver() // the first owner, cut off from the store, doesn't know
	s.owners[1].unreachable[0] = true
	s.workers[0].restart(300 * time.Millisecond)
	s.after(cell.DefaultTiming().Isolation+1900*time.Millisecond, func() {
		next := s.workerAt(s.workers[0].host)
		order.Attempt++
		is.Equal(next.start(order), provider.Accepted) // given by the first owner as late as it may
		next.extendLease(next.clock() + 10_000)
		s.owners[0].kill()
	})
	s.run(30 * time.Second)
	clear(s.owners[1].unreachable)
	s.run(s.now + settleTime)
	s.mustComplete(1)
}

// Guards against a worker that is lost because another one answers at the address that it
// had before.
func TestAnswersAtAnotherAddress(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2795, 2, 1)
	s.awaitsRestarts()
	o := s.owners[0]
	o.takeOver()
	s.run(110 * time.Millisecond)
	w := newFakeWorker(s, 2, 0)
	moved := w.host
	moved.Address = "10.0.1.2:1"
	w.host.ID = "another"
	s.workers = append(s.workers, w)
	stray := w.host
	stray.ID = moved.ID
	stray.Machine = ""
	s.strayEntries = []provider.Host{stray} // the address that it had before
	o.onHold = func(h provider.HoldOrder) {
		if h.Host.Address != stray.Address || h.Host.ID != stray.ID {
			return
		}
		o.onHold = nil
		s.after(time.Millisecond, func() {
			next := newFakeWorker(s, 3, 0)
			next.host = moved
			s.workers = append(s.workers, next)
			s.strayEntries = nil
			o.readList()
		})
	}
	s.run(2 * time.Second)
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(12, 2)}})
	s.run(s.now + time.Second)
	is.True(len(s.workers[3].runs) > 0)
	s.run(s.now + settleTime)
	s.mustComplete(1)
}

// Guards against tasks that run twice because workers restart under their IDs and are cut
// off soon after, at any moment.
func TestRestartedWorkersAreCutOff(t *testing.T) {
	forEachSeed(t, 2*restartSeeds, func(t *testing.T, seed uint64) {
		seed += 32
		const jobs, every = 100, 450 * time.Millisecond
		is := is.New(t)
		s := newSite(t, 2800+seed, 16, 2)
		s.ordersAwaitRestart = true
		s.clockSetback = time.Duration(seed%4) * 7 * time.Second
		s.noMachineList = seed%3 == 0
		s.machineListDelay = time.Duration(seed%4) * 150 * time.Millisecond
		s.entryDelay = time.Duration(seed%4) * 700 * time.Millisecond
		s.duration = func(string) time.Duration {
			return time.Second + time.Duration(s.rng.Int64N(int64(13*time.Second)))
		}
		s.submitEvery(jobs, every)
		s.owners[0].takeOver()
		for n := range 3 {
			down := 300*time.Millisecond + time.Duration(s.rng.Int64N(int64(400*time.Millisecond)))
			until := down + time.Duration(s.rng.Int64N(int64(2500*time.Millisecond)))
			at := 3500*time.Millisecond + time.Duration(n)*16*time.Second
			s.after(at, func() { s.restartEvery(2, down, n%2 == 0) })
			s.after(at+until, func() {
				for _, o := range s.owners {
					o.cutOffEvery(2)
				}
			})
			s.after(at+until+9*time.Second, func() {
				for _, o := range s.owners {
					clear(o.unreachable)
				}
			})
			if seed%2 == 0 {
				s.after(at+until/2, s.owners[n%2].kill)
				s.after(at+until/2+time.Second, s.owners[(n+1)%2].takeOver)
			}
		}
		s.run(jobs*every + 4*settleTime)
		slices.Sort(s.violations)
		is.Equal(s.violations, nil)
		s.checkOutcomes(jobs)
	})
}
