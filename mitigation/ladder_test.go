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

func newTask(id string, percent int, lost time.Duration) mitigation.Task {
	return mitigation.Task{ID: id, Job: "j", Group: "g", Percent: percent, LostWork: lost, Remaining: time.Hour}
}

// newVictim returns a service at a level, with the harm of each culprit at
// full speed.
func newVictim(level float64, from time.Time, harms map[string]float64) interference.Victim {
	v := interference.Victim{Task: "r", Class: "price", Level: level, Observed: level, ObservedSince: from}
	for _, id := range []string{"a", "b", "c"} {
		if harm, ok := harms[id]; ok {
			v.Culprits = append(v.Culprits, interference.Culprit{Task: id, Kind: provider.KindBatch, Harm: harm, Confidence: 1})
		}
	}
	return v
}

func newWorker(v interference.Victim, tasks ...mitigation.Task) mitigation.Worker {
	return mitigation.Worker{ID: "w", Victims: []interference.Victim{v}, Tasks: tasks}
}

func formatActions(actions []mitigation.Action) string {
	text := ""
	for _, a := range actions {
		text += fmt.Sprintf("%v %s %d;", a.Kind, a.Task, a.Percent)
	}
	return text
}

func TestDecide(t *testing.T) {
	from := start.Add(time.Second)
	harms := map[string]float64{"a": 0.4, "b": 0.001}
	unconfirmed := newVictim(1.5, from, harms)
	unconfirmed.Observed = 1
	short := newTask("a", 25, 0)
	short.Remaining = time.Minute
	overcommitted := newWorker(newVictim(1, from, nil), mitigation.Task{ID: "a", Percent: 100, ProcessorShare: 0.1}, mitigation.Task{ID: "b", Percent: 100, ProcessorShare: 0.4})
	overcommitted.Load = 1.15
	mild := map[string]float64{"a": 0.1, "b": 0.001}
	crowded := newWorker(newVictim(1, from, mild), mitigation.Task{ID: "a", Percent: 25, ProcessorShare: 0.3})
	crowded.Load = 0.95
	unreported := newWorker(newVictim(1, from, mild), newTask("a", 25, 0))
	unreported.Victims = append(unreported.Victims, interference.Victim{Task: "new"})
	cases := []struct {
		name string
		in   mitigation.Worker
		want string
	}{
		{"calm", newWorker(newVictim(1.05, from, harms), newTask("a", 100, 0)), ""},
		{"between the limits", newWorker(newVictim(1.1, from, harms), newTask("a", 50, 0)), ""},
		{"throttles who explains it", newWorker(newVictim(1.3, from, harms), newTask("a", 100, 0), newTask("b", 100, 0)), "Throttle a 50;"},
		{"as far as needed", newWorker(newVictim(1.45, from, harms), newTask("a", 100, 0)), "Throttle a 25;"},
		{"as many as needed", newWorker(newVictim(1.9, from, map[string]float64{"a": 0.4, "b": 0.3}), newTask("a", 100, 0), newTask("b", 100, 0)), "Throttle a 25;Throttle b 25;"},
		{"leaves alone who explains nothing", newWorker(newVictim(1.5, from, map[string]float64{"b": 0.001}), newTask("b", 100, 0)), ""},
		{"the estimate alone isn't enough", newWorker(unconfirmed, newTask("a", 100, 0)), ""},
		{"evicts at the floor", newWorker(newVictim(1.3, from, harms), newTask("a", 25, 0)), "Evict a 0;"},
		{"the least lost work of two alike", newWorker(newVictim(1.15, from, map[string]float64{"a": 0.41, "b": 0.4}), newTask("a", 25, 20*time.Minute), newTask("b", 25, time.Minute)), "Evict b 0;"},
		{"not for work about to end", newWorker(newVictim(1.2, from, harms), short), ""},
		{"not for more than the gain", newWorker(newVictim(1.2, from, harms), newTask("a", 25, 10*time.Hour)), ""},
		{"the last floor instead of an eviction", newWorker(newVictim(1.3, from, harms), short), "Throttle a 5;"},
		{"releases the harmless at once", newWorker(newVictim(1.05, from, mild), newTask("a", 25, 0), newTask("b", 25, 0)), "Unthrottle b 100;Unthrottle a 50;"},
		{"not when the service would rise", newWorker(newVictim(1.05, from, map[string]float64{"a": 0.4}), newTask("a", 25, 0)), ""},
		{"not beyond the processors", crowded, ""},
		{"not before all services reported", unreported, ""},
		{"overcommitted processors", overcommitted, "Throttle b 50;"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(formatActions(mitigation.New().Decide(start.Add(time.Minute), c.in)), c.want)
		})
	}
}

