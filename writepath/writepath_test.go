package writepath_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/writepath"
)

const ms = time.Millisecond

// event is something that happens to a Path.
type event func(p *writepath.Path, now time.Duration)

func next(p *writepath.Path, now time.Duration)           { p.Next(now, writepath.Silence{}) }
func rejected(p *writepath.Path, now time.Duration)       { p.Rejected(now) }
func overdue(p *writepath.Path, now time.Duration)        { p.Overdue(now) }
func handoverFailed(p *writepath.Path, now time.Duration) { p.HandoverFailed(now) }

func appended(took time.Duration) event {
	return func(p *writepath.Path, now time.Duration) { p.Appended(now, took) }
}

func handedOver(appendTime time.Duration) event {
	return func(p *writepath.Path, now time.Duration) { p.HandedOver(now, appendTime) }
}

// step is an event at a time.
type step struct {
	at time.Duration
	event
}

func half() float64 { return 0.5 }

func play(steps []step, opts ...writepath.Option) *writepath.Path {
	p := writepath.New(half, opts...)
	for _, s := range steps {
		s.event(p, s.at)
	}
	return p
}

func TestNext(t *testing.T) {
	const start = 10 * time.Second
	diverted := step{start, overdue}
	quick := step{start + 10*ms, handedOver(2 * ms)} // a trial is due after 300 ms + 0.5 x 500 ms
	const trialAt = start + 560*ms
	tests := []struct {
		name    string
		steps   []step
		at      time.Duration
		silence writepath.Silence
		want    writepath.Way
	}{
		{"first record", nil, 0, writepath.Silence{}, writepath.WriteDirectly},
		{"after a quick append", []step{{start, appended(2 * ms)}}, start, writepath.Silence{}, writepath.WriteDirectly},
		{"after a rejection", []step{{start, rejected}}, start, writepath.Silence{}, writepath.HandOver},
		{"without an answer in time", []step{diverted}, start, writepath.Silence{}, writepath.HandOver},
		{"after a slow append", []step{{start, appended(300 * ms)}}, start, writepath.Silence{}, writepath.HandOver},
		{"aggregators are slow", []step{diverted, {start, handedOver(300 * ms)}}, start + time.Minute, writepath.Silence{}, writepath.HandOver},
		{"quick for a short time", []step{diverted, quick}, trialAt - 1, writepath.Silence{}, writepath.HandOver},
		{"quick for long enough", []step{diverted, quick}, trialAt, writepath.Silence{}, writepath.Trial},
		{"only one trial at a time", []step{diverted, quick, {trialAt, next}}, trialAt + ms, writepath.Silence{}, writepath.HandOver},
		{"trial succeeds", []step{diverted, quick, {trialAt, next}, {trialAt + 2*ms, appended(2 * ms)}}, trialAt + 2*ms, writepath.Silence{}, writepath.WriteDirectly},
		{"trial is rejected", []step{diverted, quick, {trialAt, next}, {trialAt + ms, rejected}}, trialAt + 700*ms, writepath.Silence{}, writepath.HandOver},
		{"second trial comes later", []step{diverted, quick, {trialAt, next}, {trialAt + ms, rejected}}, trialAt + 801*ms, writepath.Silence{}, writepath.Trial},
		{"trial was given up", []step{diverted, quick, {trialAt, next}, {trialAt + time.Second, next}}, trialAt + 1800*ms, writepath.Silence{}, writepath.Trial},
		{"slow again before the trial", []step{diverted, quick, {start + 500*ms, handedOver(300 * ms)}}, trialAt, writepath.Silence{}, writepath.HandOver},
		{"slow and quick again", []step{diverted, quick, {start + 500*ms, handedOver(300 * ms)}, {start + 510*ms, handedOver(2 * ms)}}, trialAt, writepath.Silence{}, writepath.HandOver},
		{"no aggregator, in state direct", []step{{start, handoverFailed}}, start, writepath.Silence{}, writepath.WriteDirectly},
		{"no aggregator, after an old rejection", []step{diverted, {start + 400*ms, handoverFailed}}, start + 400*ms, writepath.Silence{}, writepath.WriteDirectly},
		{"aggregators are back", []step{diverted, {start + 400*ms, handoverFailed}, {start + 500*ms, handedOver(96 * ms)}}, start + 500*ms, writepath.Silence{}, writepath.HandOver},
		{"no way works", []step{diverted, {start + 100*ms, handoverFailed}}, start + 200*ms, writepath.Silence{}, writepath.Reject},
		{"probe after a while", []step{diverted, {start + 100*ms, handoverFailed}}, start + 400*ms, writepath.Silence{}, writepath.WriteDirectly},
		{"one probe at a time", []step{diverted, {start + 100*ms, handoverFailed}, {start + 400*ms, next}}, start + 500*ms, writepath.Silence{}, writepath.Reject},
		{"next probe", []step{diverted, {start + 100*ms, handoverFailed}, {start + 400*ms, next}}, start + 700*ms, writepath.Silence{}, writepath.WriteDirectly},
		{"the store is silent", []step{diverted, {start + 100*ms, handoverFailed}}, start + time.Second, writepath.Silence{Store: true}, writepath.Reject},
		{"the store is silent here only", []step{diverted, {start + 100*ms, handedOver(2 * ms)}}, start + 200*ms, writepath.Silence{Store: true}, writepath.HandOver},
		{"both are silent", []step{diverted}, start + 2*time.Second, writepath.Silence{Store: true, Aggregators: true}, writepath.Reject},
		{"aggregators are silent", []step{diverted}, start + 2*time.Second, writepath.Silence{Aggregators: true}, writepath.WriteDirectly},
		{"direct again without aggregators", []step{diverted, {start + 400*ms, handoverFailed}, {start + 500*ms, appended(2 * ms)}, {start + 600*ms, handedOver(2 * ms)}}, start + 600*ms, writepath.Silence{}, writepath.WriteDirectly},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(play(tt.steps).Next(tt.at, tt.silence), tt.want)
		})
	}
}

