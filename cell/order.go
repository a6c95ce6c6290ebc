package cell

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// inOrder ranges over a map by its keys' order, so that the same inputs give
// the same actions.
func inOrder[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}

// everyWorker returns the workers in a fixed order. The slice isn't changed
// when workers come or go.
func (c *Cell) everyWorker() []*worker {
	if c.all == nil {
		c.all = make([]*worker, 0, len(c.workers))
		for _, w := range inOrder(c.workers) {
			c.all = append(c.all, w)
		}
	}
	return c.all
}
