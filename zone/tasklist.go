package zone

import (
	"iter"
	"slices"
	"sort"
)

// maxChunk bounds the tasks in one chunk of a taskList.
const maxChunk = 128

// taskList is a chunked list of tasks sorted by serial. Inserting and removing
// at any position takes a binary search over the chunks and a copy of at most
// one chunk.
type taskList struct {
	chunks [][]*task
	length int
}

func (o *taskList) insert(t *task) {
	o.length++
	c := o.chunkOf(t.serial)
	if c == len(o.chunks) {
		o.appendTask(t)
		return
	}
	chunk := o.chunks[c]
	chunk = slices.Insert(chunk, positionOf(chunk, t.serial), t)
	o.chunks[c] = chunk
	if len(chunk) > maxChunk {
		o.split(c)
	}
}

// appendTask inserts a task after all others.
func (o *taskList) appendTask(t *task) {
	last := len(o.chunks) - 1
	if last < 0 || len(o.chunks[last]) == maxChunk {
		o.chunks = append(o.chunks, []*task{t})
		return
	}
	o.chunks[last] = append(o.chunks[last], t)
}

func (o *taskList) split(c int) {
	chunk := o.chunks[c]
	half := slices.Clone(chunk[len(chunk)/2:])
	o.chunks[c] = slices.Delete(chunk, len(chunk)/2, len(chunk))
	o.chunks = slices.Insert(o.chunks, c+1, half)
}

func (o *taskList) remove(t *task) {
	c := o.chunkOf(t.serial)
	chunk := o.chunks[c]
	i := positionOf(chunk, t.serial)
	o.length--
	o.chunks[c] = slices.Delete(chunk, i, i+1)
	o.merge(c)
}

// merge joins chunk c with a neighbour when both together fill at most half a
// chunk, so that a few remaining tasks don't keep a chunk each.
func (o *taskList) merge(c int) {
	if len(o.chunks[c]) == 0 {
		o.chunks = slices.Delete(o.chunks, c, c+1)
		return
	}
	if c == len(o.chunks)-1 {
		c--
	}
	if c < 0 || len(o.chunks[c])+len(o.chunks[c+1]) > maxChunk/2 {
		return
	}
	o.chunks[c] = append(o.chunks[c], o.chunks[c+1]...)
	o.chunks = slices.Delete(o.chunks, c+1, c+2)
}

// chunkOf returns the index of the first chunk whose last serial is at least
// serial.
func (o *taskList) chunkOf(serial uint64) int {
	return sort.Search(len(o.chunks), func(c int) bool {
		chunk := o.chunks[c]
		return chunk[len(chunk)-1].serial >= serial
	})
}

// positionOf returns the index at which serial is or belongs in a chunk.
func positionOf(chunk []*task, serial uint64) int {
	return sort.Search(len(chunk), func(i int) bool { return chunk[i].serial >= serial })
}

func (o *taskList) all() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, chunk := range o.chunks {
			for _, t := range chunk {
				if !yield(t) {
					return
				}
			}
		}
	}
}
