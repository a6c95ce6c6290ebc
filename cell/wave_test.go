package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Guards against a machine that goes down under its tasks because a recorded earlier
// worker of the machine was drained instead of the current one.
func TestUpkeepDrainsCurrentIncarnation(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 2, 1)
	s.duration = func(string) time.Duration { return time.Hour }
	s.tail = func(string, *fakeWorker) time.Duration { return 0 }
	lasting := &job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{step(4, 4)}}
	lasting.Steps[0].Lasting = true
	lasting.Steps[0].MaxStopped = 2
	s.owners[0].takeOver()
	s.after(time.Second, func() { s.workers[0].crash(190*time.Millisecond, 7) })
	s.after(1195*time.Millisecond, func() { s.workers[0].host.Address = "10.0.1.0:1" }) // so that the first incarnation doesn't answer
	s.after(4200*time.Millisecond, func() { s.submit(lasting) })
	s.after(6*time.Second, func() {
		s.owners[0].step(cell.WavesRequested{Waves: []provider.Wave{{Number: 3, Machines: []string{"m0"}, MaxConcurrent: 1}}})
	})
	runsAtUpkeep := 0
	s.onUpkeep = func(w *fakeWorker) { runsAtUpkeep = len(w.runs) }
	s.run(20 * time.Second)
	is.Equal(s.violations, nil)
	is.True(s.waves[3])
	is.Equal(runsAtUpkeep, 0) // they had been stopped before
}

// TestWave runs a maintenance wave beside a step that tolerates one missing task: every
// machine has its upkeep once, no more machines are down at once than the wave allows, and
// the wave is reported as completed only at the end. This also holds across a takeover.
func TestWave(t *testing.T) {
	tests := []struct {
		name     string
		maxDown  int
		takeover time.Duration // zero for none
	}{
		{"one at a time", 1, 0},
		{"two at a time", 2, 0},
		{"takeover in between", 1, 8 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 1, 5, 2)
			s.duration = func(string) time.Duration { return time.Hour }
			s.tail = func(string, *fakeWorker) time.Duration { return 0 }
			s.wantedWaves = []provider.Wave{{Number: 3, Machines: []string{"m0", "m1", "m2", "m3"}, MaxConcurrent: tt.maxDown, CompleteWithin: time.Minute}}
			lasting := &job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{step(4, 2)}}
			lasting.Steps[0].Lasting = true
			lasting.Steps[0].MaxStopped = 1
			s.submit(lasting)
			s.owners[0].takeOver()
			if tt.takeover > 0 {
				s.after(tt.takeover, func() { s.replaceOwner(0, 1) })
			}
			var watch func()
			watch = func() {
				if down := s.downCount(); down > tt.maxDown {
					s.recordViolation("%d machines are down", down)
				}
				if s.waves[3] && len(s.upkeepCount) < 4 {
					s.recordViolation("the wave is completed with %d of 4 machines", len(s.upkeepCount))
				}
				s.after(50*time.Millisecond, watch)
			}
			s.after(0, watch)
			s.run(50 * time.Second)
			is.Equal(s.violations, nil)
			is.True(s.waves[3])
			for i := range 4 {
				is.Equal(s.upkeepCount[fmt.Sprintf("m%d", i)], 1)
			}
		})
	}
}

// Guards against a wave that doesn't notice that a machine is back because its worker has
// its old ID.
func TestWaveOfWorkersThatKeepTheirIDs(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2, 5, 1)
	s.keepIDs = true
	s.wantedWaves = []provider.Wave{{Number: 3, Machines: []string{"m0", "m1", "m2", "m3"}, MaxConcurrent: 1, CompleteWithin: time.Minute}}
	s.owners[0].takeOver()
	maxDown := 0
	var watch func()
	watch = func() {
		maxDown = max(maxDown, s.downCount())
		s.after(tickInterval, watch)
	}
	s.after(0, watch)
	s.run(5*time.Second + 4*(upkeepTime+time.Second))
	is.Equal(s.violations, nil)
	is.Equal(s.upkeepCount, map[string]int{"m0": 1, "m1": 1, "m2": 1, "m3": 1})
	is.True(s.waves[3])
	is.Equal(maxDown, 1)
}

