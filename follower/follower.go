// Package follower keeps a zone's state up to date with its stream in the log
// service, and starts it from the newest usable snapshot.
//
// Usage:
//
//	applied := f.ApplyPage(now, sentAt, page)
//	for _, a := range applied { ... }
//	if f.Ready() { state := f.State() }
//	from := f.Next() // offset of the next read
//
// The state exists once the stream was followed from its first record, or from
// a snapshot record with all records after the snapshot's state still available.
// If there is no such snapshot, a recovery snapshot takes effect at every
// reader, unless an instance that has the state writes a regular one within
// RecoveryGrace.
package follower

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// RecoveryGrace is the time within which a regular snapshot overrules a recovery
// snapshot, measured by the timestamps of the log service.
const RecoveryGrace = 30 * time.Second

// Applied is a record that was applied, with its outcome.
type Applied struct {
	Offset  uint64
	Record  record.Record
	Outcome zone.Outcome
}

// Follower applies the records of one stream to a state. It isn't safe for
// concurrent use.
type Follower struct {
	create         func() *zone.State
	state          *zone.State
	next           uint64
	replayEntries  []provider.Entry  // entries read before the tail was reached, for replay
	stateBeforeGap *zone.State       // the state before a gap
	recovery       *recoverySnapshot // a recovery snapshot that may be overruled
	tailReadAt     time.Time         // when the newest read that reached the tail was sent
	caughtUp       bool              // the tail was reached with a state
	noState        bool              // the tail was reached without a state
	fromSnapshot   bool              // the state starts from a snapshot
	newerVersion   uint              // version of a record above record.Version, or zero
	damaged        uint64            // records that could not be decoded
	gaps           uint64            // number of times the next offset had expired
}

// New returns a Follower that starts from an empty state made by create.
func New(create func() *zone.State) *Follower {
	return &Follower{create: create}
}

// State returns the state, or nil before there is one.
func (f *Follower) State() *zone.State {
	return f.state
}

// Ready reports whether the state exists, has reached the tail once, and no
// record of a newer version was read.
func (f *Follower) Ready() bool {
	return f.state != nil && f.caughtUp && f.newerVersion == 0
}

// Next returns the offset to read from.
func (f *Follower) Next() uint64 {
	return f.next
}

// TailReadAt returns when the newest read that reached the tail was sent. The
// state includes everything that the log had at that time.
func (f *Follower) TailReadAt() time.Time {
	return f.tailReadAt
}

// NewerVersion returns the version of a record that this program is too old to
// apply, or zero.
//
// During a rolling upgrade a newer program may write a record whose rules this
// one doesn't know. Skipping it would give a state that differs from that of the
// others, and two instances could both consider themselves the owner of a task.
// So the follower stops there: the instance no longer claims tasks or extends
// leases, and its workers move to others.
func (f *Follower) NewerVersion() uint {
	return f.newerVersion
}

// DamagedCount returns how many records could not be decoded.
func (f *Follower) DamagedCount() uint64 {
	return f.damaged
}

// GapCount returns the number of times the next offset had expired.
func (f *Follower) GapCount() uint64 {
	return f.gaps
}

// ApplyPage applies a page whose read was sent at sentAt.
func (f *Follower) ApplyPage(now, sentAt time.Time, page provider.Page) []Applied {
	if f.newerVersion != 0 {
		return nil
	}
	f.checkGap(page)
	var applied []Applied
	for _, e := range page.Entries {
		if e.Offset < f.next {
			continue // a repeated answer
		}
		if e.Offset > f.next {
			break // a gap in the answer: read again from next
		}
		if !f.handleEntry(e, &applied) {
			return applied
		}
	}
	if f.next >= page.Next {
		f.handleTail(sentAt)
	}
	return applied
}

// checkGap creates the initial state at the first record, and drops the state
// at a gap.
//
// If the instance was cut off for longer than the log keeps records, some were
// never applied, and continuing would give a state that differs from that of the
// others. Starting again from a snapshot record gives the same state as at every
// other reader of that record.
func (f *Follower) checkGap(page provider.Page) {
	if f.next < page.Oldest {
		if f.state != nil || f.next > 0 {
			f.gaps++
		}
		if f.state != nil {
			f.stateBeforeGap = f.state
		}
		f.state = nil
		f.replayEntries = nil
		f.caughtUp = false
		f.fromSnapshot = true
		f.next = page.Oldest
	}
	if f.state == nil && f.next == 0 {
		f.state = f.create()
	}
}

