package contention

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/ranking"
)

// promotedShare is the share of the processors in use up to which overdue steps go first. What
// they use is lost to jobs that can still be in time; one of them at a time is enough for
// none to starve.
const promotedShare = 0.02

// Step is a waiting step.
type Step struct {
	Queue     string
	Zone      string // availability zone in which the job was accepted
	Rank      ranking.Rank
	Demand    int64         // of its waiting tasks, in thousandths of a core
	Waited    time.Duration // since it could have been started
	Objective time.Duration // of its job; zero if it has none
}

// Overdue reports whether a step has waited as long as its job's objective.
func (s *Step) Overdue() bool {
	return s.Objective > 0 && s.Waited >= s.Objective
}

// demand returns the processors that the step takes once it is started, at least one
// thousandth of a core.
func (s *Step) demand() int64 {
	return max(1, s.Demand)
}

// Order sorts the waiting steps of a full pool. It is used for one sort.
type Order struct {
	steps       []Step
	queues      map[string]*queue
	use         int64
	promotedUse int64 // part of use by steps that were promoted when they were started
	promoted    []bool
}

// NewOrder returns an Order of no steps.
func NewOrder() *Order {
	return &Order{queues: make(map[string]*queue)}
}

// AddUse adds the processors that a task of a queue and an availability zone uses, in
// thousandths of a core. Promoted is what IsPromoted returned for its step when it was started:
// an overdue step that was started in its regular turn doesn't hold up the promotion of others.
func (o *Order) AddUse(queue, zone string, processors int64, promoted bool) {
	q := o.queue(queue)
	q.use += processors
	q.zone(zone).use += processors
	o.use += processors
	if promoted {
		o.promotedUse += processors
	}
}

// Add adds a step. Steps are added in the order of package ranking.
func (o *Order) Add(s Step) {
	o.queue(s.Queue) // exists for each step
	o.steps = append(o.steps, s)
}

func (o *Order) queue(name string) *queue {
	q := o.queues[name]
	if q == nil {
		q = &queue{zones: make(map[string]*zone)}
		o.queues[name] = q
	}
	return q
}

// Sorted returns the indexes of the steps in the order in which they are to be started, in
// O(n log n). The priorities keep their order; among the steps of a priority, the order is
// that of their standing, then that of fair shares. The overdue steps that have waited
// longest, up to promotedShare, are promoted: they count as in time and first of their queue.
func (o *Order) Sorted() []int {
	o.promoted = make([]bool, len(o.steps))
	order := make([]int, 0, len(o.steps))
	for start := 0; start < len(o.steps); {
		end := start + 1
		for end < len(o.steps) && o.steps[end].Rank.Priority == o.steps[start].Rank.Priority {
			end++
		}
		order = o.appendPriority(order, start, end)
		start = end
	}
	return order
}

// IsPromoted reports whether Sorted promoted the step with an index.
func (o *Order) IsPromoted(index int) bool {
	return o.promoted[index]
}

// appendPriority appends the steps of one priority, which are those from start to end.
func (o *Order) appendPriority(order []int, start, end int) []int {
	var turns turnHeap[*queue]
	add := func(i int, promoted bool) {
		q := o.queues[o.steps[i].Queue]
		if len(q.turns)+len(q.promoted) == 0 {
			turns = append(turns, q)
		}
		q.add(i, &o.steps[i], promoted)
	}
	for _, i := range o.overdueToPromote(start, end) {
		o.promoted[i] = true
		add(i, true)
	}
	for i := start; i < end; i++ {
		if !o.promoted[i] {
			add(i, false)
		}
	}
	for _, q := range turns {
		for _, z := range q.turns {
			z.prepare(o)
		}
		heap.Init(&q.turns)
		q.prepare()
	}
	heap.Init(&turns)
	for len(turns) > 0 {
		q := turns[0]
		order = append(order, q.take(o))
		if !q.prepare() {
			heap.Pop(&turns)
			continue
		}
		heap.Fix(&turns, 0)
	}
	return order
}

