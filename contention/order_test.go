package contention_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodladder/dogwoodladder/contention"
	"github.com/dogwoodladder/dogwoodladder/ranking"
)

func TestSorted(t *testing.T) {
	step := func(queue, zone string, demand int64) contention.Step {
		return contention.Step{Queue: queue, Zone: zone, Demand: demand, Objective: time.Second}
	}
	with := func(s contention.Step, priority int, standing ranking.Standing, waited time.Duration) contention.Step {
		s.Rank.Priority, s.Rank.Standing, s.Waited = priority, standing, waited
		return s
	}
	tests := []struct {
		name  string
		steps []contention.Step // in the order of package ranking
		want  []int
	}{
		{"no steps", nil, []int{}},
		{"the queue that uses less goes first", []contention.Step{step("a", "", 5), step("b", "", 5)}, []int{1, 0}},
		{"until it uses as much", []contention.Step{step("a", "", 5), step("b", "", 60), step("b", "", 5)}, []int{1, 0, 2}},
		{"then the zone that uses less", []contention.Step{step("a", "x", 5), step("a", "y", 5)}, []int{1, 0}},
		{"ties by rank", []contention.Step{step("c", "", 5), step("d", "", 5), step("c", "", 5)}, []int{0, 1, 2}},
		{"the priority counts first", []contention.Step{step("a", "", 5), with(step("b", "", 5), 1, ranking.InTime, 0)}, []int{0, 1}},
		{"then the standing", []contention.Step{step("a", "", 5), with(step("b", "", 5), 0, ranking.Late, 0)}, []int{0, 1}},
		{"an overdue step is first of its queue",
			[]contention.Step{step("b", "", 5), step("a", "x", 5), with(step("b", "", 9), 0, ranking.Late, time.Second)}, []int{2, 0, 1}},
		{"the longest wait first, and one beyond the share",
			[]contention.Step{step("b", "", 5), with(step("b", "", 9), 0, ranking.Late, time.Second), with(step("b", "", 9), 0, ranking.Late, 2*time.Second)},
			[]int{2, 0, 1}},
		{"overdue steps of several priorities",
			[]contention.Step{with(step("b", "", 9), 0, ranking.Late, time.Second), with(step("b", "", 9), 1, ranking.Late, time.Second), with(step("b", "", 9), 1, ranking.Late, time.Second)},
			[]int{0, 1, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o := contention.NewOrder()
			o.AddUse("a", "x", 50, false)
			for _, s := range tt.steps {
				o.Add(s)
			}
			is.Equal(o.Sorted(), tt.want)
		})
	}
}

// source submits steps of a queue from an availability zone.
type source struct {
	queue, zone string
	size        int // tasks of a step, of one unit each
	steps       int // that wait or run at any time
}

// work is a step in the model of a closed system, in which a step that has ended waits again.
type work struct {
	source
	waitsSince, ready, running int
	promoted                   bool
}

// closed is a pool of units, each of which runs one task for some turns.
type closed struct {
	capacity, now, objective int
	waiting                  []*work
	ends                     map[int][]*work // works of which a task ends, by turn
	used                     map[string]int  // units in use, by queue and by queue and zone
	longestWait              int
}

func newClosed(capacity, objective int, sources []source) *closed {
	c := &closed{capacity: capacity, objective: objective, ends: make(map[int][]*work), used: make(map[string]int)}
	for _, s := range sources {
		for range s.steps {
			c.waiting = append(c.waiting, &work{source: s, ready: s.size})
		}
	}
	return c
}

func (c *closed) use(w *work, tasks int) {
	w.running += tasks
	c.used[w.queue] += tasks
	c.used[w.queue+"/"+w.zone] += tasks
	c.used[""] += tasks
}