// handleEntry applies one entry. It returns false for a record of a newer
// version.
func (f *Follower) handleEntry(e provider.Entry, applied *[]Applied) bool {
	r, err := record.Decode(e.Data)
	if err != nil && r.Version > record.Version {
		f.newerVersion = r.Version
		return false
	}
	f.next = e.Offset + 1
	if err != nil {
		f.damaged++
		return true
	}
	if !f.caughtUp && f.fromSnapshot {
		f.replayEntries = append(f.replayEntries, e)
	}
	f.trackRecovery(e, r, applied)
	if f.isUsable(r.Snapshot) && f.restore(r.Snapshot, applied) {
		return true
	}
	if f.state != nil {
		*applied = append(*applied, Applied{e.Offset, r, f.state.Apply(e.Offset, e.Time, r)})
	}
	return true
}

// recoverySnapshot is a recovery snapshot and the entries that follow it.
type recoverySnapshot struct {
	snapshot *record.Snapshot
	offset   uint64
	at       time.Time
	entries  []provider.Entry
}

// trackRecovery tracks the first recovery snapshot until it is overruled or
// takes effect.
//
// An instance that lost the state may write a recovery snapshot while another
// one still has it, and the two would decide from different states. An instance
// that has the state writes a regular snapshot, which overrules the recovery
// snapshot if it comes within RecoveryGrace. Otherwise the first recovery
// snapshot takes effect at every reader, even if that reader has a state.
func (f *Follower) trackRecovery(e provider.Entry, r record.Record, applied *[]Applied) {
	switch {
	case f.recovery == nil && r.Snapshot != nil && r.Snapshot.Recovery:
		f.recovery = &recoverySnapshot{snapshot: r.Snapshot, offset: e.Offset, at: e.Time}
	case f.recovery == nil:
	case r.Snapshot != nil && !r.Snapshot.Recovery:
		f.recovery = nil
	case e.Time.Sub(f.recovery.at) >= RecoveryGrace:
		f.applyRecovery(applied)
	default:
		f.recovery.entries = append(f.recovery.entries, e)
	}
}

// applyRecovery replaces the state by the recovery snapshot and replays the
// entries that follow it.
func (f *Follower) applyRecovery(applied *[]Applied) {
	v := f.recovery
	f.recovery = nil
	state, err := zone.Restore(v.snapshot.State)
	if err != nil {
		f.damaged++
		return
	}
	state.SkipTo(v.offset + 1)
	f.state = state
	f.replay(v.entries, v.offset, applied)
}

// RecoveryPending reports whether a recovery snapshot was read that can still be
// overruled. Instances that have a state then write a regular snapshot; the
// others write markers, which advance the time of the stream.
func (f *Follower) RecoveryPending() bool {
	return f.recovery != nil
}

// isUsable reports whether a starting reader takes its state from a regular
// snapshot. It does so until the tail is reached, so that the newest one wins.
func (f *Follower) isUsable(s *record.Snapshot) bool {
	if s == nil || s.Recovery || !f.fromSnapshot || f.caughtUp || len(f.replayEntries) == 0 {
		return false
	}
	return s.At+1 >= f.replayEntries[0].Offset
}

// restore starts the state from a snapshot, replays the collected entries that
// follow it, and reports whether the snapshot could be decoded.
func (f *Follower) restore(s *record.Snapshot, applied *[]Applied) bool {
	state, err := zone.Restore(s.State)
	if err != nil {
		f.damaged++
		return false
	}
	f.state = state
	*applied = (*applied)[:0]
	f.replay(f.replayEntries, s.At, applied)
	return true
}

// replay applies the entries after an offset.
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

// handleTail handles a read that reached the tail.
func (f *Follower) handleTail(sentAt time.Time) {
	if f.state != nil {
		f.caughtUp = true
		f.replayEntries = nil
		f.stateBeforeGap = nil
	}
	f.noState = f.state == nil
	if sentAt.After(f.tailReadAt) {
		f.tailReadAt = sentAt
	}
}

// StateLost reports whether the tail was reached without a state to start from,
// and returns the state from before the gap if there is one. An instance that
// has one writes it as a recovery snapshot that covers the offsets up to
// Next()-1.
func (f *Follower) StateLost() (prior *zone.State, lost bool) {
	return f.stateBeforeGap, f.noState
}
