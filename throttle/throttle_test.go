package throttle_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/throttle"
)

func TestSpeeds(t *testing.T) {
	light := throttle.Task{Share: 0.1, Pressure: []float64{0.1}}
	heavy := throttle.Task{Share: 0.1, Pressure: []float64{1.0}}
	twice := throttle.Task{Share: 0.2, Pressure: []float64{2.0}}
	tests := []struct {
		name        string
		maxPressure []float64
		tasks       []throttle.Task
		want        []float64
	}{
		{"no serving task", nil, []throttle.Task{{Share: 0.1}}, []float64{1}},
		{"room for all", []float64{1.2}, []throttle.Task{heavy, light}, []float64{1, 1}},
		{"the heavy one works at half its speed", []float64{0.6}, []throttle.Task{heavy, light}, []float64{0.5, 1}},
		{"the heavy one stands", []float64{0.05}, []throttle.Task{light, heavy}, []float64{0.5, 0}},
		{"no room at all", []float64{-0.4}, []throttle.Task{heavy, light}, []float64{0, 0}},
		{"of equals the later one is slowed", []float64{1.5}, []throttle.Task{heavy, heavy}, []float64{1, 0.5}},
		{"size alone doesn't make a task heavy", []float64{2.5}, []throttle.Task{twice, heavy}, []float64{1, 0.5}},
		{
			"the serving task with least room decides", []float64{3, 0.2},
			[]throttle.Task{{Share: 0.1, Pressure: []float64{1, 0}}, {Share: 0.1, Pressure: []float64{0, 0.4}}},
			[]float64{1, 0.5},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := throttle.Speeds(test.maxPressure, test.tasks)
			is.Equal(len(got), len(test.want))
			for i := range got {
				is.True(math.Abs(got[i]-test.want[i]) < 1e-9)
			}
		})
	}
}

// No serving task gets more pressure than it tolerates, for random mixes of
// tasks.
func TestSpeedsKeepPressureWithinBounds(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		maxPressure := make([]float64, 1+rng.IntN(5))
		for i := range maxPressure {
			maxPressure[i] = 3*rng.Float64() - 0.5
		}
		tasks := make([]throttle.Task, rng.IntN(8))
		for j := range tasks {
			tasks[j].Share = 0.2 * rng.Float64()
			for range maxPressure {
				tasks[j].Pressure = append(tasks[j].Pressure, 15*rng.Float64()*tasks[j].Share)
			}
		}
		speeds := throttle.Speeds(maxPressure, tasks)
		for i := range maxPressure {
			total := 0.0
			for j := range tasks {
				is.True(speeds[j] >= 0 && speeds[j] <= 1)
				total += speeds[j] * tasks[j].Pressure[i]
			}
			is.True(total <= max(0, maxPressure[i])+1e-9)
		}
	}
}
