package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/inquiry"
	"github.com/dogwoodladder/dogwoodladder/roster"
)

// Bounds of queries to standbys.
const (
	peerTimeout    = 400 * time.Millisecond
	maxRemoteAge   = time.Second // a standby with older state is asked last
	queryRetryTime = time.Second // Retry-After if no standby answers
)

// Peers asks other instances.
type Peers interface {
	Ask(ctx context.Context, to roster.Member, q inquiry.Question) (inquiry.Answer, error)
}

// ask asks the standbys until one answers from recent state. A final state never changes, so
// that its age doesn't matter. Otherwise an answer from older state is returned only if no
// other standby gives a better one.
func (s *standbys) ask(ctx context.Context, q inquiry.Question) (inquiry.Answer, error) {
	var older *inquiry.Answer
	var last error
	for _, m := range s.router.Order(s.d.clock(), s.roster.Members(), s.roster.Heartbeat().Owner) {
		peerCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		a, err := s.peers.Ask(peerCtx, m, q)
		cancel()
		if err != nil {
			last = err
			s.router.Failed(s.d.clock(), m.ID)
			s.d.logger.Debug("standby doesn't answer", zap.String("standby", m.ID), zap.Error(err))
			continue
		}
		if a.State.Final() || time.Duration(a.Age)*time.Millisecond <= maxRemoteAge {
			s.recordQuery(true)
			return a, nil
		}
		if a.Known || q.Job == "" {
			older = &a
		}
	}
	if older != nil {
		s.recordQuery(true)
		return *older, nil
	}
	s.recordQuery(false)
	return inquiry.Answer{}, fault.Wrap(fault.Unavailable, last, "no standby answers").After(queryRetryTime)
}

func (s *standbys) recordQuery(answered bool) {
	s.queryMu.Lock()
	defer s.queryMu.Unlock()
	if answered {
		s.duty.QueryAnswered()
	} else {
		s.duty.QueryFailed(s.d.clock())
	}
}

// ConfigurationSource returns the newest configuration above a version, and the time since it
// was read from the store. It waits up to wait for one and returns none after that.
type ConfigurationSource func(ctx context.Context, version uint64, wait time.Duration) (data []byte, age time.Duration)

// WithConfigurationSource sets what a standby answers other instances that ask for the
// configuration.
func WithConfigurationSource(f ConfigurationSource) Option {
	return func(d *Dispatcher) { d.standbys.configuration = f }
}

// AskConfiguration asks a standby for a configuration above a version, and waits up to wait
// for one. It returns no data without one.
func (d *Dispatcher) AskConfiguration(ctx context.Context, version uint64, wait time.Duration) (data []byte, age time.Duration, err error) {
	s := d.standbys
	order := s.router.Order(d.clock(), s.roster.Members(), s.roster.Heartbeat().Owner)
	if len(order) == 0 {
		return nil, 0, fault.New(fault.Unavailable, "no standby is known")
	}
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	a, err := s.peers.Ask(ctx, order[0], inquiry.Question{Configuration: true, Version: version, Wait: wait.Milliseconds()})
	if err != nil {
		s.router.Failed(d.clock(), order[0].ID)
		return nil, 0, err
	}
	return a.Data, time.Duration(a.Age) * time.Millisecond, nil
}

// maxConfigurationWait bounds the wait of an instance that asks for a configuration.
const maxConfigurationWait = 5 * time.Second

func (s *standbys) respondConfiguration(ctx context.Context, q inquiry.Question) (inquiry.Answer, error) {
	if s.configuration == nil {
		return inquiry.Answer{}, fault.New(fault.Unavailable, "no configuration here")
	}
	wait := min(maxConfigurationWait, time.Duration(q.Wait)*time.Millisecond)
	data, age := s.configuration(ctx, q.Version, wait)
	return inquiry.Answer{Data: data, Age: age.Milliseconds()}, nil
}

// Respond answers a question of another instance.
func (d *Dispatcher) Respond(ctx context.Context, q inquiry.Question) (inquiry.Answer, error) {
	if !d.standbys.isCurrent() {
		return inquiry.Answer{}, fault.New(fault.Unavailable, "not a standby")
	}
	if q.Configuration {
		return d.standbys.respondConfiguration(ctx, q)
	}
	if q.YieldedTerm != 0 {
		replace(d.yields, q.YieldedTerm)
		return inquiry.Answer{}, nil
	}
	if q.Job == "" {
		return inquiry.Answer{Pending: d.catalog.Pending(q.Queue), Age: d.stateAge()}, nil
	}
	return d.lookUpLocally(ctx, q.Job)
}

// stateAge returns the age of the state of all jobs in milliseconds. The owner's state is its
// own.
func (d *Dispatcher) stateAge() int64 {
	if d.Owning() {
		return 0
	}
	return d.progress.Lag().Milliseconds()
}
