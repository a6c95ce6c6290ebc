package pacing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodladder/dogwoodladder/pacing"
)

func half() float64 { return 0.5 }

func TestTimeoutsShrinkAndLengthenReads(t *testing.T) {
	is := is.New(t)
	p := pacing.New(half)
	is.Equal(p.Limit(), pacing.Limit{Bytes: pacing.MaxBytes, Timeout: pacing.MinTimeout})
	last := p.Limit()
	for range 10 {
		p.Failed(pacing.TimedOut)
		is.True(p.Limit().Bytes < last.Bytes || last.Bytes == pacing.MinBytes)
		is.True(p.Limit().Timeout > last.Timeout || last.Timeout == pacing.MaxTimeout)
		last = p.Limit()
	}
	is.Equal(last, pacing.Limit{Bytes: pacing.MinBytes, Timeout: pacing.MaxTimeout})
	for range 20 {
		p.Succeeded(time.Millisecond)
	}
	is.Equal(p.Limit(), pacing.Limit{Bytes: pacing.MaxBytes, Timeout: pacing.MinTimeout})
}

// Guards against reads that grow until they time out.
func TestSlowAnswersShrinkReads(t *testing.T) {
	is := is.New(t)
	p := pacing.New(half)
	p.Succeeded(600 * time.Millisecond)
	is.Equal(p.Limit(), pacing.Limit{Bytes: pacing.MaxBytes / 2, Timeout: pacing.MinTimeout})
	p.Succeeded(250 * time.Millisecond) // a slow store takes as long for little
	is.True(p.Limit().Bytes > pacing.MaxBytes/2)
}

// Guards against an instance that is cut off from the store and still waits for a lost
// answer seconds after it could reach the store again.
func TestRejectionsDoNotLengthenReads(t *testing.T) {
	is := is.New(t)
	p := pacing.New(half)
	for range 20 {
		is.True(p.Failed(pacing.Rejected) <= 400*time.Millisecond)
	}
	is.Equal(p.Limit(), pacing.Limit{Bytes: pacing.MinBytes, Timeout: pacing.MinTimeout})
	for range 4 {
		p.Succeeded(time.Millisecond)
	}
	is.Equal(p.Limit().Bytes, pacing.MaxBytes)
}

// Guards against readers that retry at full rate after every single answer of a congested
// store.
func TestDelaysComeDownSlowly(t *testing.T) {
	is := is.New(t)
	p := pacing.New(half)
	first := p.Failed(pacing.TimedOut)
	for range 5 {
		p.Failed(pacing.TimedOut)
	}
	p.Succeeded(time.Millisecond)
	is.True(p.Failed(pacing.TimedOut) > 4*first)
	for range 10 {
		p.Succeeded(time.Millisecond)
	}
	is.Equal(p.Failed(pacing.TimedOut), first)
}

func TestDelaysAreSpread(t *testing.T) {
	tests := []struct {
		random float64
		delay  time.Duration
	}{
		{0, 50 * time.Millisecond},
		{0.5, 75 * time.Millisecond},
		{1, 100 * time.Millisecond},
	}
	for _, tt := range tests {
		is := is.New(t)
		p := pacing.New(func() float64 { return tt.random })
		is.Equal(p.Failed(pacing.TimedOut), tt.delay)
	}
}

// Guards against a reader that notices the store's return later than its bound.
func TestReadAndDelayKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.Int64Range(int64(300*time.Millisecond), int64(10*time.Second)).Draw(t, "bound"))
		random := rapid.Float64Range(0, 1)
		p := pacing.New(func() float64 { return random.Draw(t, "random") }, pacing.WithReturnBound(bound))
		for range rapid.IntRange(1, 40).Draw(t, "reads") {
			limit, wait := p.Limit(), p.MaxWait()
			if limit.Timeout <= 0 || wait < 0 || p.LongestTimeout() > bound {
				t.Fatalf("timeout %v, wait %v, longest timeout %v", limit.Timeout, wait, p.LongestTimeout())
			}
			switch rapid.IntRange(0, 2).Draw(t, "outcome") {
			case 0:
				p.Succeeded(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took")))
			case 1:
				if delay := p.Failed(pacing.Rejected); limit.Timeout+delay > bound {
					t.Fatalf("timeout %v and delay %v exceed %v", limit.Timeout, delay, bound)
				}
			case 2:
				if delay := p.Failed(pacing.TimedOut); wait+limit.Timeout+delay > bound {
					t.Fatalf("wait %v, timeout %v and delay %v exceed %v", wait, limit.Timeout, delay, bound)
				}
			}
		}
	})
}