// Guards against a task that is throttled again and evicted within the lag,
// because reports from before a throttle keep arriving and are taken for its
// effect.
func TestWaitsForReportsAfterAnAction(t *testing.T) {
	is := is.New(t)
	l := mitigation.New()
	harms := map[string]float64{"a": 0.4}
	acted := start.Add(time.Minute)
	is.Equal(formatActions(l.Decide(acted, newWorker(newVictim(1.45, start, harms), newTask("a", 100, 0)))), "Throttle a 25;")
	for i := range 30 {
		old := newVictim(1.45, acted.Add(-time.Second), harms)
		is.Equal(formatActions(l.Decide(acted.Add(time.Duration(i)*5*time.Second), newWorker(old, newTask("a", 25, 0)))), "")
	}
	fresh := newVictim(1.45, acted.Add(time.Second), harms)
	is.Equal(formatActions(l.Decide(acted.Add(3*time.Minute), newWorker(fresh, newTask("a", 25, 0)))), "Evict a 0;")
}

// Guards against a throttle that goes on and off with the period of the lag.
// The model considers a task harmless at full speed, each release harms the
// service, and reports lag by a minute; with a fixed hold time the release
// would be repeated forever.
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
		if seen > 25 { // a step in the harm that the model doesn't know
			level = 1.3
		}
		v := newVictim(level, now.Add(-lag-5*time.Second), map[string]float64{"a": 0.1})
		for _, a := range l.Decide(now, newWorker(v, mitigation.Task{ID: "a", Percent: percent})) {
			if a.Kind == mitigation.Throttle || a.Kind == mitigation.Unthrottle {
				percent = a.Percent
				changes++
			}
		}
	}
	is.True(changes > 2)   // the throttle was released at least once
	is.True(changes <= 40) // within six hours
}

// Guards against unprotected services, and evictions on outdated measurements,
// when a worker's reports stop while a service is above the limit.
func TestSilentWorkerIsHeldConservatively(t *testing.T) {
	is := is.New(t)
	l := mitigation.New()
	in := newWorker(newVictim(2, start.Add(time.Second), map[string]float64{"a": 0.5}), newTask("a", 100, 0), newTask("b", 25, 0))
	in.Silent = true
	now := start.Add(time.Minute)
	is.Equal(formatActions(l.Decide(now, in)), "Throttle a 50;")
	is.Equal(l.State()[0].Mode, "Conservative")
	in.Tasks[0].Percent = 50
	is.Equal(formatActions(l.Decide(now.Add(time.Hour), in)), "")
	in.Silent = false
	in.Victims[0] = newVictim(1, now.Add(61*time.Minute), map[string]float64{"a": 0.005, "b": 0.005})
	is.Equal(formatActions(l.Decide(now.Add(62*time.Minute), in)), "Unthrottle a 100;Unthrottle b 100;")
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
				a := newTask("a", 25, 0)
				a.Job = fmt.Sprint(i % c.jobs)
				in := newWorker(newVictim(1.5, now.Add(-time.Second), map[string]float64{"a": 0.5}), a)
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

// Guards against one relapse that delays the next release by half an hour. A
// release harms the service, and recovery takes several throttles and reports;
// these must not each count as another relapse.
func TestOneRelapseCountsOnce(t *testing.T) {
	is := is.New(t)
	l := mitigation.New()
	now := start
	step := func(level float64, percent int) string {
		now = now.Add(90 * time.Second)
		harm := map[string]float64{"a": 0.1}
		return formatActions(l.Decide(now, newWorker(newVictim(level, now.Add(-time.Second), harm), mitigation.Task{ID: "a", Percent: percent})))
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
		in := newWorker(newVictim(1.5, now.Add(-time.Second), nil))
		for _, a := range l.Decide(now, in) {
			is.Equal(a.Kind, mitigation.Move)
			is.Equal(a.Task, "r")
			moves = append(moves, at)
		}
	}
	is.Equal(moves, []time.Duration{6 * time.Minute, 16 * time.Minute})
}
