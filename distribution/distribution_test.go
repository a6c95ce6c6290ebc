package distribution_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/distribution"
)

// source is a standby that answers in a given way.
type source struct {
	isStandby bool
	answer    distribution.Answer
	err       error
	took      time.Duration

	applied   string
	follows   bool
	followsAt time.Time
}

func (s *source) IsStandby() bool { return s.isStandby }

func (s *source) Ask(ctx context.Context, _ time.Duration) (distribution.Answer, error) {
	sleep(ctx, s.took)
	return s.answer, s.err
}

func (s *source) Apply(data []byte) { s.applied = string(data) }

func (s *source) FollowStore(follow bool) {
	if follow && !s.follows {
		s.followsAt = time.Now()
	}
	s.follows = follow
}

// Guards against a configuration that reaches an instance late, or never, because its
// standbys are lost or cut off from the store.
func TestStoreIsFollowedWithoutStandbys(t *testing.T) {
	silent := errors.New("no answer")
	tests := []struct {
		name    string
		source  source
		follows bool
		within  time.Duration
	}{
		{"a standby answers", source{took: time.Second}, false, 0},
		{"no standby answers", source{took: 1900 * time.Millisecond, err: silent}, true, 5 * time.Second},
		{"no standby is known", source{err: silent}, true, time.Second},
		{"standbys are cut off from the store", source{took: time.Second, answer: distribution.Answer{Age: 4 * time.Second}}, true, 5 * time.Second},
		{"it is a standby", source{isStandby: true}, true, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := tt.source
				ctx, cancel := context.WithCancel(t.Context())
				start := time.Now()
				go func() { _ = distribution.New(&s).Run(ctx) }()
				time.Sleep(20 * time.Second)
				synctest.Wait()
				is.Equal(s.follows, tt.follows)
				if tt.follows {
					is.True(s.followsAt.Sub(start) <= tt.within)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

func TestAnswersAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := source{took: time.Second, answer: distribution.Answer{Data: []byte("v2"), Age: time.Minute}}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = distribution.New(&s).Run(ctx) }()
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		is.Equal(s.applied, "v2") // also from a standby that is behind
		cancel()
		synctest.Wait()
	})
}

// lostStandbys answer until they are lost, and then not at all or with what they last read.
type lostStandbys struct {
	start     time.Time
	lostAfter time.Duration
	silent    bool          // whether lost standbys don't answer
	timeout   time.Duration // of a question, beyond the wait
	followsAt time.Duration
	follows   bool
}

func (s *lostStandbys) IsStandby() bool { return false }

func (s *lostStandbys) Ask(ctx context.Context, wait time.Duration) (distribution.Answer, error) {
	lost := time.Since(s.start) >= s.lostAfter
	if lost && s.silent {
		sleep(ctx, wait+s.timeout)
		return distribution.Answer{}, errors.New("no answer")
	}
	sleep(ctx, wait)
	age := max(0, time.Since(s.start)-s.lostAfter)
	return distribution.Answer{Age: age}, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (s *lostStandbys) Apply([]byte) {}

func (s *lostStandbys) FollowStore(follow bool) {
	if follow && !s.follows {
		s.followsAt = time.Since(s.start)
	}
	s.follows = follow
}

// Guards against a configuration that is late because lost standbys are waited for in turn.
func TestStoreIsFollowedInTime(t *testing.T) {
	const bound = 4 * time.Second // for a configuration to be in force
	const readTime = time.Second  // to read it from the store, if the first read is lost
	for _, silent := range []bool{true, false} {
		for lostAfter := 3 * time.Second; lostAfter < 5*time.Second; lostAfter += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				s := &lostStandbys{start: time.Now(), lostAfter: lostAfter, silent: silent, timeout: 400 * time.Millisecond}
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = distribution.New(s, distribution.WithBound(bound)).Run(ctx) }()
				time.Sleep(20 * time.Second)
				synctest.Wait()
				if followed := s.followsAt - lostAfter; !s.follows || followed < 0 || followed+readTime > bound {
					t.Errorf("standbys lost after %v (silent: %v): store followed %v later", lostAfter, silent, followed)
				}
				cancel()
				synctest.Wait()
			})
			if t.Failed() {
				return
			}
		}
	}
}