// step ends and starts tasks. Length returns how long a task runs.
func (c *closed) step(length func() int) {
	c.now++
	for _, w := range c.ends[c.now] {
		c.use(w, -1)
		if w.running == 0 && w.ready == 0 {
			w.ready, w.waitsSince = w.size, c.now
			c.waiting = append(c.waiting, w)
		}
	}
	delete(c.ends, c.now)
	o := contention.NewOrder()
	running := make(map[*work]int)
	for _, works := range c.ends {
		for _, w := range works {
			running[w]++
		}
	}
	for w, n := range running {
		o.AddUse(w.queue, w.zone, int64(n), w.promoted)
	}
	// Smaller steps rank before larger ones, as under package ranking.
	slices.SortStableFunc(c.waiting, func(a, b *work) int { return a.size - b.size })
	for _, w := range c.waiting {
		o.Add(contention.Step{Queue: w.queue, Zone: w.zone, Demand: int64(w.ready), Waited: time.Duration(c.now - w.waitsSince), Objective: time.Duration(c.objective)})
	}
	for _, i := range o.Sorted() {
		w := c.waiting[i]
		w.promoted = o.IsPromoted(i)
		for ; w.ready > 0 && c.used[""] < c.capacity; w.ready-- {
			c.use(w, 1)
			c.longestWait = max(c.longestWait, c.now-w.waitsSince)
			at := c.now + length()
			c.ends[at] = append(c.ends[at], w)
		}
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(w *work) bool { return w.ready == 0 })
}

const modelTurns = 200

// drawSources draws up to three queues with up to two availability zones each.
func drawSources(t *rapid.T, maxSize int) []source {
	var sources []source
	for q := range rapid.IntRange(1, 3).Draw(t, "queues") {
		for z := range rapid.IntRange(1, 2).Draw(t, "zones") {
			sources = append(sources, source{
				queue: fmt.Sprint("q", q), zone: fmt.Sprint("z", z),
				size:  rapid.IntRange(1, maxSize).Draw(t, "size"),
				steps: rapid.IntRange(1, 20).Draw(t, "steps"),
			})
		}
	}
	return sources
}

// unfair returns two queues, or two availability zones of one queue, of which the first has
// work waiting and uses less than the second by more than a step.
func (c *closed) unfair(maxSize int) map[[2]string]bool {
	pairs := make(map[[2]string]bool)
	for _, w := range c.waiting {
		for other, n := range c.used {
			name := w.queue
			if queue, _, isZone := strings.Cut(other, "/"); isZone && queue == w.queue {
				name += "/" + w.zone
			} else if isZone || other == "" {
				continue
			}
			if c.used[name]+maxSize < n {
				pairs[[2]string{name, other}] = true
			}
		}
	}
	return pairs
}

// Guards against a queue or an availability zone that uses less than its max-min fair share
// while it has work waiting, and against idle processors beside waiting work.
func TestSharesAreFair(t *testing.T) {
	const (
		maxSize   = 6
		maxLength = 5
		// Two generations of tasks after the demand changes, all processors were given anew.
		maxTurns = 2 * maxLength
	)
	rapid.Check(t, func(t *rapid.T) {
		sources := drawSources(t, maxSize)
		capacity := rapid.IntRange(20, 60).Draw(t, "capacity")
		lengths := rapid.SliceOfN(rapid.IntRange(1, maxLength), 17, 17).Draw(t, "lengths")
		c := newClosed(capacity, modelTurns*10, sources)
		turns := make(map[[2]string]int) // for which a pair has been unfair
		next := 0
		for range modelTurns {
			c.step(func() int { next++; return lengths[next%len(lengths)] })
			if len(c.waiting) > 0 && c.used[""] < capacity {
				t.Fatalf("%d of %d units used while %d steps wait", c.used[""], capacity, len(c.waiting))
			}
			unfair := c.unfair(maxSize)
			maps.DeleteFunc(turns, func(pair [2]string, _ int) bool { return !unfair[pair] })
			for pair := range unfair {
				turns[pair]++
				if turns[pair] > maxTurns {
					t.Fatalf("%s has work waiting and uses %d, less than %s with %d for %d turns", pair[0], c.used[pair[0]], pair[1], c.used[pair[1]], maxTurns)
				}
			}
		}
	})
}

