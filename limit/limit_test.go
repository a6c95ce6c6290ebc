package limit_test

import (
	"math"
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/limit"
	"github.com/matryer/is"
)

const declared = 64

// serve drives l for some seconds at full load: latency tells the time of
// service at a number of requests at once.
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

// crowded slows down with the square of requests beyond 32 at once.
func crowded(n int) time.Duration {
	crowd := math.Max(1, float64(n)/32)
	return time.Duration(crowd * crowd * float64(20*time.Millisecond))
}

// Symptom: throughput far below what the servers can do, at a high latency.
// Sequence: full load from the start on servers that declare 64 slots and
// slow down beyond 32.
// Cause: nothing shows the latency without congestion, so the bound stays.
func TestShrinksWhereServersCrowd(t *testing.T) {
	is := is.New(t)
	l := limit.New(limit.WithMax(declared))
	serve(l, time.Unix(0, 0), 20, crowded)
	is.True(l.Value() <= 40)
	is.True(l.Value() >= 24)
}

// Symptom: requests are refused with idle workers.
// Sequence: the service becomes five times slower by itself under full load;
// then servers crowd for a while and recover.
// Cause: a higher latency alone is taken for congestion, or a low bound isn't
// tried upward again.
func TestReturnsToDeclared(t *testing.T) {
	is := is.New(t)
	l := limit.New(limit.WithMax(declared))
	now := serve(l, time.Unix(0, 0), 5, steady)
	now = serve(l, now, 30, func(int) time.Duration { return 100 * time.Millisecond })
	is.True(l.Value() >= declared*3/4) // at most a trial is under way

	now = serve(l, now, 30, crowded)
	is.True(l.Value() < declared*3/4)
	serve(l, now, 30, steady)
	is.True(l.Value() >= declared*3/4)
}

// Symptom: after an outage the service stays throttled, or nothing is let
// through.
// Sequence: all requests time out for ten seconds; latency rises so much with
// each request that one alone would serve most; workers go and come back.
// Cause: timeouts shrink the bound, it has no floor, or it doesn't follow the
// slots.
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

// Symptom: nearly every request on a narrow link times out, and is sent again.
// Sequence: full load on a link that passes 200 requests a second; then it
// passes ten times as many.
// Cause: so many are sent at once that they wait longer on the link than their
// senders do.
func TestAimKeepsTheQueueShort(t *testing.T) {
	const aim = 80 * time.Millisecond
	is := is.New(t)
	l := limit.New(limit.WithAim(aim), limit.WithMax(256), limit.WithMin(8), limit.WithStart(256), limit.WithSamples(8))
	queued := func(perSecond int) func(int) time.Duration {
		return func(n int) time.Duration {
			return max(4*time.Millisecond, time.Duration(n)*time.Second/time.Duration(perSecond))
		}
	}
	now := serve(l, time.Unix(0, 0), 5, queued(200))
	is.True(queued(200)(l.Value()) < 2*aim)
	is.True(l.Value() >= 8) // 40 ms of the link: it doesn't run empty
	now = serve(l, now, 5, queued(2000))
	is.True(queued(2000)(l.Value()) < 2*aim)
	is.True(l.Value() > 60)
	serve(l, now, 5, queued(20_000))
	is.Equal(l.Value(), 256)
}

// Symptom: an owner of hundreds of workers starts next to nothing while a
// fifth of them is cut off.
// Sequence: of five requests one has no answer for 0.9 s.
// Cause: the workers' silence is taken for that of the link.
func TestAimIsNotMovedByAFewSilentServers(t *testing.T) {
	is := is.New(t)
	l := limit.New(limit.WithAim(80*time.Millisecond), limit.WithMax(256), limit.WithMin(8), limit.WithStart(64), limit.WithSamples(8))
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