// overdueToPromote returns the overdue steps of one priority that go first, the longest wait
// first. A step that needs more than is left of promotedShare goes first once no other does,
// so that smaller ones can't keep it waiting.
func (o *Order) overdueToPromote(start, end int) []int {
	var overdue []int
	for i := start; i < end; i++ {
		if o.steps[i].Overdue() {
			overdue = append(overdue, i)
		}
	}
	slices.SortStableFunc(overdue, func(a, b int) int { return cmp.Compare(o.steps[b].Waited, o.steps[a].Waited) })
	for n, i := range overdue {
		demand := o.steps[i].demand()
		if o.promotedUse > 0 && float64(o.promotedUse+demand) > promotedShare*float64(o.use) {
			return overdue[:n]
		}
		o.promotedUse += demand
	}
	return overdue
}

// turn is the sort key of the next step of a queue or an availability zone.
type turn struct {
	standing ranking.Standing
	use      int64
	regular  int // 0 for an overdue step that goes first, else 1
	index    int // of the step, which breaks ties by rank
}

func (t turn) compare(other turn) int {
	return cmp.Or(cmp.Compare(t.standing, other.standing), cmp.Compare(t.use, other.use), cmp.Compare(t.regular, other.regular), cmp.Compare(t.index, other.index))
}

// queue holds the use and the waiting steps of a queue.
type queue struct {
	use      int64
	zones    map[string]*zone
	promoted []int           // overdue steps that go first
	turns    turnHeap[*zone] // zones with other steps
	next     turn
}

// zone holds the use and the waiting steps of a queue's jobs from one availability zone.
type zone struct {
	use   int64
	steps []int
	next  turn
}

func (q *queue) nextTurn() turn { return q.next }
func (z *zone) nextTurn() turn  { return z.next }

func (q *queue) zone(name string) *zone {
	z := q.zones[name]
	if z == nil {
		z = &zone{}
		q.zones[name] = z
	}
	return z
}

func (q *queue) add(index int, s *Step, promoted bool) {
	if promoted {
		q.promoted = append(q.promoted, index)
		return
	}
	z := q.zone(s.Zone)
	if len(z.steps) == 0 {
		q.turns = append(q.turns, z)
	}
	z.steps = append(z.steps, index)
}

// prepare determines the queue's next step. It returns false if there is none.
func (q *queue) prepare() bool {
	switch {
	case len(q.promoted) > 0:
		q.next = turn{standing: ranking.InTime, use: q.use, index: q.promoted[0]}
	case len(q.turns) > 0:
		first := q.turns[0].next
		q.next = turn{standing: first.standing, use: q.use, regular: 1, index: first.index}
	default:
		return false
	}
	return true
}

// take removes the queue's next step and returns its index.
func (q *queue) take(o *Order) int {
	index := q.next.index
	s := &o.steps[index]
	q.use += s.demand()
	z := q.zone(s.Zone)
	z.use += s.demand()
	if len(q.promoted) > 0 {
		q.promoted = q.promoted[1:]
		if len(q.promoted) == 0 { // the zones' use has changed
			for _, z := range q.turns {
				z.prepare(o)
			}
			heap.Init(&q.turns)
		}
		return index
	}
	z.steps = z.steps[1:]
	if len(z.steps) == 0 {
		heap.Pop(&q.turns)
		return index
	}
	z.prepare(o)
	heap.Fix(&q.turns, 0)
	return index
}

// prepare determines the zone's next step.
func (z *zone) prepare(o *Order) {
	z.next = turn{standing: o.steps[z.steps[0]].Rank.Standing, use: z.use, index: z.steps[0]}
}

// turnHeap is a heap of queues or zones by their next turns.
type turnHeap[T interface{ nextTurn() turn }] []T

func (h turnHeap[T]) Len() int           { return len(h) }
func (h turnHeap[T]) Less(i, j int) bool { return h[i].nextTurn().compare(h[j].nextTurn()) < 0 }
func (h turnHeap[T]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *turnHeap[T]) Push(x any)        { *h = append(*h, x.(T)) }
func (h *turnHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