func TestHedgeDelay(t *testing.T) {
	tests := []struct {
		name    string
		appends []time.Duration
		want    time.Duration
	}{
		{"nothing is known", nil, 200 * ms},
		{"quick", []time.Duration{2 * ms, 3 * ms, 2 * ms}, 60 * ms},
		{"three times the median", []time.Duration{20 * ms, 30 * ms, 30 * ms}, 90 * ms},
		{"bounded", []time.Duration{100 * ms}, 200 * ms},
		{"slow appends don't count", []time.Duration{2 * ms, 96 * ms, 96 * ms, 96 * ms}, 60 * ms},
		{"old ones are forgotten", []time.Duration{
			10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms, 10 * ms,
			30 * ms, 30 * ms, 30 * ms, 30 * ms, 30 * ms, 30 * ms, 30 * ms, 30 * ms,
		}, 90 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := writepath.New(half)
			for i, took := range tt.appends {
				p.Appended(time.Duration(i)*time.Second, took)
			}
			is.New(t).Equal(p.HedgeDelay(), tt.want)
		})
	}
}

// Guards against an instance that returns to a store that is slow under load only, again and
// again at the same pace.
func TestDelayGrowsWithFailedReturns(t *testing.T) {
	tests := []struct {
		name   string
		direct time.Duration // time in state direct before each diversion
		want   []time.Duration
	}{
		{"at once", 100 * ms, []time.Duration{550 * ms, 800 * ms, 1300 * ms, 2300 * ms, 2300 * ms}},
		{"after a while", 5 * time.Second, []time.Duration{550 * ms, 550 * ms, 550 * ms}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := writepath.New(half)
			now := time.Minute
			for _, want := range tt.want {
				p.Overdue(now)
				p.HandedOver(now, 2*ms)
				startedAt := now
				for p.Next(now, writepath.Silence{}) != writepath.Trial {
					now += 10 * ms
				}
				is.Equal(now-startedAt, want)
				p.Appended(now, 2*ms)
				now += tt.direct
			}
		})
	}
}

func TestChanges(t *testing.T) {
	is := is.New(t)
	var changes []writepath.Change
	const start = 10 * time.Second
	play([]step{
		{start, appended(2 * ms)}, {start + ms, rejected}, {start + 2*ms, rejected}, {start + 3*ms, handedOver(4 * ms)},
		{start + time.Second, next}, {start + time.Second, appended(3 * ms)},
		{start + 2*time.Second, overdue}, {start + 3*time.Second, handoverFailed}, {start + 3*time.Second, appended(5 * ms)},
	}, writepath.WithChanges(func(c writepath.Change) { changes = append(changes, c) }))
	is.Equal(changes, []writepath.Change{
		{State: writepath.Diverted, Reason: writepath.StoreRejects, AppendTime: 2 * ms},
		{State: writepath.Direct, Reason: writepath.StoreAnswers, AppendTime: 3 * ms},
		{State: writepath.Diverted, Reason: writepath.NoAnswer, AppendTime: 3 * ms},
		{State: writepath.Direct, Reason: writepath.NoAggregators, AppendTime: 5 * ms},
	})
	is.Equal(writepath.NoAggregators.String(), "no aggregators")
}
