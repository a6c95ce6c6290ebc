package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/referral"
	"github.com/dogwoodladder/dogwoodladder/roster"
	"github.com/dogwoodladder/dogwoodladder/standby"
	"github.com/dogwoodladder/dogwoodladder/tail"
)

// Times of a standby.
const (
	rosterWait      = 2500 * time.Millisecond // long poll; above rosterInterval, so that a heartbeat ends it
	standbyInterval = 2500 * time.Millisecond // between two heartbeats of a standby
	maxStandbyLag   = 2 * time.Second         // of the state of a standby that sends heartbeats
)

// standbys is the part of a Dispatcher that follows the streams of all jobs only if needed:
// if it owns the cell or is one of its standbys. Without peers, it always follows them.
type standbys struct {
	d         *Dispatcher
	self      roster.Member
	peers     Peers
	router    *referral.Router
	roster    *roster.Roster
	rosterLog *tail.Tail
	following atomic.Bool
	// configuration answers other instances; nil without a source.
	configuration   ConfigurationSource
	heartbeatReadAt atomic.Int64 // time at which the owner's last heartbeat was read, on the dispatcher's clock

	queryMu sync.Mutex
	duty    *standby.Duty // guarded by queryMu

	keeper  *rosterKeeper // nil without peers
	yielder yielder

	lastHeartbeatAt  time.Duration // of this instance as a standby
	heartbeatRunning atomic.Bool
}

// WithPeers makes the dispatcher one of many: it follows the streams of all jobs only as
// owner or standby, and asks the standbys otherwise. Self is how others reach it.
func WithPeers(self roster.Member, p Peers) Option {
	return func(d *Dispatcher) {
		d.standbys.self = self
		d.standbys.peers = p
	}
}

func newStandbys(d *Dispatcher) *standbys {
	return &standbys{d: d, roster: roster.New()}
}

// init completes the construction once the options are applied.
func (s *standbys) init() {
	d := s.d
	if s.peers == nil {
		s.following.Store(true)
		return
	}
	s.router = referral.New(s.self.ID, s.self.AvailabilityZone, rand.Shuffle)
	s.duty = standby.New(s.self.ID, d.processors, standby.DefaultTiming(), rand.Float64)
	s.rosterLog = d.newTail(roster.Stream, s.applyRoster, tail.WithWait(rosterWait))
	s.keeper = newRosterKeeper(d, s.self, s.roster)
	d.accepts.Pause(true)
	d.progress.Pause(true)
}

// run follows the roster until ctx is done.
func (s *standbys) run(ctx context.Context) {
	if s.peers == nil {
		return
	}
	s.d.tomb.Go(func() error { return s.rosterLog.Run(ctx) })
	s.d.tomb.Go(func() error { return s.keeper.heartbeats.Run(ctx) })
}

func (s *standbys) applyRoster(b tail.Batch) {
	for _, r := range b.Records {
		if err := s.roster.Apply(r); err != nil {
			s.d.logger.Warn("record not understood", zap.String("stream", roster.Stream), zap.String("key", r.Key), zap.Error(err))
		}
	}
	now := s.d.clock()
	if len(b.Records) > 0 {
		s.heartbeatReadAt.Store(int64(now))
	}
	s.queryMu.Lock()
	defer s.queryMu.Unlock()
	s.duty.Observe(now, s.roster.Heartbeat(), s.roster.Names(s.self.ID))
}

// isCurrent reports whether this instance can answer for all jobs from its own state.
func (s *standbys) isCurrent() bool {
	return s.peers == nil || s.following.Load() && s.d.accepts.IsLoaded() && s.d.progress.IsLoaded()
}

// Following reports whether this instance follows the streams of all jobs, as owner or
// standby.
func (d *Dispatcher) Following() bool {
	return d.standbys.following.Load()
}

// update starts or stops to follow the streams of all jobs. An instance that stops drops
// their state, since others may delete jobs that it would keep. It runs in the control
// goroutine.
func (s *standbys) update(isNeeded bool) {
	if s.peers == nil {
		return
	}
	s.queryMu.Lock()
	s.duty.ReadFails(s.rosterLog.Failing())
	follows := s.duty.Follows(s.d.clock(), s.rosterLog.Age()) || isNeeded
	s.queryMu.Unlock()
	if follows == s.following.Load() {
		return
	}
	s.following.Store(follows)
	s.d.logger.Info("standby", zap.Bool("following", follows), zap.Bool("named", s.roster.Names(s.self.ID)))
	for _, t := range append(s.d.accepts.all(), s.d.progress) {
		if !follows {
			t.Reset()
		}
		t.Pause(!follows)
	}
	if !follows {
		s.d.catalog.RetainAccepts(nil)
		s.d.catalog.RetainAggregated(nil)
		s.d.catalog.RetainProgress(nil)
	}
}

// silentOwner returns the term of the owner that the roster names if it is silent.
func (s *standbys) silentOwner() (term uint64, silent bool) {
	if s.peers == nil {
		return 0, false
	}
	s.queryMu.Lock()
	defer s.queryMu.Unlock()
	return s.roster.Heartbeat().Term, s.duty.OwnerSilent(s.d.clock())
}

// sendHeartbeat tells the owner that this standby is current.
func (s *standbys) sendHeartbeat() {
	now := s.d.clock()
	due := s.lastHeartbeatAt + standbyInterval
	if s.peers == nil || now < due || !s.isCurrent() || !s.roster.Names(s.self.ID) || s.d.progress.Lag() > maxStandbyLag {
		return
	}
	if s.heartbeatRunning.Swap(true) {
		return
	}
	s.lastHeartbeatAt = now
	s.d.tomb.Go(func() error {
		defer s.heartbeatRunning.Store(false)
		ctx, cancel := context.WithTimeout(s.d.tomb.Context(context.Background()), rosterWriteTimeout)
		defer cancel()
		record := provider.KeyedRecord{Key: s.self.ID, Value: []byte{1}}
		if err := s.d.platform.Store.Append(ctx, standbyStream, nil, []provider.KeyedRecord{record}); err != nil {
			s.d.logger.Debug("heartbeat of a standby not written", zap.Error(err))
		}
		return nil
	})
}

// setOwning starts or ends this instance's work as owner.
func (s *standbys) setOwning(owning bool) {
	if s.peers == nil {
		return
	}
	s.keeper.setOwning(owning)
	s.yielder.yieldedAt = -yieldInterval
	s.yielder.rejected.record(nil)
}

// keepRoster writes the roster when it is due. It runs in the owner's control goroutine.
func (s *standbys) keepRoster() {
	if s.peers != nil {
		s.keeper.maintain()
	}
}

// backlogOfRoster returns the backlog in the owner's last heartbeat, nil if that is too old.
func (s *standbys) backlogOfRoster() *overload.Backlog {
	if s.d.clock()-time.Duration(s.heartbeatReadAt.Load()) > maxBacklogAge {
		return nil
	}
	return s.roster.Heartbeat().Backlog
}
