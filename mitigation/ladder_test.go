package mitigation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/interference"
	"github.com/dogwoodladder/dogwoodladder/mitigation"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func task(id string, percent int, lost time.Duration) mitigation.Task {
	return mitigation.Task{ID: id, Job: "j", Group: "g", Percent: percent, Lost: lost, Remaining: time.Hour}
}

// suffering is a service at a level, with the harm of each culprit at full
// speed.
func suffering(level float64, from time.Time, harms map[string]float64) interference.Victim {
	v := interference.Victim{Task: "r", Class: "price", Level: level, Observed: level, From: from}
	for _, id := range []string{"a", "b", "c"} {
		if harm, ok := harms[id]; ok {
			v.Culprits = append(v.Culprits, interference.Culprit{Task: id, Kind: provider.KindBatch, Harm: harm, Confidence: 1})
		}
	}
	return v
}

func worker(v interference.Victim, tasks ...mitigation.Task) mitigation.Worker {
	return mitigation.Worker{ID: "w", Victims: []interference.Victim{v}, Tasks: tasks}
}

func brief(actions []mitigation.Action) string {
	text := ""
	for _, a := range actions {
		text += fmt.Sprintf("%v %s %d;", a.Kind, a.Task, a.Percent)
	}
	return text
}

func TestDecide(t *testing.T) {
	from := start.Add(time.Second)
	loud := map[string]float64{"a": 0.4, "b": 0.001}
	unconfirmed := suffering(1.5, from, loud)
	unconfirmed.Observed = 1
	short := task("a", 25, 0)
	short.Remaining = time.Minute
	overcommitted := worker(suffering(1, from, nil), mitigation.Task{ID: "a", Percent: 100, Share: 0.1}, mitigation.Task{ID: "b", Percent: 100, Share: 0.4})
	overcommitted.Load = 1.15
	mild := map[string]float64{"a": 0.1, "b": 0.001}
	crowded := worker(suffering(1, from, mild), mitigation.Task{ID: "a", Percent: 25, Share: 0.3})
	crowded.Load = 0.95
	unreported := worker(suffering(1, from, mild), task("a", 25, 0))
	unreported.Victims = append(unreported.Victims, interference.Victim{Task: "new"})
	cases := []struct {
		name string
		in   mitigation.Worker
		want string
	}{
		{"calm", worker(suffering(1.05, from, loud), task("a", 100, 0)), ""},
		{"between the limits", worker(suffering(1.1, from, loud), task("a", 50, 0)), ""},
		{"throttles who explains it", worker(suffering(1.3, from, loud), task("a", 100, 0), task("b", 100, 0)), "Throttle a 50;"},
		{"as far as needed", worker(suffering(1.45, from, loud), task("a", 100, 0)), "Throttle a 25;"},
		{"as many as needed", worker(suffering(1.9, from, map[string]float64{"a": 0.4, "b": 0.3}), task("a", 100, 0), task("b", 100, 0)), "Throttle a 25;Throttle b 25;"},
		{"leaves alone who explains nothing", worker(suffering(1.5, from, map[string]float64{"b": 0.001}), task("b", 100, 0)), ""},
		{"the estimate alone isn't enough", worker(unconfirmed, task("a", 100, 0)), ""},
		{"evicts at the floor", worker(suffering(1.3, from, loud), task("a", 25, 0)), "Evict a 0;"},
		{"the least lost work of two alike", worker(suffering(1.15, from, map[string]float64{"a": 0.41, "b": 0.4}), task("a", 25, 20*time.Minute), task("b", 25, time.Minute)), "Evict b 0;"},
		{"not for work about to end", worker(suffering(1.2, from, loud), short), ""},
		{"not for more than the gain", worker(suffering(1.2, from, loud), task("a", 25, 10*time.Hour)), ""},
		{"the last floor instead of an eviction", worker(suffering(1.3, from, loud), short), "Throttle a 5;"},
		{"releases the harmless at once", worker(suffering(1.05, from, mild), task("a", 25, 0), task("b", 25, 0)), "Unthrottle b 100;Unthrottle a 50;"},
		{"not when the service would rise", worker(suffering(1.05, from, map[string]float64{"a": 0.4}), task("a", 25, 0)), ""},
		{"not beyond the processors", crowded, ""},
		{"not before all services reported", unreported, ""},
		{"overcommitted processors", overcommitted, "Throttle b 50;"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(brief(mitigation.New().Decide(start.Add(time.Minute), c.in)), c.want)
		})
	}
}

// Symptom: a task is throttled again and again within the lag, and evicted.
// Sequence: a throttle works, but reports from before it go on coming.
// Cause: old evidence is taken for the effect of the last action.
func TestWaitsForEvidenceAfterItsAction(t *testing.T) {
	is := is.New(t)
	l := mitigation.New()
	loud := map[string]float64{"a": 0.4}
	acted := start.Add(time.Minute)
	is.Equal(brief(l.Decide(acted, worker(suffering(1.45, start, loud), task("a", 100, 0)))), "Throttle a 25;")
	for i := range 30 {
		old := suffering(1.45, acted.Add(-time.Second), loud)
		is.Equal(brief(l.Decide(acted.Add(time.Duration(i)*5*time.Second), worker(old, task("a", 25, 0)))), "")
	}
	fresh := suffering(1.45, acted.Add(time.Second), loud)
	is.Equal(brief(l.Decide(acted.Add(3*time.Minute), worker(fresh, task("a", 25, 0)))), "Evict a 0;")
}

