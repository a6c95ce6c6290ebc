package cell_test

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// BenchmarkOwner simulates 10 s of a site with a thousand starts a second, and reports the
// owner's time per start, that of the harness included. With copies, every other job allows
// them, and a tenth of its tasks is slow on the worker where it starts first. In a crowded
// site, 2,000 waiting steps fit on no worker, and copies on none but that of their original.
func BenchmarkOwner(b *testing.B) {
	for _, workers := range []int{490, 6000} {
		for _, load := range []string{"plain", "copies", "crowded", "crowded-copies"} {
			b.Run(fmt.Sprintf("%d-%s", workers, load), func(b *testing.B) {
				for range b.N {
					completed := playOwner(workers, strings.HasSuffix(load, "copies"), strings.HasPrefix(load, "crowded"))
					b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(completed+1), "ns/start")
				}
			})
		}
	}
}

// playOwner plays the load of BenchmarkOwner and returns how many tasks were completed.
func playOwner(workers int, copies, crowded bool) int {
	s := newSite(&testing.T{}, 1, workers, 1)
	s.copies = copies
	s.duration = func(string) time.Duration { return 1700 * time.Millisecond }
	first := make(map[string]*fakeWorker)
	s.slowdown = func(task string, w *fakeWorker) float64 {
		if !copies || !strings.HasSuffix(task, "7") {
			return 1
		}
		first[task] = cmp.Or(first[task], w)
		if first[task] == w {
			return copySlowdown
		}
		return 1
	}
	n := 0
	var arrive func()
	arrive = func() {
		j := &job.Job{ID: jobID(n), Spec: "x", Steps: []job.Step{step(20, 1)}}
		j.Steps[0].Fills = n%2 == 0
		j.Steps[0].AllowsCopies = n%2 == 1
		j.Steps[0].Image = "f"
		if crowded && n%2 == 1 {
			j.Steps[0].Label = fmt.Sprint("l", n%workers)
		}
		n++
		s.submit(j)
		s.after(20*time.Millisecond, arrive)
	}
	if crowded {
		for i, w := range s.workers {
			w.host.Labels = []string{fmt.Sprint("l", i)}
			w.host.Capacity.Processors *= 4
		}
		for i := range 2000 {
			wide := step(1, 1)
			wide.AllowsCopies = true
			wide.Need.Processors = 1 << 20
			s.submit(&job.Job{ID: jobID(100_000 + i), Spec: "x", Steps: []job.Step{wide}})
		}
	}
	s.after(0, arrive)
	s.owners[0].takeOver()
	s.run(10 * time.Second)
	return len(s.completed)
}

// BenchmarkList measures the owner's time for an unchanged list of workers, of which it
// receives three a second. With 490 workers it takes 0.05 ms, and 0.77 ms if unchanged
// lists aren't detected; with 1,100 workers 0.17 and 1.6 ms.
func BenchmarkList(b *testing.B) {
	for _, workers := range []int{66, 490, 1100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s := newSite(&testing.T{}, 1, workers, 1)
			c, err := cell.New(cell.Self{Instance: "e", Term: 1, Sequence: 1}, cell.DefaultTiming(), catalog.New(), 0, wall(0))
			if err != nil {
				b.Fatal(err)
			}
			list := provider.HostList{Hosts: s.listAt(0).Hosts}
			now := time.Duration(0)
			take := func() {
				now += 300 * time.Millisecond
				list.AsOf = now
				for _, a := range c.Step(now, cell.WorkerList{List: list}) {
					if save, ok := a.(cell.Save); ok {
						c.Step(now, cell.SaveReply{Sequence: save.Sequence})
					}
				}
			}
			take() // puts the workers on record
			for b.Loop() {
				take()
			}
		})
	}
}

// BenchmarkFleet simulates 5 s of 6,000 workers with a thousand starts a second and a
// takeover in the middle, and reports the time per second, that of the harness included.
func BenchmarkFleet(b *testing.B) {
	for range b.N {
		s := newSite(&testing.T{}, 1, 6000, 2)
		s.duration = func(string) time.Duration { return 1700 * time.Millisecond }
		n := 0
		var arrive func()
		arrive = func() {
			j := &job.Job{ID: jobID(n), Spec: "x", Steps: []job.Step{step(40, 7)}}
			j.Steps[0].Fills = n%2 == 0
			j.Steps[0].Image = "f"
			n++
			s.submit(j)
			s.after(40*time.Millisecond, arrive)
		}
		s.after(0, arrive)
		s.owners[0].takeOver()
		s.after(2500*time.Millisecond, func() { s.replaceOwner(0, 1) })
		s.run(5 * time.Second)
		b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)/5, "cores")
		b.ReportMetric(float64(len(s.completed)), "tasks")
	}
}
