// Package throttle decides how fast the tasks that fill a worker's idle
// processors may work beside those that serve users.
//
// Usage:
//
//	speeds := throttle.Speeds(room, tasks)
//	for i, s := range speeds {
//		pace(tasks[i], s) // 0 to 1
//	}
//
// Each serving task has room for some pressure: the slack that is left to it at
// its target. A filling task takes of it in proportion to the speed it works
// at, more from some serving tasks than from others. What is asked for is the
// most work that keeps all serving tasks within their room. Slowing the task
// that presses most for the work it does costs the least work, so that one is
// slowed first, down to a stand, then the next one.
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

// Speeds returns the share of full speed at which each task may work, for
// the room that each serving task has for pressure.
func Speeds(room []float64, tasks []Task) []float64 {
	speeds := make([]float64, len(tasks))
	for i := range speeds {
		speeds[i] = 1
	}
	for i, left := range room {
		relieve(i, left, tasks, speeds)
	}
	return speeds
}

// relieve slows tasks until the pressure on one serving task is within its
// room, those that press it most for their work first, the later ones first
// among equals.
func relieve(served int, room float64, tasks []Task, speeds []float64) {
	excess := -max(0, room)
	for j := range tasks {
		excess += tasks[j].Pressure[served] * speeds[j]
	}
	if excess <= 0 {
		return
	}
	order := make([]int, len(tasks))
	for j := range order {
		order[j] = len(tasks) - 1 - j
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(tasks[b].intensity(served), tasks[a].intensity(served))
	})
	for _, j := range order {
		p := tasks[j].Pressure[served]
		if excess <= 0 || p <= 0 {
			return
		}
		less := min(speeds[j], excess/p)
		speeds[j] -= less
		excess -= less * p
	}
}

// intensity returns how much a task presses a serving one for the work it does.
func (t *Task) intensity(served int) float64 {
	return t.Pressure[served] / max(t.Share, leastShare)
}

// leastShare keeps the intensity of a task without work finite.
const leastShare = 1e-3
