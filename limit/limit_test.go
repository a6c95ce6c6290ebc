package limit_test

import (
	"math"
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/limit"
	"github.com/matryer/is"
)

const declared = 64

// serve simulates full load for some seconds. latency returns the service time
// at a number of concurrent requests.
func serve(l *limit.Limit, now time.Time, seconds int, latency func(n int) time.Duration) time.Time {
	end := now.Add(time.Duration(seconds) * time.Second)
	for now.Before(end) {
		n := l.Value()
		d := latency(n)
		now = now.Add(d / time.Duration(n))
		l.Observe(now, n, d, true)
	}
	return now
}

func steady(int) time.Duration { return 20 * time.Millisecond }

// congested returns a latency that grows with the square of the concurrent
// requests beyond 32.
func congested(n int) time.Duration {
	overload := math.Max(1, float64(n)/32)
	return time.Duration(overload * overload * float64(20*time.Millisecond))
}

// Guards against a bound that stays too high because the latency without
// congestion was never measured: servers that declare 64 slots and slow down
// beyond 32 are at full load from the start.
func TestShrinksUnderCongestion(t *testing.T) {
	is := is.New(t)
	l := limit.New(limit.WithMax(declared))
	serve(l, time.Unix(0, 0), 20, congested)
	is.True(l.Value() <= 40)
	is.True(l.Value() >= 24)
}

// Guards against taking a higher latency alone for congestion, and against a
// bound that doesn't grow again: the service itself becomes five times slower
// under full load, then the servers are congested for a while and recover.
func TestReturnsToDeclared(t *testing.T) {
	is := is.New(t)
	l := limit.New(limit.WithMax(declared))
	now := serve(l, time.Unix(0, 0), 5, steady)
	now = serve(l, now, 30, func(int) time.Duration { return 100 * time.Millisecond })
	is.True(l.Value() >= declared*3/4) // allows for a trial in progress

	now = serve(l, now, 30, congested)
	is.True(l.Value() < declared*3/4)
	serve(l, now, 30, steady)
	is.True(l.Value() >= declared*3/4)
}

// Guards against a bound that shrinks with timeouts, lacks a minimum or doesn't
// follow the slots: all requests time out for ten seconds; the latency grows so
// fast with concurrency that a single request would be optimal; workers are lost
// and return.
func TestBoundFollowsSlots(t *testing.T) {
	is := is.New(t)
	l := limit.New(limit.WithMax(declared))
	now := time.Unix(0, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		l.Observe(now, l.Value(), time.Second, false)
	}
	is.True(l.Value() >= declared*3/4)

	serve(l, now, 60, func(n int) time.Duration { return time.Duration(n*n) * time.Millisecond / 10 })
	is.Equal(l.Value(), declared/8)

	l = limit.New(limit.WithMax(declared))
	l.SetMax(declared / 2)
	is.Equal(l.Value(), declared/2)
	l.SetMax(0)
	is.Equal(l.Value(), 1)
	l.SetMax(declared)
	is.Equal(l.Value(), declared)
}

// Guards against congestion collapse on a narrow link, where requests wait
// longer than their timeout and are sent again: full load on a link of 200
// requests a second, whose rate then grows tenfold, twice.
func TestAimKeepsTheQueueShort(t *testing.T) {
	const aim = 80 * time.Millisecond
	is := is.New(t)
	l := limit.New(limit.WithTargetLatency(aim), limit.WithMax(256), limit.WithMin(8), limit.WithInitial(256), limit.WithSamples(8))
	linkLatency := func(perSecond int) func(int) time.Duration {
		return func(n int) time.Duration {
			return max(4*time.Millisecond, time.Duration(n)*time.Second/time.Duration(perSecond))
		}
	}
	now := serve(l, time.Unix(0, 0), 5, linkLatency(200))
	is.True(linkLatency(200)(l.Value()) < 2*aim)
	is.True(l.Value() >= 8) // 40 ms of requests keep the link busy
	now = serve(l, now, 5, linkLatency(2000))
	is.True(linkLatency(2000)(l.Value()) < 2*aim)
	is.True(l.Value() > 60)
	serve(l, now, 5, linkLatency(20_000))
	is.Equal(l.Value(), 256)
}

// Guards against an owner of hundreds of workers that starts next to nothing
// while a fifth of them is unreachable: one of five requests gets no response
// for 0.9 s, which must not be taken for congestion of the link.
func TestAimIsNotMovedByAFewSilentServers(t *testing.T) {
	is := is.New(t)
	l := limit.New(limit.WithTargetLatency(80*time.Millisecond), limit.WithMax(256), limit.WithMin(8), limit.WithInitial(64), limit.WithSamples(8))
	now := time.Unix(0, 0)
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		latency := 5 * time.Millisecond
		if i%5 == 0 {
			latency = 900 * time.Millisecond
		}
		l.Observe(now, l.Value(), latency, i%5 != 0)
	}
	is.True(l.Value() >= 64)
}
