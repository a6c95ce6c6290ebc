package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// lines collects the fields of the first owner's log lines with a message.
func (s *site) lines(message string) *[]map[string]any {
	lines := new([]map[string]any)
	s.owners[0].onLog = func(e cell.LogEvent) {
		if e.Event != message {
			return
		}
		fields := make(map[string]any)
		for i := 0; i < len(e.Fields); i += 2 {
			fields[e.Fields[i].(string)] = e.Fields[i+1]
		}
		*lines = append(*lines, fields)
	}
	return lines
}

// isAbout reports whether a field is a duration up to the time that orders and reports take
// above another one.
func isAbout(field any, d time.Duration) bool {
	got, _ := field.(time.Duration)
	return got >= d && got < d+200*time.Millisecond
}

// Guards against a chain of work that adds up steps side by side, or isn't what tasks took.
func TestEndHasWorkOfChain(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 4, 1)
	took := map[string]time.Duration{".0.0.1": 1500 * time.Millisecond, ".0.1.0": 2500 * time.Millisecond}
	s.duration = func(task string) time.Duration {
		if d, ok := took[task[len(jobID(1)):]]; ok {
			return d
		}
		return 700 * time.Millisecond
	}
	ended := s.lines("job ended")
	s.owners[0].takeOver()
	s.after(3*time.Second, func() {
		s.submit(&job.Job{ID: jobID(1), Queue: "q", Spec: "x", Steps: []job.Step{step(3, 1), step(3, 1, 0), step(3, 1, 0)}})
	})
	s.run(10 * time.Second)
	is.Equal(len(*ended), 1)
	e := (*ended)[0]
	is.Equal(e["stretch"], 2.0)
	is.Equal(e["fixed"], time.Second)
	is.Equal(e["objective"], 5*time.Second)
	is.True(isAbout(e["chain"], 4*time.Second))
	is.True(isAbout(e["work"], 2*time.Second)) // the estimates are 1 s for each step
	is.Equal(e["slow"], nil)
	is.Equal(e["interference"], nil)
}

// Guards against a chain, and so an objective, that is too short because a run resumed from a
// checkpoint and did only a part of its task's work.
func TestChainOfResumedRun(t *testing.T) {
	is := is.New(t)
	const length = 8 * time.Second
	s := newSite(t, 1, 2, 1)
	s.duration = func(string) time.Duration { return length }
	s.checkpoint = func(task string, w *fakeWorker) string { return w.runs[task].progress(s.now).String() }
	s.resume = func(checkpoint string) time.Duration {
		done, err := time.ParseDuration(checkpoint)
		is.NoErr(err)
		return done
	}
	ended := s.lines("job ended")
	s.owners[0].takeOver()
	s.after(3*time.Second, func() {
		long := step(1, 1)
		long.Checkpoints = true
		s.submit(&job.Job{ID: jobID(1), Queue: "q", Spec: "x", Steps: []job.Step{long}})
	})
	s.after(7*time.Second, func() {
		for _, w := range s.workers {
			if len(w.runs) > 0 {
				w.crash(5*time.Second, 1)
				return
			}
		}
	})
	s.run(30 * time.Second)
	is.Equal(len(*ended), 1)
	chain, _ := (*ended)[0]["chain"].(time.Duration)
	is.True(chain > length*9/10 && chain < length*11/10)
	is.True((*ended)[0]["after"].(time.Duration) < 2*length-time.Second) // it resumed
}

// Guards against scheduled jobs that count as late because they wait for their occurrences.
func TestEndOfScheduledJob(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 2, 1)
	s.duration = func(string) time.Duration { return time.Second }
	ended := s.lines("job ended")
	s.owners[0].takeOver()
	s.after(3*time.Second, func() {
		first := wall(s.now + 10*time.Second).UnixMilli()
		s.submit(&job.Job{ID: jobID(1), Queue: "q", Spec: "x", Steps: []job.Step{step(1, 1)}, First: first, Interval: 5000, Times: 2})
	})
	s.run(30 * time.Second)
	is.Equal(len(*ended), 1)
	is.True(isAbout((*ended)[0]["after"], time.Second))
}

