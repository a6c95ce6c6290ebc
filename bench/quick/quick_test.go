package quick

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// short returns a scenario cut to three seconds.
func short(s *scenario) *scenario {
	s.duration = 3 * time.Second
	return s
}

// Two runs with the same seed must give the same figures and count the end of
// every request, under faults that lose requests or remove workers. Map
// iteration order or an uncounted ending breaks this.
func TestRunsAreRepeatable(t *testing.T) {
	for _, name := range []string{dyingName, silentName, cutName} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := short(faultScenario(name)()).execute(current.newPolicy, 7)
			second := short(faultScenario(name)()).execute(current.newPolicy, 7)
			is.Equal(newRow(steady(1), "", first), newRow(steady(1), "", second))
			is.Equal(first.answers()+first.refused+first.failed, first.requests)
		})
	}
}

// At a light load, where no request waits, the policy and the ideal queue must
// have the same p99. It differs, and their comparison is biased, if they get
// different requests or network delays.
func TestSameRequestsForAll(t *testing.T) {
	is := is.New(t)
	system := short(steady(0.1)).execute(current.newPolicy, 7)
	ideal := short(steady(0.1)).execute(newIdeal, 7)
	is.Equal(system.requests, ideal.requests)
	is.Equal(system.allLatencies().ValueAtQuantile(99), ideal.allLatencies().ValueAtQuantile(99))
}

// No worker may get more requests than it has slots, checked every millisecond
// of an overload with dying workers. It does if a slot counts as free while its
// request runs. The deadline is long because an instance can't know whether a
// request still runs after it.
func TestWorkersStayWithinSlots(t *testing.T) {
	is := is.New(t)
	s := short(steady(2))
	s.deadline = time.Minute
	f := newFake(s, 7)
	p := current.newPolicy(f, s, 7)
	s.scheduleArrivals(f, p, s.serviceLoads[0], f.random)
	f.after(time.Second, func() { dyingWorkers(f, p) })
	for at := time.Duration(0); at < s.duration; at += time.Millisecond {
		f.run(at)
		for _, w := range f.workers {
			is.Equal(len(w.backlog), 0)
		}
	}
	is.True(f.outcome.inTime > 0)
}