// Symptom: a throttle goes on and off with the period of the lag.
// Sequence: the model thinks a task harmless at full speed, each release
// harms the service, and the throttle comes back; reports lag by a minute.
// Cause: a fixed hold time, so that the same attempt is made for ever.
func TestDoesNotOscillate(t *testing.T) {
	is := is.New(t)
	l := mitigation.New()
	const lag = time.Minute
	percent := 100
	history := []int{}
	changes := 0
	for i := range 6 * 3600 / 5 {
		now := start.Add(time.Duration(i) * 5 * time.Second)
		history = append(history, percent)
		seen := history[max(0, i-int(lag/(5*time.Second)))]
		level := 1.0
		if seen > 25 { // a cliff that the model doesn't know
			level = 1.3
		}
		v := suffering(level, now.Add(-lag-5*time.Second), map[string]float64{"a": 0.1})
		for _, a := range l.Decide(now, worker(v, mitigation.Task{ID: "a", Percent: percent})) {
			if a.Kind == mitigation.Throttle || a.Kind == mitigation.Unthrottle {
				percent = a.Percent
				changes++
			}
		}
	}
	is.True(changes > 2)   // it did try
	is.True(changes <= 40) // within six hours
}

// Symptom: nothing protects services of a worker whose reports stopped, or
// tasks are evicted for what was true before.
// Sequence: the service suffers, then the worker falls silent.
// Cause: the last evidence is used for ever.
func TestSilentWorkerIsHeldConservatively(t *testing.T) {
	is := is.New(t)
	l := mitigation.New()
	in := worker(suffering(2, start.Add(time.Second), map[string]float64{"a": 0.5}), task("a", 100, 0), task("b", 25, 0))
	in.Silent = true
	now := start.Add(time.Minute)
	is.Equal(brief(l.Decide(now, in)), "Throttle a 50;")
	is.Equal(l.State()[0].Mode, "Conservative")
	in.Tasks[0].Percent = 50
	is.Equal(brief(l.Decide(now.Add(time.Hour), in)), "")
	in.Silent = false
	in.Victims[0] = suffering(1, now.Add(61*time.Minute), map[string]float64{"a": 0.005, "b": 0.005})
	is.Equal(brief(l.Decide(now.Add(62*time.Minute), in)), "Unthrottle a 100;Unthrottle b 100;")
	is.Equal(len(l.State()), 0)
}

func TestBudgetBoundsEvictions(t *testing.T) {
	cases := []struct {
		name    string
		options []mitigation.Option
		jobs    int
		evicted int
	}{
		{"of a job", []mitigation.Option{mitigation.WithBudget(3, 100, 10*time.Minute)}, 1, 3},
		{"of a group", []mitigation.Option{mitigation.WithBudget(3, 5, 10*time.Minute)}, 50, 5},
		{"renewed after the window", []mitigation.Option{mitigation.WithBudget(3, 100, time.Minute)}, 1, 15},
		{"the cost outweighs all", []mitigation.Option{mitigation.WithEvictionCost(1000 * time.Hour)}, 50, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := mitigation.New(c.options...)
			evicted := 0
			for i := range 50 {
				now := start.Add(time.Duration(i+1) * 6 * time.Second)
				a := task("a", 25, 0)
				a.Job = fmt.Sprint(i % c.jobs)
				in := worker(suffering(1.5, now.Add(-time.Second), map[string]float64{"a": 0.5}), a)
				for _, action := range l.Decide(now, in) {
					if action.Kind == mitigation.Evict {
						evicted++
					}
				}
			}
			is.Equal(evicted, c.evicted)
		})
	}
}

// Symptom: one relapse holds a throttle back for half an hour.
// Sequence: a release harms the service, and it takes several throttles and
// reports until it is well again.
// Cause: each of these is counted as another relapse.
func TestOneRelapseCountsOnce(t *testing.T) {
	is := is.New(t)
	l := mitigation.New()
	now := start
	step := func(level float64, percent int) string {
		now = now.Add(90 * time.Second)
		harm := map[string]float64{"a": 0.1}
		return brief(l.Decide(now, worker(suffering(level, now.Add(-time.Second), harm), mitigation.Task{ID: "a", Percent: percent})))
	}
	is.Equal(step(1.2, 100), "Throttle a 25;")
	is.Equal(step(1, 25), "Unthrottle a 50;")
	is.Equal(step(1.2, 50), "Throttle a 25;")
	is.Equal(step(1.2, 25), "")
	is.Equal(step(1.2, 25), "")
	is.Equal(l.State()[0].Backoff, 1)
}

func TestMovesAServiceThatNothingElseHelps(t *testing.T) {
	is := is.New(t)
	l := mitigation.New(mitigation.WithMoveAfter(5 * time.Minute))
	moves := []time.Duration{}
	for at := time.Minute; at < 20*time.Minute; at += 10 * time.Second {
		now := start.Add(at)
		in := worker(suffering(1.5, now.Add(-time.Second), nil))
		for _, a := range l.Decide(now, in) {
			is.Equal(a.Kind, mitigation.Move)
			is.Equal(a.Task, "r")
			moves = append(moves, at)
		}
	}
	is.Equal(moves, []time.Duration{6 * time.Minute, 16 * time.Minute})
}
