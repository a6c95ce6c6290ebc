// Package distribution passes the configuration from standbys on to all other instances, so
// that the store transmits each version a few times, whatever the number of instances.
//
// Usage:
//
//	f := distribution.New(source, distribution.WithBound(5*time.Second))
//	go f.Run(ctx)
//
// A Follower asks standbys for a newer version and waits for the answer. It knows up to which
// time there was none, by the answers and the age of what they are based on. While that time is
// recent, the standbys are enough. Otherwise, whether they are silent, cut off from the store
// or not known, the store is followed directly until one of them answers from a recent state.
// An instance that is a standby itself always follows the store.
package distribution

import (
	"context"
	"time"
)

const (
	// defaultBound is the time within which a version has to be in force.
	defaultBound = 4 * time.Second
	// ageShare is the share of the bound for which an instance relies on the last answer of
	// a standby. The rest is for reading the store.
	ageShare = 3.0 / 4
	// waitShare is the share of the maximum age for which a question waits for a newer
	// version. A standby's state is also as old as the wait of its own reads.
	waitShare = 1.0 / 3
	// retryInterval is the time between two questions that fail at once.
	retryInterval = 200 * time.Millisecond
)

// Answer is a standby's answer.
type Answer struct {
	Data []byte        // the newest version, empty if it isn't newer than the one in force
	Age  time.Duration // since the standby's last read of the store
}

// Source connects a Follower to the standbys and the store.
type Source interface {
	// IsStandby reports whether this instance is a standby.
	IsStandby() bool
	// Ask asks a standby for a version newer than the one in force, and returns after wait
	// without one.
	Ask(ctx context.Context, wait time.Duration) (Answer, error)
	// Apply puts a version into force.
	Apply(data []byte)
	// FollowStore starts or stops to follow the store.
	FollowStore(follow bool)
}

// Follower keeps one instance's configuration up to date.
type Follower struct {
	source   Source
	bound    time.Duration
	clock    func() time.Duration
	asOf     time.Duration // every version written before it is in force, according to a standby
	answered bool          // whether a standby has answered
}

// Option changes a Follower.
type Option func(*Follower)

// WithBound sets the time within which a version has to be in force.
func WithBound(d time.Duration) Option {
	return func(f *Follower) { f.bound = d }
}

// WithClock sets the clock by which answers age. It must keep running while the machine is
// suspended.
func WithClock(clock func() time.Duration) Option {
	return func(f *Follower) { f.clock = clock }
}

// New returns a Follower. The store is followed until a standby has answered.
func New(s Source, opts ...Option) *Follower {
	start := time.Now()
	f := &Follower{source: s, bound: defaultBound, clock: func() time.Duration { return time.Since(start) }}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// maxAge is the age of the last answer's state up to which the standbys are enough.
func (f *Follower) maxAge() time.Duration {
	return time.Duration(ageShare * float64(f.bound))
}

// wait is how long a question waits for a newer version.
func (f *Follower) wait() time.Duration {
	return time.Duration(waitShare * float64(f.maxAge()))
}

// Run follows the configuration until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.source.IsStandby() {
			f.source.FollowStore(true)
			sleep(ctx, retryInterval)
			continue
		}
		if !f.askOnce(ctx) {
			sleep(ctx, f.retryDelay())
		}
	}
	return nil
}

// retryDelay returns the time until the next question, or until the store has to be followed if
// that is earlier.
func (f *Follower) retryDelay() time.Duration {
	if remaining := f.remaining(); remaining > 0 {
		return min(retryInterval, remaining)
	}
	return retryInterval
}

// askOnce asks one standby and reports whether its answer was of use.
func (f *Follower) askOnce(ctx context.Context) bool {
	f.chooseSource()
	defer f.chooseSource()
	if remaining := f.remaining(); remaining > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, remaining) // the store has to be followed from then on
		defer cancel()
	}
	answer, err := f.source.Ask(ctx, f.wait())
	if err != nil {
		return false
	}
	if len(answer.Data) > 0 {
		f.source.Apply(answer.Data) // versions only grow, so that its age doesn't matter
	}
	if answer.Age+f.wait() > f.maxAge() {
		return false
	}
	f.asOf = max(f.asOf, f.clock()-answer.Age)
	f.answered = true
	return true
}

// chooseSource follows the store unless the last answer of a standby is enough.
func (f *Follower) chooseSource() {
	f.source.FollowStore(f.remaining() <= 0)
}

// remaining returns how long the last answer is still enough, zero or less if it isn't.
func (f *Follower) remaining() time.Duration {
	if !f.answered {
		return 0
	}
	return f.asOf + f.maxAge() - f.clock()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