// Guards against a machine that goes down under the tasks of a worker that restarted while
// it was drained.
func TestUpkeepDrainsRestartedWorker(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3, 3, 1)
	s.duration = func(string) time.Duration { return 800 * time.Millisecond }
	s.after(5700*time.Millisecond, func() { s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(12, 2)}}) })
	s.owners[0].takeOver()
	s.after(6*time.Second, func() {
		s.owners[0].step(cell.WavesRequested{Waves: []provider.Wave{{Number: 3, Machines: []string{"m0"}, MaxConcurrent: 1}}})
	})
	s.after(6100*time.Millisecond, func() {
		is.True(len(s.workers[0].runs) > 0) // it is being drained
		s.workers[0].resetConnections()
		s.workers[0].restart(100 * time.Millisecond)
	})
	s.after(6210*time.Millisecond, func() { s.submit(&job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{step(12, 2)}}) })
	runsAtUpkeep := -1
	s.onUpkeep = func(w *fakeWorker) { runsAtUpkeep = len(w.runs) }
	s.run(settleTime)
	s.mustComplete(2)
	is.True(s.waves[3])
	is.Equal(runsAtUpkeep, 0)
}

// Guards against a worker that is up and counts as lost, because the upkeep of its machine is
// confirmed that an earlier order had begun.
func TestUpkeepDoneBefore(t *testing.T) {
	tests := []struct {
		name    string
		disrupt func(s *site) // when the first machine goes down
	}{
		{"the owner is killed after the order", func(s *site) {
			s.owners[0].kill()
			s.after(time.Second, s.owners[1].takeOver)
		}},
		{"the owner is cut off from the store after the order", func(s *site) {
			s.owners[0].noStore = true
			s.after(1700*time.Millisecond, s.owners[1].takeOver)
			s.after(5500*time.Millisecond, func() { s.owners[0].noStore = false })
		}},
		{"there is no list of machines", func(s *site) {
			s.noMachineList = true
			s.owners[0].kill()
			s.after(time.Second, s.owners[1].takeOver)
		}},
		{"the list of machines comes late", func(s *site) {
			s.machineListDelay = 2 * time.Second
			s.owners[0].kill()
			s.after(time.Second, s.owners[1].takeOver)
		}},
		{"its worker is back under its ID", func(s *site) {
			s.keepIDs = true
			s.owners[0].kill()
			s.after(time.Second, s.owners[1].takeOver)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 6000, 4, 2)
			s.duration = func(string) time.Duration { return 4 * time.Second }
			s.wantedWaves = []provider.Wave{{Number: 3, Machines: []string{"m0", "m1"}, MaxConcurrent: 1, CompleteWithin: time.Minute}}
			const jobs, every = 50, 700 * time.Millisecond
			for i := range jobs {
				s.after(time.Duration(i)*every, func() { s.submit(&job.Job{ID: jobID(i), Spec: "x", Steps: []job.Step{step(3, 1)}}) })
			}
			s.owners[0].takeOver()
			struck := false
			s.onUpkeep = func(*fakeWorker) {
				if !struck {
					struck = true
					s.after(0, func() { tt.disrupt(s) })
				}
			}
			used := false
			s.owners[1].onStart = func(o provider.StartOrder) {
				used = used || o.Host.Machine == "m0" && s.upkeepCount["m1"] > 0
			}
			s.run(jobs*every + 2*settleTime)
			is.True(struck)
			s.mustComplete(jobs)
			is.Equal(s.upkeepCount, map[string]int{"m0": 1, "m1": 1})
			is.True(s.waves[3])
			is.True(used) // the worker on the first machine gets tasks again
		})
	}
}
