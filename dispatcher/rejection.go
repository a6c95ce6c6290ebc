package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/contention"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/tail"
)

//go:generate go tool stringer -type=rejectionCause -linecomment

// rejectionCause tells why a job is rejected on arrival.
type rejectionCause uint8

// Causes of rejections.
const (
	admitted    rejectionCause = iota // admitted
	ownerLags                         // owner lags
	urgentWaits                       // urgent jobs wait
	tooLate                           // too late
)

// reason returns the reason for the account of rejections.
func (c rejectionCause) reason() fault.Reason {
	if c == ownerLags {
		return fault.Overload
	}
	return fault.PoolFull
}

// rejection is the decision on a job that is submitted.
type rejection struct {
	cause      rejectionCause
	reason     string // for the caller
	retryAfter time.Duration
}

// WithSharing sets whether full pools are shared among queues and availability zones: the
// owner starts their tasks in a fair order and publishes their figures, by which jobs are
// rejected that would end too late (ranking.TooLateAfter). It is off by default.
func WithSharing(on bool) Option {
	return func(d *Dispatcher) { d.sharing = on }
}

// figuresAge tells how old the figures of full pools are that this instance reads from the
// owner's backlog records. While the owner is lost, the store still answers reads.
type figuresAge struct {
	mu     sync.Mutex
	newest *overload.Backlog
	readAt time.Duration // when newest was first read, on the dispatcher's clock
}

func (f *figuresAge) record(b *overload.Backlog, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newest != b {
		f.newest, f.readAt = b, now
	}
}

// age returns the time since a backlog was read, zero for one of another source: that of the
// roster is only used while it is new.
func (f *figuresAge) age(b *overload.Backlog, now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newest != b {
		return 0
	}
	return now - f.readAt
}

// recordFigures returns an apply function that also records when figures were read.
func (d *Dispatcher) recordFigures(apply tail.Apply) tail.Apply {
	return func(b tail.Batch) {
		apply(b)
		d.figures.record(d.catalog.Backlog(), d.clock())
	}
}

// reject decides whether to reject a job: an overloaded owner couldn't start it in time, it
// is a lasting one and would take capacity for which urgent ones wait, or it would end too
// late for its caller.
func (d *Dispatcher) reject(j *job.Job) rejection {
	b := d.backlog()
	if b == nil || j.Scheduled() {
		return rejection{}
	}
	lag := b.Lag(j.Terms.Priority)
	if overload.Rejects(lag, j.TaskCount(), rand.Float64()) {
		return rejection{ownerLags, fmt.Sprintf("the backlog of accepted jobs takes %v to start", lag), overload.RetryAfter(lag, rand.Float64())}
	}
	if j.Lasting() && !b.Admits(j.Terms.Service, j.Terms.Priority) {
		return rejection{urgentWaits, fmt.Sprintf("urgent jobs wait for free capacity in pool %s", j.Terms.Service), overload.RetryAfter(lag, rand.Float64())}
	}
	if !d.sharing || d.figures.age(b, d.clock()) > maxBacklogAge {
		return rejection{}
	}
	if a := contention.Judge(b.Pools[j.Terms.Service], j, rand.Float64()); a.TooLate {
		reason := fmt.Sprintf("pool %s is full: the job would end after %v", j.Terms.Service, a.End.Round(time.Millisecond))
		return rejection{tooLate, reason, a.RetryAfter}
	}
	return rejection{}
}
