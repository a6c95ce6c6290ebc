// Package standby decides whether an instance is a standby, that is, whether it follows the
// streams of all jobs.
//
// Usage:
//
//	d := standby.New("edge-1", 0.4, standby.DefaultTiming(), rand.Float64)
//	d.Observe(now, heartbeat, named)       // after each read of the roster
//	d.QueryFailed(now)                     // when no standby answered a query
//	if d.Follows(now, age) { ... }         // age is the time since that read
//
// The owner names the standbys. An instance that isn't named becomes one if there may be no
// other left: the owner is silent, or no standby answers. Hundreds of instances notice that
// at the same moment. Each waits for a random time, distributed exponentially towards its
// longest value, and stops waiting if another has become the owner meanwhile. So a few
// instances start, whatever their number (suppression by exponential timers; Nonnenmacher
// and Biersack, 1999).
package standby

import (
	"math"
	"time"

	"github.com/dogwoodladder/dogwoodladder/roster"
)

// Timing holds the timeouts and delays of a Duty.
type Timing struct {
	// SilenceTimeout is the time without a heartbeat after which the owner and its
	// standbys may have failed. Standbys succeed an owner well before. It is above the
	// interval of heartbeats and MaxReadGap together, so that an outage of the store isn't
	// taken for silence.
	SilenceTimeout time.Duration
	// MaxReadGap is the time between two reads of the roster from which this instance counts
	// as cut off from the store between them.
	MaxReadGap time.Duration
	// QueryTimeout is the time for which no standby answers queries after which an
	// instance follows the streams for its own queries.
	QueryTimeout time.Duration
	// QueryRetry is the time after the last failed query from which the standbys count as
	// working again.
	QueryRetry time.Duration
	// MaxDelay is the longest random delay.
	MaxDelay time.Duration
	// MaxHandicap is the additional delay of an instance with no processors. It falls
	// linearly to zero for an instance with AmpleProcessors. That of a small instance is
	// above MaxDelay, so that a large one, if there is any, owns the cell.
	MaxHandicap     time.Duration
	AmpleProcessors float64
	// StopDelay is the time for which an instance goes on after the last reason to follow.
	StopDelay time.Duration
}

// DefaultTiming returns the Timing for an owner that sends a heartbeat every two seconds.
func DefaultTiming() Timing {
	return Timing{
		SilenceTimeout:  5 * time.Second,
		MaxReadGap:      3 * time.Second,
		QueryTimeout:    time.Second,
		QueryRetry:      20 * time.Second,
		MaxDelay:        2 * time.Second,
		MaxHandicap:     3 * time.Second,
		AmpleProcessors: 0.8,
		StopDelay:       10 * time.Second,
	}
}

// maxInstances is the number of instances up to which the delays keep the number of starts
// low. It is the ratio between the densities of the longest and the shortest delay.
const maxInstances = 4096

// Duty is the duty of one instance.
type Duty struct {
	instance     string
	timing       Timing
	random       func() float64
	handicap     time.Duration
	heartbeat    roster.Heartbeat
	named        bool
	silentSince  time.Duration // when the last heartbeat was read; negative before the first read
	lastRead     time.Duration // of the roster
	readFails    bool          // whether the read after it fails
	delay        time.Duration // redrawn with each heartbeat
	failingSince time.Duration // first failed query since the last that was answered; negative if none failed
	lastFailure  time.Duration
	following    bool
	lastReason   time.Duration // last time at which there was a reason to follow
}

// New returns the Duty of an instance. Random returns numbers from 0 to 1.
func New(instance string, processors float64, timing Timing, random func() float64) *Duty {
	shortfall := 1 - min(1, processors/timing.AmpleProcessors)
	d := &Duty{
		instance:     instance,
		timing:       timing,
		random:       random,
		handicap:     time.Duration(shortfall * float64(timing.MaxHandicap)),
		failingSince: -1,
		silentSince:  -1,
	}
	d.delay = d.drawDelay()
	return d
}

// drawDelay draws a delay up to MaxDelay with a density that grows exponentially.
func (d *Duty) drawDelay() time.Duration {
	share := math.Log1p(d.random()*(maxInstances-1)) / math.Log(maxInstances)
	return time.Duration(share*float64(d.timing.MaxDelay)) + d.handicap
}

// Observe handles the roster after a read. Named tells whether it names this instance.
func (d *Duty) Observe(now time.Duration, heartbeat roster.Heartbeat, named bool) {
	d.named = named
	isNew := heartbeat.Term != d.heartbeat.Term || heartbeat.Count != d.heartbeat.Count
	if d.silentSince >= 0 && !isNew {
		return
	}
	d.heartbeat = heartbeat
	d.silentSince = now
	d.delay = d.drawDelay()
}

// ReadFails handles whether reads of the roster fail. While they do, nothing is known of the
// owner: its heartbeats may fail as well.
func (d *Duty) ReadFails(fails bool) {
	d.readFails = fails
}

// QueryFailed handles a query that no standby answered.
func (d *Duty) QueryFailed(now time.Duration) {
	if d.failingSince < 0 {
		d.failingSince = now
	}
	d.lastFailure = now
}

// QueryAnswered handles a query that a standby answered.
func (d *Duty) QueryAnswered() {
	d.failingSince = -1
}

// Follows reports whether the instance follows the streams. Age is the time since the last
// successful read of the roster.
func (d *Duty) Follows(now, age time.Duration) bool {
	if d.silentSince < 0 {
		return d.following // the roster wasn't read yet
	}
	d.recordRead(now - age)
	if d.named || d.OwnerSilent(now) || d.queriesFail(now) {
		d.following = true
		d.lastReason = now
	}
	if d.following && now-d.lastReason >= d.timing.StopDelay {
		d.following = false
	}
	return d.following
}

// recordRead records the time of the last read. Time without reads doesn't count as silence
// of the owner, whose heartbeats couldn't be seen; after it, at least half of the timeout
// has to pass.
func (d *Duty) recordRead(at time.Duration) {
	if at-d.lastRead > d.timing.MaxReadGap {
		d.silentSince = max(d.silentSince, at-d.timing.SilenceTimeout/2)
	}
	d.lastRead = max(d.lastRead, at)
}

// OwnerSilent reports whether the owner has been silent for long enough, and was at the last
// read. Without any owner before, only the delay has to pass.
func (d *Duty) OwnerSilent(now time.Duration) bool {
	timeout := d.timing.SilenceTimeout
	if d.heartbeat.Term == 0 {
		timeout = 0
	}
	return !d.readFails && now-d.lastRead <= d.timing.MaxReadGap && now-d.silentSince >= timeout+d.delay
}

// queriesFail reports whether no standby has answered for long enough.
func (d *Duty) queriesFail(now time.Duration) bool {
	if d.failingSince < 0 {
		return false
	}
	if now-d.lastFailure >= d.timing.QueryRetry {
		d.failingSince = -1
		return false
	}
	return d.lastFailure-d.failingSince >= d.timing.QueryTimeout && now-d.failingSince >= d.timing.QueryTimeout+d.delay
}
