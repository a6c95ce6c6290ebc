package dispatcher

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/inquiry"
)

// rejectedWrites tells how long the store has rejected the owner's writes.
type rejectedWrites struct {
	mu    sync.Mutex
	since time.Time // zero without a rejection since the last write that succeeded
}

// record records the outcome of a write. One without an answer tells nothing.
func (r *rejectedWrites) record(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.since = time.Time{}
	case r.since.IsZero() && (fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Overloaded)):
		r.since = time.Now()
	}
}

// duration returns the time since the first rejection.
func (r *rejectedWrites) duration() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() {
		return 0
	}
	return time.Since(r.since)
}

const (
	// yieldAfter is the time of rejected writes after which the owner yields. Shorter
	// rejections are those of a store that is asked for too much at once.
	yieldAfter = 400 * time.Millisecond
	// yieldInterval is the time between two attempts to yield.
	yieldInterval = time.Second
)

// yielder gives the cell up to a standby when the store rejects this owner's writes.
type yielder struct {
	rejected  rejectedWrites
	yieldedAt time.Duration
}

// yieldIfRejected tells the standbys that the store rejects this owner's writes. One that the
// store still serves claims the cell at once, instead of after the heartbeat timeout.
func (s *standbys) yieldIfRejected() {
	now := s.d.clock()
	rejected := s.yielder.rejected.duration()
	if s.peers == nil || rejected < yieldAfter || now-s.yielder.yieldedAt < yieldInterval {
		return
	}
	s.yielder.yieldedAt = now
	s.d.logger.Info("yield", zap.Uint64("term", s.d.term), zap.Duration("rejected", rejected))
	for _, m := range s.keeper.members {
		if m.ID == s.self.ID {
			continue
		}
		term := s.d.term
		s.d.tomb.Go(func() error {
			ctx, cancel := context.WithTimeout(s.d.tomb.Context(context.Background()), peerTimeout)
			defer cancel()
			if _, err := s.peers.Ask(ctx, m, inquiry.Question{YieldedTerm: term}); err != nil {
				s.d.logger.Debug("standby doesn't answer", zap.String("standby", m.ID), zap.Error(err))
			}
			return nil
		})
	}
}
