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

func (s *source) Ask(ctx context.Context) (distribution.Answer, error) {
	select {
	case <-time.After(s.took):
	case <-ctx.Done():
	}
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
