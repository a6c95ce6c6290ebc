package dispatcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/roster"
	"github.com/dogwoodladder/dogwoodladder/selection"
	"github.com/dogwoodladder/dogwoodladder/tail"
)

// standbyStream is the keyed stream of the standbys' heartbeats, keyed by instance. Only the
// owner reads it.
const standbyStream = "standbys"

// Times of the roster.
const (
	rosterInterval          = 2 * time.Second        // between two heartbeats of the owner
	changedRosterInterval   = 500 * time.Millisecond // between two records of a roster that changes
	standbyHeartbeatSpacing = 2 * time.Second        // between two reads of the standbys' heartbeats
	maxHeartbeatAge         = 4 * time.Second        // age of these reads from which no standbys are selected
	rosterWriteTimeout      = 1200 * time.Millisecond
)

// rosterWrite is a write of the roster. It is repeated unchanged until it is answered.
type rosterWrite struct {
	writer  provider.Writer
	records []provider.KeyedRecord
	outcome chan error // of the attempt in flight; nil between two attempts
	retryAt time.Duration
}

// rosterKeeper selects the standbys and writes the roster while this instance owns the cell.
// But for SetCandidates and the tail, the control goroutine alone uses it.
type rosterKeeper struct {
	d          *Dispatcher
	self       roster.Member
	roster     *roster.Roster // as read from the store
	heartbeats *tail.Tail
	candidates atomic.Pointer[[]selection.Candidate]

	heardMu sync.Mutex
	heard   []string // standbys whose heartbeats were read since the last selection

	selector     *selection.Selector // nil while another instance owns the cell
	members      []roster.Member     // of the last record
	isDeaf       bool                // whether no heartbeats could be read for a time since the last selection
	backlogKnown bool                // whether the last record had a backlog
	write        *rosterWrite        // in flight or to be retried; nil otherwise
	sequence     uint64
	count        uint64
	lastWriteAt  time.Duration
}

func newRosterKeeper(d *Dispatcher, self roster.Member, r *roster.Roster) *rosterKeeper {
	k := &rosterKeeper{d: d, self: self, roster: r}
	k.heartbeats = d.newTail(standbyStream, k.applyHeartbeat, tail.WithSpacing(standbyHeartbeatSpacing), tail.WithPause())
	return k
}

func (k *rosterKeeper) applyHeartbeat(b tail.Batch) {
	if b.IsComplete {
		return // these may be old
	}
	k.heardMu.Lock()
	defer k.heardMu.Unlock()
	for _, r := range b.Records {
		k.heard = append(k.heard, r.Key)
	}
}

// takeHeard returns the standbys whose heartbeats were read since the last call.
func (k *rosterKeeper) takeHeard() []string {
	k.heardMu.Lock()
	defer k.heardMu.Unlock()
	heard := k.heard
	k.heard = nil
	return heard
}

// SetCandidates sets the instances of which the owner selects standbys.
func (d *Dispatcher) SetCandidates(candidates []selection.Candidate) {
	if k := d.standbys.keeper; k != nil {
		k.candidates.Store(&candidates)
	}
}

// setOwning prepares the selection of standbys by a new owner, or ends that of one that lost
// the cell.
func (k *rosterKeeper) setOwning(owning bool) {
	k.heartbeats.Pause(!owning)
	k.write = nil
	if !owning {
		k.selector = nil
		return
	}
	k.heartbeats.Reset() // heartbeats from before would count as new
	k.takeHeard()
	k.selector = selection.New()
	k.selector.Adopt(k.d.clock(), k.roster.Members())
	k.members = k.roster.Members()
	k.sequence = rand.Uint64N(sequenceRange)
	k.count = 0
	k.lastWriteAt = -time.Hour
}

// maintain writes the roster when it is due. It runs in the owner's control goroutine.
func (k *rosterKeeper) maintain() {
	if k.selector == nil {
		return
	}
	now := k.d.clock()
	k.isDeaf = k.isDeaf || k.heartbeats.Age() > maxHeartbeatAge
	if k.write != nil {
		k.continueWrite(now)
		return
	}
	if now-k.lastWriteAt < changedRosterInterval {
		return
	}
	members := k.selectMembers(now)
	backlog := k.d.catalog.Backlog()
	changed := !slices.Equal(members, k.members)
	if !changed && k.count > 0 && backlog == nil && !k.backlogKnown && now-k.lastWriteAt < rosterInterval {
		return
	}
	k.begin(now, members, changed, backlog)
}

// selectMembers returns the standbys. While the store doesn't answer, silence tells nothing
// of them.
func (k *rosterKeeper) selectMembers(now time.Duration) []roster.Member {
	for _, id := range k.takeHeard() {
		k.selector.Heard(now, id)
	}
	k.selector.Heard(now, k.self.ID)
	candidates := k.candidates.Load()
	if candidates == nil || k.heartbeats.Age() > maxHeartbeatAge {
		return k.members
	}
	if k.isDeaf {
		k.isDeaf = false
		k.selector.Adopt(now, k.members)
	}
	return withMember(k.selector.Select(now, *candidates), k.self)
}

// withMember returns the members with another one, unless it is among them. The owner is
// always a member: while all standbys are lost, only it can answer.
func withMember(members []roster.Member, m roster.Member) []roster.Member {
	if slices.ContainsFunc(members, func(other roster.Member) bool { return other.ID == m.ID }) {
		return members
	}
	return append(members, m)
}

func (k *rosterKeeper) begin(now time.Duration, members []roster.Member, changed bool, backlog *overload.Backlog) {
	k.count++
	heartbeat, err := roster.HeartbeatRecord(roster.Heartbeat{Term: k.d.term, Count: k.count, Owner: k.self.ID, Backlog: backlog})
	if err != nil {
		k.d.logger.Error("heartbeat not encoded", zap.Error(err))
		return
	}
	records := []provider.KeyedRecord{heartbeat}
	if changed {
		r, err := roster.MembersRecord(k.d.term, members)
		if err != nil {
			k.d.logger.Error("list of standbys not encoded", zap.Error(err))
			return
		}
		records = append(records, r)
		k.d.logger.Info("standbys", zap.Int("selected", len(members)), zap.Int("before", len(k.members)))
	}
	k.members = members
	k.backlogKnown = backlog != nil
	k.lastWriteAt = now
	k.write = &rosterWrite{writer: provider.Writer{Name: writerName, Term: k.d.term, Sequence: k.sequence}, records: records}
	k.sequence++
	k.send()
}

func (k *rosterKeeper) send() {
	w := k.write
	outcome := make(chan error, 1)
	w.outcome = outcome
	k.d.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(k.d.tomb.Context(context.Background()), rosterWriteTimeout)
		defer cancel()
		outcome <- k.d.platform.Store.Append(ctx, roster.Stream, &w.writer, w.records)
		return nil
	})
}

// continueWrite handles the outcome of the write in flight or repeats it. A roster that a
// later owner has fenced isn't written again: the cell learns of that owner by its own
// writes.
func (k *rosterKeeper) continueWrite(now time.Duration) {
	w := k.write
	if w.outcome == nil {
		if now >= w.retryAt {
			k.send()
		}
		return
	}
	select {
	case err := <-w.outcome:
		w.outcome = nil
		w.retryAt = now + k.d.timing.SaveRetryInterval
		if err == nil || fault.Is(err, fault.StaleEpoch) || fault.Is(err, fault.Conflict) {
			k.write = nil
			return
		}
		k.d.logger.Debug("roster not written", zap.Error(err))
	default:
	}
}
