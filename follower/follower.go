// Package follower keeps a zone's state in step with its stream in the log
// service, and starts it from the newest usable snapshot.
//
// Usage:
//
//	applied := f.Feed(now, sentAt, page)
//	for _, a := range applied { ... }
//	if f.Ready() { state := f.State() }
//	from := f.Next() // where to read on
//
// The state exists once the stream was followed from its first record, or
// from a snapshot record whose successor is still kept. Where no such snapshot
// is left, a recovery snapshot decides, at every reader alike, unless somebody
// who has the state writes a regular one within Grace of it.
package follower

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// Grace is how long a recovery snapshot can be overruled by a regular one, by
// the times that the log service gives to records.
const Grace = 30 * time.Second

// Applied is a record that was folded, with what it changed.
type Applied struct {
	Offset  uint64
	Record  record.Record
	Outcome zone.Outcome
}

// Follower folds one stream. It isn't safe for use by several goroutines.
type Follower struct {
	create  func() *zone.State
	state   *zone.State
	next    uint64
	held    []provider.Entry // read before the tail was reached
	prior   *zone.State      // the state before a gap
	rival   *rival           // a recovery snapshot that may be overruled
	tail    time.Time        // when the newest read that reached the tail was sent
	caught  bool             // the tail was reached with a state
	empty   bool             // the tail was reached without a state
	restart bool             // the state starts from a snapshot
	newer   uint             // a record version above ours that was met, or zero
	bad     uint64           // records that could not be decoded
	gaps    uint64           // times the next offset had expired
}

// New returns a Follower that starts from an empty state made by create.
func New(create func() *zone.State) *Follower {
	return &Follower{create: create}
}

// State returns the folded state, or nil before there is one.
func (f *Follower) State() *zone.State {
	return f.state
}

// Ready reports whether the state exists and reached the tail once.
func (f *Follower) Ready() bool {
	return f.state != nil && f.caught && f.newer == 0
}

// Next returns the offset to read from.
func (f *Follower) Next() uint64 {
	return f.next
}

// Tail returns when the newest read that reached the tail was sent. The
// state held everything that the log had at that time.
func (f *Follower) Tail() time.Time {
	return f.tail
}

// Newer returns the version of a record that this program is too old to
// fold, or zero.
//
// What goes wrong: during a rolling upgrade a newer program writes a record
// whose rules this one doesn't know; folding on without it would give a
// state that differs from everyone else's. One would notice two instances
// that both think they own a task. The follower stops there, so the instance
// claims and extends nothing any more, and its workers move to others.
func (f *Follower) Newer() uint {
	return f.newer
}

// Damaged returns how many records could not be decoded.
func (f *Follower) Damaged() uint64 {
	return f.bad
}

// Gaps returns how often the next offset had expired.
func (f *Follower) Gaps() uint64 {
	return f.gaps
}

// Feed folds a page that was asked for at sentAt.
func (f *Follower) Feed(now, sentAt time.Time, page provider.Page) []Applied {
	if f.newer != 0 {
		return nil
	}
	f.begin(page)
	var applied []Applied
	for _, e := range page.Entries {
		if e.Offset < f.next {
			continue // a repeated answer
		}
		if e.Offset > f.next {
			break // a hole in the answer: read again from next
		}
		if !f.take(e, &applied) {
			return applied
		}
	}
	if f.next >= page.Next {
		f.reached(sentAt)
	}
	return applied
}

// begin decides where the state starts, and restarts it at a gap.
//
// What goes wrong: the instance was cut off for longer than the log keeps
// records, so some were never folded. One would notice a state that differs
// from that of others. Starting again from a snapshot record gives the state
// that everyone who reads that record has.
func (f *Follower) begin(page provider.Page) {
	if f.next < page.Oldest {
		if f.state != nil || f.next > 0 {
			f.gaps++
		}
		if f.state != nil {
			f.prior = f.state
		}
		f.state = nil
		f.held = nil
		f.caught = false
		f.restart = true
		f.next = page.Oldest
	}
	if f.state == nil && f.next == 0 {
		f.state = f.create()
	}
}

