package cell

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// inOrder iterates over a map in the order of its keys, so that equal inputs produce equal
// actions.
func inOrder[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}

// everyWorker returns the workers sorted by ID. The returned slice isn't modified when
// workers are added or dropped.
func (c *Cell) everyWorker() []*worker {
	if c.sortedWorkers == nil {
		c.sortedWorkers = make([]*worker, 0, len(c.workers))
		for _, w := range inOrder(c.workers) {
			c.sortedWorkers = append(c.sortedWorkers, w)
		}
	}
	return c.sortedWorkers
}
