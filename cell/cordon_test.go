package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Guards against tasks that start in an availability zone after the operators cordoned it.
func TestCordonedZoneGetsNoTasks(t *testing.T) {
	const cordonedAt, openedAt = 2 * time.Second, 8 * time.Second
	tests := []struct {
		name     string
		edit     func(*job.Step)
		takeover time.Duration // zero for none
	}{
		{"batch tasks", func(*job.Step) {}, 0},
		{"batch tasks, a takeover meanwhile", func(*job.Step) {}, 4 * time.Second},
		{"gangs", func(s *job.Step) { s.Gang = true }, 0},
		{"lasting tasks that fail", func(s *job.Step) { s.Lasting = true }, 0},
		{"filling tasks", func(s *job.Step) { s.Fills = true; s.Image = "f" }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 1, 6, 2)
			s.failsTask = func(_ string, attempt uint64) bool { return attempt%3 == 0 }
			s.owners[0].takeOver()
			for i := range 40 {
				j := &job.Job{ID: jobID(i), Spec: "x", Steps: []job.Step{step(2, 1)}}
				tt.edit(&j.Steps[0])
				s.after(time.Duration(i)*250*time.Millisecond, func() { s.submit(j) })
			}
			s.after(cordonedAt, func() { s.cordoned = []string{"z0"} })
			s.after(openedAt, func() { s.cordoned = nil })
			if tt.takeover > 0 {
				s.after(tt.takeover, func() { s.replaceOwner(0, 1) })
			}
			reopened := 0
			for _, o := range s.owners {
				o.onStart = func(order provider.StartOrder) {
					if s.now > openedAt && order.Host.AvailabilityZone == "z0" {
						reopened++
					}
				}
			}
			s.run(20 * time.Second)
			is.Equal(s.violations, nil)
			is.True(reopened > 0)
		})
	}
}

// Guards against a cordon that is lost, or kept for too long, through faults and
// takeovers.
func TestRandomSchedulesWithCordons(t *testing.T) {
	forEachSeed(t, scheduleSeeds/3, func(t *testing.T, seed uint64) {
		s := newSite(t, 3100+seed, scheduleWorkers, 3)
		s.failsTask = func(_ string, attempt uint64) bool { return attempt%5 == 4 }
		s.scheduleCordons()
		s.playSchedule()
	})
}

// scheduleCordons cordons availability zones at random times.
func (s *site) scheduleCordons() {
	for range 4 {
		at := time.Duration(s.rng.Int64N(int64(scheduleLength)))
		zones := [][]string{{"z0"}, {"z1"}, {"z0", "z1"}, nil}[s.rng.IntN(4)]
		s.after(at, func() { s.cordoned = zones })
	}
	s.after(scheduleLength, func() { s.cordoned = nil })
}
