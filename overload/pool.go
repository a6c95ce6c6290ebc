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
	// minNotFull is how long a pool has free capacity until it isn't full any more. Under a
	// load near its capacity, it has some and none several times a second.
	minNotFull = time.Second
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
	buckets   [flowBuckets]map[Origin]float64
	current   int64         // number of the newest bucket, counted from time zero
	fullSince time.Duration // when the pool became full
	lastFull  time.Duration // when it was last without free capacity
	full      bool
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
	number := int64(now / (flowWindow / flowBuckets))
	for n := max(f.current+1, number-flowBuckets+1); n <= number; n++ {
		clear(f.buckets[n%flowBuckets])
	}
	f.current = max(f.current, number)
}

// SetFull records whether the pool lacks free capacity for some work now. It reports whether
// the pool has become full or stopped being so, which takes minNotFull.
func (f *Flow) SetFull(now time.Duration, lacks bool) bool {
	if lacks {
		f.lastFull = now
	}
	if full := lacks || f.full && now-f.lastFull < minNotFull; full != f.full {
		f.full = full
		f.fullSince = now
		return true
	}
	return false
}

// Full reports whether the pool is full, as last recorded.
func (f *Flow) Full() bool {
	return f.full
}

// Pool returns the figures for the other instances, with the core-seconds that wait. It is
// nil unless the pool has been full for the whole window: otherwise the rate tells of the
// demand, and not of the capacity.
func (f *Flow) Pool(now time.Duration, waiting map[Origin]float64) *Pool {
	if !f.full || now-f.fullSince < flowWindow {
		return nil
	}
	return f.Measure(now, waiting)
}

// Measure returns the figures as measured so far.
func (f *Flow) Measure(now time.Duration, waiting map[Origin]float64) *Pool {
	f.slide(now)
	lines := make(map[Origin]Line)
	for o, work := range waiting {
		lines[o] = Line{Origin: o, Waiting: work}
	}
	for i := range f.buckets {
		for o, work := range f.buckets[i] {
			l := lines[o]
			l.Origin = o
			l.Rate += work / flowWindow.Seconds()
			lines[o] = l
		}
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
