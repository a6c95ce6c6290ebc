// Package throttle computes how fast the filling tasks, which use the idle
// processors of a worker, may run beside its serving tasks.
//
// Usage:
//
//	speeds := throttle.Speeds(maxPressure, tasks)
//	for i, s := range speeds {
//		pace(tasks[i], s) // 0 to 1
//	}
//
// Each serving task tolerates some pressure, the slack left until its latency
// target. A filling task exerts pressure in proportion to its speed, on some
// serving tasks more than on others. The speeds maximize the work done by filling
// tasks while no serving task gets more pressure than it tolerates. Slowing the
// task with the most pressure per work loses the least work, so it is slowed
// first, down to a stop, then the next one.
package throttle

import (
	"cmp"
	"slices"
)

// Task is a filling task on a worker.
type Task struct {
	Pressure []float64 // at full speed, on each serving task
	Share    float64   // of the worker's processors that it uses at full speed
}

// Speeds returns the fraction of full speed at which each task may run.
// maxPressure is the pressure that each serving task tolerates.
func Speeds(maxPressure []float64, tasks []Task) []float64 {
	speeds := make([]float64, len(tasks))
	for i := range speeds {
		speeds[i] = 1
	}
	for i, limit := range maxPressure {
		relieve(i, limit, tasks, speeds)
	}
	return speeds
}

// relieve slows tasks until the pressure on one serving task is at most
// maxPressure, in the order of decreasing intensity, and the later ones first among
// equals.
func relieve(serving int, maxPressure float64, tasks []Task, speeds []float64) {
	excess := -max(0, maxPressure)
	for j := range tasks {
		excess += tasks[j].Pressure[serving] * speeds[j]
	}
	if excess <= 0 {
		return
	}
	order := make([]int, len(tasks))
	for j := range order {
		order[j] = len(tasks) - 1 - j
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(tasks[b].intensity(serving), tasks[a].intensity(serving))
	})
	for _, j := range order {
		p := tasks[j].Pressure[serving]
		if excess <= 0 || p <= 0 {
			return
		}
		reduction := min(speeds[j], excess/p)
		speeds[j] -= reduction
		excess -= reduction * p
	}
}

// intensity returns the pressure of a task on a serving task per share of the
// processors.
func (t *Task) intensity(serving int) float64 {
	return t.Pressure[serving] / max(t.Share, minShare)
}

// minShare keeps the intensity of a task without a share finite.
const minShare = 1e-3
