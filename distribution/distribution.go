// Package distribution passes the configuration from standbys on to all other instances, so
// that the store transmits each version a few times, whatever the number of instances.
//
// Usage:
//
//	f := distribution.New(source, distribution.WithMaxAge(1500*time.Millisecond))
//	go f.Run(ctx)
//
// A Follower asks standbys for a newer version and waits for the answer. If two of them in
// turn don't answer, or know only of an older state, it follows the store directly until one
// does. An instance that is a standby itself always follows the store.
package distribution

import (
	"context"
	"time"
)

const (
	// defaultMaxAge is the age of a standby's last read from which its answer counts as a
	// failure.
	defaultMaxAge = 3 * time.Second
	// maxFailures is the number of failures in turn after which the store is followed.
	maxFailures = 2
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
	// Ask asks a standby for a version newer than the one in force, and returns after some
	// time without one.
	Ask(ctx context.Context) (Answer, error)
	// Apply puts a version into force.
	Apply(data []byte)
	// FollowStore starts or stops to follow the store.
	FollowStore(follow bool)
}

// Follower keeps one instance's configuration up to date.
type Follower struct {
	source   Source
	maxAge   time.Duration
	failures int
}

// Option changes a Follower.
type Option func(*Follower)

// WithMaxAge sets the age of a standby's last read from which its answer counts as a failure.
func WithMaxAge(d time.Duration) Option {
	return func(f *Follower) { f.maxAge = d }
}

// New returns a Follower. The store is followed until a standby has answered.
func New(s Source, opts ...Option) *Follower {
	f := &Follower{source: s, maxAge: defaultMaxAge}
	for _, opt := range opts {
		opt(f)
	}
	return f
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
			sleep(ctx, retryInterval)
		}
	}
	return nil
}

// askOnce asks one standby and reports whether its answer was of use.
func (f *Follower) askOnce(ctx context.Context) bool {
	answer, err := f.source.Ask(ctx)
	if err == nil && len(answer.Data) > 0 {
		f.source.Apply(answer.Data) // versions only grow, so that its age doesn't matter
	}
	if err != nil || answer.Age > f.maxAge {
		f.failures++
		if f.failures >= maxFailures {
			f.source.FollowStore(true)
		}
		return false
	}
	f.failures = 0
	f.source.FollowStore(false)
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
