package quick

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// short returns a scenario cut to three seconds.
func short(s *scenario) *scenario {
	s.length = 3 * time.Second
	return s
}

// Symptom: figures differ from run to run, or requests vanish from them.
// Sequence: the same seed twice, under a fault that loses requests and one
// that takes workers away.
// Cause: an order that follows a map, or an end that isn't counted.
func TestRunsAreRepeatable(t *testing.T) {
	for _, name := range []string{dyingName, silentName, cutName} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := short(faulty(name)()).execute(current.make, 7)
			second := short(faulty(name)()).execute(current.make, 7)
			is.Equal(newRow(steady(1), "", first), newRow(steady(1), "", second))
			is.Equal(first.answers()+first.refused+first.failed, first.requests)
		})
	}
}

// Symptom: the comparison with the ideal queue flatters the policy.
// Sequence: light load, where no request waits anywhere.
// Cause: policies get other requests, or the network costs them differently.
func TestSameRequestsForAll(t *testing.T) {
	is := is.New(t)
	own := short(steady(0.1)).execute(current.make, 7)
	central := short(steady(0.1)).execute(newIdeal, 7)
	is.Equal(own.requests, central.requests)
	is.Equal(own.all().ValueAtQuantile(99), central.all().ValueAtQuantile(99))
}

// Symptom: a worker is given more requests than it has slots.
// Sequence: an overload with dying workers, looked at every millisecond; no
// request runs into its deadline, after which an instance can't know whether
// the work goes on.
// Cause: a slot is counted free while its request runs.
func TestWorkersStayWithinSlots(t *testing.T) {
	is := is.New(t)
	s := short(steady(2))
	s.deadline = time.Minute
	f := newFake(s, 7)
	p := current.make(f, s, 7)
	s.arrive(f, p, s.parts[0], f.random)
	f.after(time.Second, func() { dyingWorkers(f, p) })
	for at := time.Duration(0); at < s.length; at += time.Millisecond {
		f.run(at)
		for _, w := range f.workers {
			is.Equal(len(w.backlog), 0)
		}
	}
	is.True(f.result.inTime > 0)
}
