package pressure_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/pressure"
)

const (
	target = 50 * time.Millisecond
	idle   = 10 * time.Millisecond
)

// world gives tails as a queue does: the idle tail divided by the share of
// time that isn't taken by the load or by filling tasks.
type world struct {
	weights map[[2]string]float64
	rng     *rand.Rand
}

func newWorld() *world {
	w := &world{weights: make(map[[2]string]float64), rng: rand.New(rand.NewPCG(3, 4))}
	for _, s := range []string{"s0", "s1", "s2"} {
		for _, f := range []string{"f0", "f1", "f2", "f3"} {
			w.weights[[2]string{s, f}] = 0.4
			if w.rng.IntN(2) == 0 {
				w.weights[[2]string{s, f}] = 4.5
			}
		}
	}
	return w
}

func (w *world) tail(served string, at time.Duration, fills []pressure.Fill) time.Duration {
	busy := 0.45 * (1 + 0.5*math.Sin(at.Seconds()*2*math.Pi/14+float64(len(served)+int(served[1]))))
	for _, f := range fills {
		busy += w.weights[[2]string{served, f.Image}] * f.Share
	}
	free := max(0.01, 1-busy) * (0.95 + 0.1*w.rng.Float64())
	return time.Duration(float64(idle) / free)
}

// Symptom: filling tasks that do no harm are kept off a worker, and those that
// do are let on. Sequence: several run together, so that a tail alone doesn't
// say which of them is the cause. Cause: the blame was shared by size.
func TestWeightsAreTold(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	e := pressure.New()
	images := []string{"f0", "f1", "f2", "f3"}
	for step := range 4000 {
		at := time.Duration(step) * 20 * time.Millisecond
		served := []string{"s0", "s1", "s2"}[w.rng.IntN(3)]
		var fills []pressure.Fill
		for range w.rng.IntN(3) {
			fills = append(fills, pressure.Fill{Image: images[w.rng.IntN(4)], Share: 0.03 + 0.07*w.rng.Float64()})
		}
		report := pressure.Served{Job: "job-" + served, Image: served, Target: target, Tail: w.tail(served, at, fills)}
		e.Observe(at, []pressure.Served{report}, fills, true)
	}
	for pair, press := range w.weights {
		got := e.Weight(pair[0], pair[1])
		if press < 1 {
			is.True(got < 5) // 2 in truth
		} else {
			is.True(got > 12) // 22.5 in truth
		}
	}
}

func TestBears(t *testing.T) {
	tests := []struct {
		name  string
		room  []pressure.Room
		share float64
		bears bool
	}{
		{"nobody to disturb", nil, 1, true},
		{"far from its target", []pressure.Room{{Image: "s", Slack: 3}}, 0.1, true},
		{"near its target", []pressure.Room{{Image: "s", Slack: 1.2, Pressure: 2}}, 0.1, false},
		{"one of two is near", []pressure.Room{{Image: "s", Slack: 3}, {Image: "s", Slack: 1, Pressure: 2}}, 0.1, false},
		{"at its peak, but the task is light", []pressure.Room{{Image: "s", Slack: 0.9}}, 0.05, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(pressure.New().Bears(test.room, "f", test.share), test.bears)
		})
	}
}

func TestRecord(t *testing.T) {
	is := is.New(t)
	e := pressure.New()
	served := []pressure.Served{{Job: "j", Image: "s", Target: target, Tail: 45 * time.Millisecond}}
	fills := []pressure.Fill{{Image: "f", Share: 0.2}}
	for i := range 50 {
		e.Observe(time.Duration(i)*time.Second, served, fills, true)
	}
	data, err := e.Encode()
	is.NoErr(err)
	loaded := pressure.New()
	is.NoErr(loaded.Load(data))
	is.True(math.Abs(loaded.Weight("s", "f")-e.Weight("s", "f")) < 0.01)
	is.True(loaded.Load([]byte{0xff}) != nil)
}