// Guards against a large step that waits for as long as smaller ones arrive.
func TestNoStepWaitsForever(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const objective = 20
		sources := drawSources(t, 30)
		capacity := rapid.IntRange(20, 60).Draw(t, "capacity")
		total := 0
		for _, s := range sources {
			total += s.size * s.steps
		}
		c := newClosed(capacity, objective, sources)
		length := rapid.IntRange(1, 3).Draw(t, "length")
		// The overdue steps go in the order of their waits, at least one at a time.
		bound := objective + 4*length*(total/capacity+1)*len(sources)
		for range modelTurns + bound {
			c.step(func() int { return length })
			for _, w := range c.waiting {
				if waited := c.now - w.waitsSince; waited > bound {
					t.Fatalf("a step of %d tasks of queue %s has waited for %d turns, more than %d", w.size, w.queue, waited, bound)
				}
			}
		}
	})
}

// Guards against a large step that waits for as long as smaller ones of its queue and
// availability zone arrive, where all of them are overdue when they start.
func TestLargeOverdueStepStarts(t *testing.T) {
	const objective = 20
	c := newClosed(4, objective, []source{
		{queue: "q", zone: "z", size: 1, steps: 100}, // each starts after 75 turns
		{queue: "q", zone: "z", size: 6, steps: 1},
	})
	started := 0
	for range 400 {
		c.step(func() int { started++; return 2 + started%3 }) // tasks don't all end together
		for _, w := range c.waiting {
			if waited := c.now - w.waitsSince; w.size > 1 && w.ready == w.size && waited > 100 {
				t.Fatalf("a step of %d tasks has waited for %d turns", w.size, waited)
			}
		}
	}
}

// TestOrderIsComplete checks that each step is in the order once, and that the priorities
// keep theirs.
func TestOrderIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 60).Draw(t, "steps")
		o := contention.NewOrder()
		steps := make([]contention.Step, n)
		for i := range steps {
			steps[i] = contention.Step{
				Queue: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "queue"), Zone: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "zone"),
				Rank:   ranking.Rank{Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Standing: ranking.Standing(rapid.IntRange(0, 2).Draw(t, "standing"))},
				Demand: rapid.Int64Range(0, 50).Draw(t, "demand"), Waited: time.Duration(rapid.IntRange(0, 20).Draw(t, "waited")), Objective: 10,
			}
		}
		var r ranking.Ranking
		slices.SortStableFunc(steps, func(a, b contention.Step) int { return r.Compare(a.Rank, b.Rank) })
		for _, s := range steps {
			o.Add(s)
		}
		o.AddUse("a", "x", rapid.Int64Range(0, 500).Draw(t, "use"), rapid.Bool().Draw(t, "promoted"))
		order := o.Sorted()
		for k := 1; k < len(order); k++ {
			if steps[order[k]].Rank.Priority < steps[order[k-1]].Rank.Priority {
				t.Fatalf("step %d of a more urgent priority comes after step %d", order[k], order[k-1])
			}
		}
		slices.Sort(order)
		for i := range order {
			if order[i] != i {
				t.Fatalf("order %v of %d steps", order, n)
			}
		}
		if len(order) != n {
			t.Fatalf("%d of %d steps in the order", len(order), n)
		}
	})
}

// BenchmarkSorted sorts the waiting steps of a pool that was given 2.5 times its capacity
// for some objectives.
func BenchmarkSorted(b *testing.B) {
	for _, n := range []int{500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			steps := make([]contention.Step, n)
			for i := range steps {
				steps[i] = contention.Step{Queue: fmt.Sprint("q", i%10), Zone: fmt.Sprint("z", i%3), Demand: int64(i % 7), Waited: time.Duration(i), Objective: time.Duration(n - 10)}
			}
			for b.Loop() {
				o := contention.NewOrder()
				for _, s := range steps {
					o.Add(s)
				}
				o.Sorted()
			}
		})
	}
}