func (f *Follower) take(e provider.Entry, applied *[]Applied) bool {
	r, err := record.Decode(e.Data)
	if err != nil && r.Version > record.Version {
		f.newer = r.Version
		return false
	}
	f.next = e.Offset + 1
	if err != nil {
		f.bad++
		return true
	}
	if !f.caught && f.restart {
		f.held = append(f.held, e)
	}
	f.contest(e, r, applied)
	if f.usable(r.Snapshot) && f.restore(r.Snapshot, applied) {
		return true
	}
	if f.state != nil {
		*applied = append(*applied, Applied{e.Offset, r, f.state.Apply(e.Offset, e.Time, r)})
	}
	return true
}

// rival is a recovery snapshot and the entries that follow it.
type rival struct {
	snapshot *record.Snapshot
	offset   uint64
	at       time.Time
	entries  []provider.Entry
}

// contest follows up recovery snapshots.
//
// What goes wrong: an instance that lost the state writes a recovery snapshot
// while another one still has it. One would notice the two deciding from
// different states. Whoever has the state writes a regular snapshot, which
// overrules the other when it comes within Grace; else the first recovery
// snapshot takes effect at every reader, also at one that has a state.
func (f *Follower) contest(e provider.Entry, r record.Record, applied *[]Applied) {
	switch {
	case f.rival == nil && r.Snapshot != nil && r.Snapshot.Recovery:
		f.rival = &rival{snapshot: r.Snapshot, offset: e.Offset, at: e.Time}
	case f.rival == nil:
	case r.Snapshot != nil && !r.Snapshot.Recovery:
		f.rival = nil
	case e.Time.Sub(f.rival.at) >= Grace:
		f.decide(applied)
	default:
		f.rival.entries = append(f.rival.entries, e)
	}
}

// decide puts a recovery snapshot in force, with the entries that follow it.
func (f *Follower) decide(applied *[]Applied) {
	v := f.rival
	f.rival = nil
	state, err := zone.Restore(v.snapshot.State)
	if err != nil {
		f.bad++
		return
	}
	state.SkipTo(v.offset + 1)
	f.state = state
	f.replay(v.entries, v.offset, applied)
}

// Contested reports whether a recovery snapshot was read that can still be
// overruled. Whoever has a state then writes a regular snapshot; the others
// write markers, which move the stream's time on.
func (f *Follower) Contested() bool {
	return f.rival != nil
}

// usable reports whether a regular snapshot decides the state of a reader
// that is starting: as long as the tail wasn't reached, so that the newest one
// wins.
func (f *Follower) usable(s *record.Snapshot) bool {
	if s == nil || s.Recovery || !f.restart || f.caught || len(f.held) == 0 {
		return false
	}
	return s.At+1 >= f.held[0].Offset
}

// restore starts the state from a snapshot and folds the held records that
// follow it. It reports whether it did.
func (f *Follower) restore(s *record.Snapshot, applied *[]Applied) bool {
	state, err := zone.Restore(s.State)
	if err != nil {
		f.bad++
		return false
	}
	f.state = state
	*applied = (*applied)[:0]
	f.replay(f.held, s.At, applied)
	return true
}

// replay folds the entries after an offset.
func (f *Follower) replay(entries []provider.Entry, after uint64, applied *[]Applied) {
	for _, e := range entries {
		if e.Offset <= after {
			continue
		}
		r, err := record.Decode(e.Data)
		if err != nil {
			continue // counted when it was read
		}
		*applied = append(*applied, Applied{e.Offset, r, f.state.Apply(e.Offset, e.Time, r)})
	}
}

func (f *Follower) reached(sentAt time.Time) {
	if f.state != nil {
		f.caught = true
		f.held = nil
		f.prior = nil
	}
	f.empty = f.state == nil
	if sentAt.After(f.tail) {
		f.tail = sentAt
	}
}

// Lost reports whether the tail was reached without finding any state to
// start from, and the state from before the gap where there is one. Whoever
// has one writes it as a recovery snapshot that holds up to Next()-1.
func (f *Follower) Lost() (prior *zone.State, lost bool) {
	return f.prior, f.empty
}
