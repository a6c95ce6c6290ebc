package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// manySmallTasks returns a step with so many small tasks that more of them end between two
// acknowledgements than an answer lists.
func manySmallTasks(count int) job.Step {
	return job.Step{Count: count, Need: resource.Vector{Processors: 100, Memory: 100}, Estimate: time.Second}
}

// Guards against tasks that run again because an answer of their worker left out their ends.
func TestEndsLeftOut(t *testing.T) {
	tests := []struct {
		name    string
		disrupt func(s *site)
	}{
		{"the store is away", func(s *site) {
			s.after(3*time.Second, func() { s.owners[0].noStore = true })
			s.after(7500*time.Millisecond, func() { s.owners[0].noStore = false })
		}},
		{"the store is slow", func(s *site) { s.storeDelay = 200 * time.Millisecond }},
		{"the owner is killed, and its runs end before the next one takes over", func(s *site) {
			s.after(3*time.Second, s.owners[0].kill)
			s.after(5*time.Second, s.owners[1].takeOver)
		}},
		{"the next owner is killed while it reads the ends", func(s *site) {
			s.after(3*time.Second, s.owners[0].kill)
			s.after(5*time.Second, s.owners[1].takeOver)
			s.after(5020*time.Millisecond, s.owners[1].kill)
			s.after(6*time.Second, s.owners[0].takeOver)
		}},
		{"the store is away from the next owner while it reads the ends", func(s *site) {
			s.after(3*time.Second, s.owners[0].kill)
			s.after(5*time.Second, s.owners[1].takeOver)
			s.after(5020*time.Millisecond, func() { s.owners[1].noStore = true })
			s.after(8*time.Second, func() { s.owners[1].noStore = false })
		}},
		{"a worker is silent while its ends are read", func(s *site) {
			s.after(3*time.Second, s.owners[0].kill)
			s.after(5*time.Second, s.owners[1].takeOver)
			s.after(5020*time.Millisecond, func() { s.owners[1].unreachable[0] = true })
			s.after(9*time.Second, func() { s.owners[1].unreachable[0] = false })
		}},
		{"a worker is silent for good while its ends are read", func(s *site) {
			s.after(3*time.Second, s.owners[0].kill)
			s.after(5*time.Second, s.owners[1].takeOver)
			s.after(5020*time.Millisecond, func() { s.owners[1].unreachable[0] = true })
		}},
		{"reading the ends takes longer than a lease", func(s *site) {
			s.maxListedEnds = 2
			s.after(3*time.Second, s.owners[0].kill)
			s.after(5*time.Second, func() { s.storeDelay = 400 * time.Millisecond })
			s.after(5*time.Second, s.owners[1].takeOver)
			s.after(45*time.Second, func() { s.storeDelay, s.maxListedEnds = 0, 20 })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			forEachSeed(t, restartSeeds, func(t *testing.T, seed uint64) {
				is := is.New(t)
				s := newSite(t, 5500+seed, 2, 2)
				s.maxListedEnds = 20
				s.duration = func(task string) time.Duration {
					return 500*time.Millisecond + time.Duration(len(task)*37%300)*time.Millisecond
				}
				s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{manySmallTasks(700)}})
				stopped := 0
				for _, o := range s.owners {
					o.onLog = func(e cell.LogEvent) {
						if e.Event == "stop" || e.Event == "quarantine" {
							stopped++
						}
					}
				}
				s.owners[0].takeOver()
				tt.disrupt(s)
				s.run(3 * settleTime)
				s.mustComplete(1)
				is.Equal(stopped, 0) // a run whose end isn't listed yet doesn't hang
			})
		})
	}
}

// Guards against a start that counts as lost because the first answer of the worker's next
// incarnation, which has carried it out, left out its end.
func TestEndsLeftOutByTheNextIncarnation(t *testing.T) {
	const down, late = 100 * time.Millisecond, 6
	s := newSite(t, 5600, 2, 1)
	s.maxListedEnds = 2
	s.storeDelay = 500 * time.Millisecond
	s.duration = func(string) time.Duration { return 10 * time.Millisecond }
	var orders []provider.StartOrder
	s.owners[0].onStart = func(o provider.StartOrder) {
		if o.Host.ID != s.workers[0].host.ID || len(orders) == late {
			return
		}
		orders = append(orders, o)
		if len(orders) > 1 {
			return
		}
		w := s.workerAt(o.Host)
		w.restart(down) // before the orders arrive
		s.after(down+time.Millisecond, func() {
			next := s.workerAt(w.host)
			next.offset = w.offset // the machine's clock
			for _, o := range orders {
				next.start(o)
			}
		})
	}
	s.after(time.Second, func() { s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{manySmallTasks(2 * late)}}) })
	s.after(0, s.owners[0].takeOver)
	s.run(settleTime)
	s.mustComplete(1)
	is.New(t).Equal(len(orders), late)
}

// Guards against faults that few listed ends cause in combination with others.
func TestRandomSchedulesWithFewListedEnds(t *testing.T) {
	forEachSeed(t, 2*scheduleSeeds, func(t *testing.T, seed uint64) {
		s := newSite(t, 5700+seed, scheduleWorkers, 3)
		s.maxListedEnds = 1 + int(seed%4)
		if seed%2 == 0 {
			s.scheduleRestarts(seed)
		}
		s.playSchedule()
	})
}