// Guards against the time that a slow worker costs being counted as the work of its tasks.
func TestEndHasTimeOfSlowWorker(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 4, 1)
	hosts := make(map[string]string)
	s.owners[0].onStart = func(o provider.StartOrder) { hosts[o.Task] = o.Host.ID }
	s.duration = func(task string) time.Duration {
		if hosts[task] == s.workers[0].host.ID {
			return 2 * time.Second
		}
		return time.Second
	}
	ended := s.lines("job ended")
	s.owners[0].takeOver()
	for i := range 10 {
		s.after(time.Duration(3+3*i)*time.Second, func() {
			j := &job.Job{ID: jobID(i), Queue: "q", Spec: "x", Steps: []job.Step{step(4, 1)}}
			j.Steps[0].PerWorker = 1
			s.submit(j)
		})
	}
	s.run(40 * time.Second)
	is.Equal(len(*ended), 10)
	first, last := (*ended)[0], (*ended)[9]
	is.True(isAbout(first["work"], time.Second)) // nothing is known of the worker yet
	is.True(last["slow"].(time.Duration) > 900*time.Millisecond)
	is.True(isAbout(last["chain"], time.Second))
}

// Guards against stopped runs whose kind and cost aren't known.
func TestStopHasKindAndCost(t *testing.T) {
	tests := []struct {
		kind string
		step job.Step
	}{
		{"urgent", job.Step{}},
		{"filling", job.Step{Fills: true, Image: "rebuild"}}, // reserves no processors
		{"lasting", job.Step{Lasting: true}},
	}
	for _, tt := range tests {
		t.Run(tt.kind, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 1, 3, 1)
			s.duration = func(string) time.Duration { return time.Hour }
			stopped := s.lines("stop")
			s.owners[0].takeOver()
			tt.step.Count, tt.step.Need, tt.step.Estimate = 2, step(1, 2).Need, time.Hour
			s.after(3*time.Second, func() { s.submit(&job.Job{ID: jobID(1), Queue: "q", Spec: "x", Steps: []job.Step{tt.step}}) })
			s.after(5*time.Second, func() { s.cancel(jobID(1)) })
			s.run(8 * time.Second)
			is.Equal(len(*stopped), 2)
			for _, l := range *stopped {
				is.Equal(l["kind"], tt.kind)
				is.Equal(l["reason"], "job cancelled")
				is.Equal(l["cores"], 2.0)
				is.True(isAbout(l["ran"], 1900*time.Millisecond))
			}
		})
	}
}

// Guards against the time that filling tasks cost the runs beside them being counted as the
// runs' own work.
func TestEndHasInterference(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 1, 1)
	s.duration = func(task string) time.Duration {
		switch task[:len(jobID(1))] {
		case jobID(1):
			return time.Hour
		case jobID(2):
			return 10 * time.Second // so that it progresses
		}
		return 2 * time.Second
	}
	filled := false
	s.tail = func(string, *fakeWorker) time.Duration {
		if filled {
			return 5 * time.Millisecond
		}
		return 2 * time.Millisecond
	}
	ended := s.lines("job ended")
	s.owners[0].takeOver()
	submit := func(n int, spec job.Step) {
		s.submit(&job.Job{ID: jobID(n), Queue: "q", Spec: "x", Steps: []job.Step{spec}})
	}
	serving, filling, urgent := step(1, 2), step(1, 1), step(1, 1)
	serving.Lasting, serving.Image, serving.Target = true, "quick", 10*time.Millisecond
	filling.Fills, filling.Image = true, "rebuild"
	urgent.Image = "quick"
	s.after(3*time.Second, func() { submit(1, serving) })
	s.after(6*time.Second, func() { submit(2, filling) })
	s.after(6500*time.Millisecond, func() { filled = true })
	s.after(10*time.Second, func() { submit(3, urgent) })
	s.run(14 * time.Second)
	is.Equal(len(*ended), 1)
	e := (*ended)[0]
	interference, _ := e["interference"].(time.Duration)
	is.True(interference > 100*time.Millisecond)
	is.True(isAbout(e["chain"], 2*time.Second-interference))
	is.True(isAbout(e["work"], time.Second-interference))
}
