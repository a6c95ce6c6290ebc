package standby_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/roster"
	"github.com/dogwoodladder/dogwoodladder/standby"
)

const step = 10 * time.Millisecond

// followTime returns the first time at which a Duty follows, from from on. The last read of
// the roster is at lastRead at the latest.
func followTime(d *standby.Duty, from, until, lastRead time.Duration) (time.Duration, bool) {
	for now := from; now < until; now += step {
		if d.Follows(now, max(0, now-lastRead)) {
			return now, true
		}
	}
	return 0, false
}

func TestFollows(t *testing.T) {
	timing := standby.DefaultTiming()
	heartbeat := roster.Heartbeat{Term: 4096, Count: 1, Owner: "e1"}
	tests := []struct {
		name     string
		observe  func(d *standby.Duty)
		lastRead time.Duration
		earliest time.Duration // zero for never within a minute
		latest   time.Duration
	}{
		{"before the roster is read", func(*standby.Duty) {}, time.Minute, 0, 0},
		{"named", func(d *standby.Duty) { d.Observe(time.Second, heartbeat, true) }, time.Minute, time.Second, time.Second},
		{"the owner is silent", func(d *standby.Duty) { d.Observe(time.Second, heartbeat, false) }, time.Minute,
			time.Second + timing.SilenceTimeout, time.Second + timing.SilenceTimeout + timing.MaxDelay + timing.MaxHandicap},
		{"there was no owner", func(d *standby.Duty) { d.Observe(time.Second, roster.Heartbeat{}, false) }, time.Minute,
			time.Second, time.Second + timing.MaxDelay + timing.MaxHandicap},
		{"cut off from the store", func(d *standby.Duty) { d.Observe(time.Second, heartbeat, false) }, 2 * time.Second, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := standby.New("e2", 0.2, timing, rand.New(rand.NewPCG(1, 1)).Float64)
			tt.observe(d)
			at, follows := followTime(d, time.Second, time.Minute, tt.lastRead)
			is.Equal(follows, tt.latest > 0)
			is.True(at >= tt.earliest && at <= tt.latest)
		})
	}
}

// followTimeByPolls returns the first time at which a Duty follows whose reads of the roster
// each wait in vain.
func followTimeByPolls(is *is.I, d *standby.Duty) time.Duration {
	const poll = 2500 * time.Millisecond
	for now := time.Duration(0); now < time.Minute; now += step {
		if d.Follows(now, now%poll) {
			return now
		}
	}
	is.Fail()
	return 0
}

// Guards against hundreds of instances that all read the state of all jobs, and claim the
// cell, at the same moment: at the start, and when the owner and its standbys are lost.
func TestFewStartAtOnce(t *testing.T) {
	const takeover = 300 * time.Millisecond // from the first start to the new owner's heartbeat
	for _, n := range []int{8, 60, 600, 1200, 2400} {
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, uint64(n)))
		var starts []time.Duration
		for range n {
			d := standby.New("e", 1, standby.DefaultTiming(), random.Float64)
			d.Observe(0, roster.Heartbeat{}, false)
			starts = append(starts, followTimeByPolls(is, d))
		}
		first := slices.Min(starts)
		together := 0
		for _, at := range starts {
			if at <= first+takeover {
				together++
			}
		}
		t.Logf("%d instances: first after %v, %d together", n, first, together)
		is.True(together <= 50) // whatever the number of instances
		is.True(first <= 2*time.Second)
	}
}

// Guards against instances that all take the owner for lost when the store comes back for all,
// before the owner could write.
func TestOutageIsNoSilence(t *testing.T) {
	is := is.New(t)
	d := standby.New("e2", 1, standby.DefaultTiming(), rand.New(rand.NewPCG(1, 1)).Float64)
	d.Observe(time.Second, roster.Heartbeat{Term: 4096, Count: 1}, false)
	is.Equal(d.Follows(time.Second, 0), false)
	is.Equal(d.Follows(11*time.Second, 10*time.Second), false)
	is.Equal(d.Follows(11*time.Second, 0), false) // the first read after ten seconds
	d.Observe(11500*time.Millisecond, roster.Heartbeat{Term: 4096, Count: 2}, false)
	is.Equal(d.Follows(14*time.Second, 0), false)
}

// Guards against an instance that takes the owner for lost when an outage begins during a read.
func TestOutageDuringAReadIsNoSilence(t *testing.T) {
	is := is.New(t)
	timing := standby.DefaultTiming()
	d := standby.New("e2", 1, timing, func() float64 { return 0 })
	d.Observe(time.Second, roster.Heartbeat{Term: 4096, Count: 1}, false)
	is.Equal(d.Follows(time.Second, 0), false)
	lastRead := 3400 * time.Millisecond
	d.ReadFails(true)
	for now := lastRead; now <= lastRead+timing.MaxReadGap; now += 100 * time.Millisecond {
		is.Equal(d.Follows(now, now-lastRead), false)
	}
	d.ReadFails(false)
	is.True(d.Follows(lastRead+timing.MaxReadGap, 0)) // the owner is silent though the store answers
}

// Guards against an instance that reads the state of all jobs for good after a moment
// without standbys.
func TestStopsWithoutReason(t *testing.T) {
	is := is.New(t)
	timing := standby.DefaultTiming()
	d := standby.New("e2", 1, timing, rand.New(rand.NewPCG(1, 1)).Float64)
	heartbeats := uint64(0)
	alive := func(now time.Duration) {
		heartbeats++
		d.Observe(now, roster.Heartbeat{Term: 4096, Count: heartbeats}, false)
	}
	alive(0)
	now := time.Duration(0)
	run := func(length time.Duration, each func()) bool {
		for end := now + length; now < end; now += 500 * time.Millisecond {
			alive(now)
			each()
		}
		return d.Follows(now, 0)
	}
	is.Equal(run(5*time.Second, func() { d.QueryFailed(now) }), true)
	is.Equal(run(timing.StopDelay, func() {}), true)
	is.Equal(run(timing.QueryRetry+timing.StopDelay, func() { d.Follows(now, 0) }), false)
}

// Guards against a small instance that owns the cell of a site with large ones, because it began
// to follow first: it rejects jobs that a large one would start.
func TestLargeInstancesStartFirst(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	start := func(processors float64) time.Duration {
		d := standby.New("e", processors, standby.DefaultTiming(), random.Float64)
		d.Observe(0, roster.Heartbeat{}, false)
		return followTimeByPolls(is, d)
	}
	for range 200 {
		is.True(start(0.8) < start(0.2))
	}
}
