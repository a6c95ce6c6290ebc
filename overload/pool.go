package overload

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// flowWindow is the time over which the starts of a full pool are measured. Tasks take
	// up to 2.2 s, and many end together, so that starts come in waves of that length.
	flowWindow = 4 * time.Second
	// flowBuckets is the number of parts in which the window slides.
	flowBuckets = 8
	// bucketLength is the time that a bucket covers.
	bucketLength = flowWindow / flowBuckets
	// minNotFull is how long a pool has free capacity until it isn't full any more. Under a
	// load near its capacity, it has some and none several times a second.
	minNotFull = time.Second
	// maxGap is the time without a scheduling pass after which the measurement starts anew:
	// an owner that may not start anything tells nothing of the capacity.
	maxGap = time.Second
	// maxPools bounds the pools on record.
	maxPools = 8
	// maxLines bounds the lines of one pool. The rest is summed up by priority. A line
	// takes 60 to 80 bytes, and each instance reads the record twice a second.
	maxLines = 16
)

// Pool holds the figures of a pool without free capacity for some of its waiting steps.
type Pool struct {
	Lines []Line `cbor:"1,keyasint"`
}

// Origin tells where work comes from.
type Origin struct {
	Queue    string `cbor:"1,keyasint,omitempty"` // empty for the rest of a priority's queues
	Zone     string `cbor:"2,keyasint,omitempty"` // availability zone in which the job was accepted
	Priority int    `cbor:"3,keyasint,omitempty"`
}

// Line holds the figures of the work of one origin.
type Line struct {
	Origin
	Waiting float64 `cbor:"4,keyasint,omitempty"` // core-seconds
	Rate    float64 `cbor:"5,keyasint,omitempty"` // core-seconds started a second
}

// Waiting returns the core-seconds that wait, of all priorities.
func (p *Pool) Waiting() float64 {
	sum := 0.0
	for i := range p.Lines {
		sum += p.Lines[i].Waiting
	}
	return sum
}

// Rate returns the core-seconds a second that were started, of all priorities.
func (p *Pool) Rate() float64 {
	sum := 0.0
	for i := range p.Lines {
		sum += p.Lines[i].Rate
	}
	return sum
}

// Flow measures the core-seconds that are started in a pool, over a sliding window. The
// zero Flow is ready to use.
type Flow struct {
	buckets  [flowBuckets]map[Origin]float64
	current  int64         // number of the newest bucket, counted from time zero
	lacks    map[int]lack  // priorities of which some work finds no free capacity
	measured map[int]lack  // those of which unconstrained work finds none
	lastPass time.Duration // when SetFull was last called
}

// lack tells of a priority whose work finds no free capacity.
type lack struct {
	since, last time.Duration // when that was first and last so
}

// RecordStart counts the start of some work, in core-seconds.
func (f *Flow) RecordStart(now time.Duration, o Origin, work float64) {
	f.slide(now)
	b := &f.buckets[f.current%flowBuckets]
	if *b == nil {
		*b = make(map[Origin]float64)
	}
	(*b)[o] += work
}

// slide drops the buckets that have left the window.
func (f *Flow) slide(now time.Duration) {
	number := int64(now / bucketLength)
	for n := max(f.current+1, number-flowBuckets+1); n <= number; n++ {
		clear(f.buckets[n%flowBuckets])
	}
	f.current = max(f.current, number)
}

// SetFull records, once in each scheduling pass, of which priorities some work found no free
// capacity. The value of a priority tells whether some of that work is unconstrained, that is,
// could run on any worker. SetFull reports whether the pool has become full or stopped being
// so. A priority lacks capacity until none of its work was without for minNotFull.
func (f *Flow) SetFull(now time.Duration, priorities map[int]bool) bool {
	wasFull := f.Full()
	if now-f.lastPass > maxGap || f.lacks == nil {
		f.lacks, f.measured = make(map[int]lack), make(map[int]lack)
	}
	f.lastPass = now
	for p, unconstrained := range priorities {
		extend(f.lacks, p, now)
		if unconstrained {
			extend(f.measured, p, now)
		}
	}
	hasCapacity := func(_ int, l lack) bool { return now-l.last >= minNotFull }
	maps.DeleteFunc(f.lacks, hasCapacity)
	maps.DeleteFunc(f.measured, hasCapacity)
	return f.Full() != wasFull
}

// extend records that a priority lacks capacity now.
func extend(lacks map[int]lack, priority int, now time.Duration) {
	l, lacked := lacks[priority]
	if !lacked {
		l.since = now
	}
	l.last = now
	lacks[priority] = l
}

// Full reports whether the pool is full, as last recorded.
func (f *Flow) Full() bool {
	return len(f.lacks) > 0
}

// Pool returns the figures for the other instances, with the core-seconds that wait. It
// counts the waiting work only of priorities whose unconstrained work lacked capacity for the
// whole window: otherwise their rate tells of the demand, and not of the capacity. It is nil
// if there are none.
func (f *Flow) Pool(now time.Duration, waiting map[Origin]float64) *Pool {
	if now-f.lastPass > maxGap {
		return nil
	}
	measured := make(map[Origin]float64)
	for o, work := range waiting {
		if l, lacks := f.measured[o.Priority]; lacks && now-l.since >= flowWindow {
			measured[o] = work
		}
	}
	if len(measured) == 0 {
		return nil
	}
	return f.Measure(now, measured)
}

// Measure returns the figures as measured so far.
func (f *Flow) Measure(now time.Duration, waiting map[Origin]float64) *Pool {
	f.slide(now)
	measured := flowWindow - bucketLength + now%bucketLength
	lines := make(map[Origin]Line)
	for o, work := range waiting {
		lines[o] = Line{Origin: o, Waiting: work}
	}
	for i := range f.buckets {
		for o, work := range f.buckets[i] {
			l := lines[o]
			l.Origin = o
			l.Rate += work
			lines[o] = l
		}
	}
	for o, l := range lines {
		l.Rate /= measured.Seconds()
		lines[o] = l
	}
	return &Pool{Lines: bounded(lines)}
}

// LargestPools returns those of the pools with the most waiting work, at most maxPools.
func LargestPools(pools map[string]*Pool) map[string]*Pool {
	if len(pools) <= maxPools {
		return pools
	}
	names := slices.SortedFunc(maps.Keys(pools), func(a, b string) int {
		return cmp.Or(cmp.Compare(pools[b].Waiting(), pools[a].Waiting()), cmp.Compare(a, b))
	})
	largest := make(map[string]*Pool)
	for _, name := range names[:maxPools] {
		largest[name] = pools[name]
	}
	return largest
}

// bounded returns the lines with the most waiting work, and sums of the rest.
func bounded(lines map[Origin]Line) []Line {
	all := make([]Line, 0, len(lines))
	for _, l := range lines {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b Line) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Rate, a.Rate), compareOrigins(a.Origin, b.Origin))
	})
	if len(all) <= maxLines {
		return all
	}
	kept := all[:maxLines:maxLines]
	for _, l := range all[maxLines:] {
		rest := Origin{Priority: l.Priority}
		i := slices.IndexFunc(kept, func(other Line) bool { return other.Origin == rest })
		if i < 0 {
			kept = append(kept, Line{Origin: rest})
			i = len(kept) - 1
		}
		kept[i].Waiting += l.Waiting
		kept[i].Rate += l.Rate
	}
	return kept
}

func compareOrigins(a, b Origin) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Zone, b.Zone))
}
