package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dogwoodladder/dogwoodladder/conduit"
	"go.uber.org/zap"
)

const (
	probePath   = "/healthz"
	probeMisses = 2 // unanswered probes in a row that condemn a worker
)

var errSilent = errors.New("gateway: the connection is silent")

// watch finds out whether a late answer is slow or its connection dead.
//
// A device between two ends can lose track of an open connection: it neither
// fails nor carries anything, while new connections work. It would show as
// requests that end at their deadline although the worker is idle. So a late
// answer makes the watch probe the worker on a new connection:
//   - The worker says that the request runs: it is slow, and is waited for.
//   - It says that the request doesn't run, twice: its answer is lost.
//   - It doesn't say: the connection is given up when it was silent for the
//     silence bound, and for half of the request's time if the request can't
//     be repeated.
//   - No answer to two probes: the worker can't be reached.
//
// Giving up closes the connection and the worker's idle ones, which may have
// been forgotten, too.
type watch struct {
	gateway *Gateway
	conduit *conduit.Conduit
	permit  *conduit.Permit
	id      string
	ctx     context.Context
	cancel  context.CancelCauseFunc
	started time.Time
	limit   time.Duration // of silence, when the worker doesn't say
	since   atomic.Int64  // when the wait for the worker began, after started, plus 1; 0: not waiting
	timer   *time.Timer

	missed int // probes without an answer in a row
	absent int // probes in a row that found the request not running
}

// watch starts to watch an attempt. Until the request's body is sent, only
// the times count when the worker is to take more of it.
func (g *Gateway) watch(c *call, t *target, p *conduit.Permit, ctx context.Context, cancel context.CancelCauseFunc) *watch {
	now := time.Now()
	w := &watch{
		gateway: g,
		conduit: t.conduit,
		permit:  p,
		id:      c.id,
		ctx:     ctx,
		cancel:  cancel,
		started: now,
		limit:   g.silence,
	}
	if !c.idempotent {
		w.limit = max(g.silence, c.deadline.Sub(now)/2)
	}
	w.wait()
	w.timer = time.AfterFunc(g.late, w.check)
	return w
}

// wait notes that the worker's turn begins.
func (w *watch) wait() { w.since.Store(int64(time.Since(w.started)) + 1) }

// pause notes that the worker isn't waited for.
func (w *watch) pause() { w.since.Store(0) }

func (w *watch) stop() { w.timer.Stop() }

// silent reports whether the attempt was given up by the watch.
func (w *watch) silent() bool {
	return errors.Is(context.Cause(w.ctx), errSilent)
}

// check runs when an answer may be late.
func (w *watch) check() {
	if w.ctx.Err() != nil {
		return
	}
	since := w.since.Load()
	waited := time.Since(w.started) - time.Duration(since-1)
	if since == 0 || waited < w.gateway.late {
		w.missed, w.absent = 0, 0
		w.again(w.gateway.late)
		return
	}
	w.probe()
	if w.ctx.Err() != nil {
		return
	}
	if w.since.Load() == since && w.condemned(time.Since(w.started)-time.Duration(since-1)) {
		w.giveUp()
		return
	}
	w.again(w.next(since))
}

func (w *watch) again(d time.Duration) { w.timer.Reset(d) }

// next returns the time to the next check: soon after a miss, and not past
// the limit.
func (w *watch) next(since int64) time.Duration {
	if w.missed > 0 {
		return 0
	}
	left := w.limit - (time.Since(w.started) - time.Duration(since-1))
	if left > 0 {
		return min(left, w.gateway.late)
	}
	return w.gateway.late
}

// probe asks the worker on a new connection whether it runs the request.
func (w *watch) probe() {
	w.gateway.counts.probes.Add(1)
	ctx, cancel := context.WithTimeout(w.ctx, w.gateway.probeTime)
	defer cancel()
	resp, err := w.conduit.Probe(ctx, probePath, http.Header{HeaderRequest: {w.id}})
	if err != nil {
		w.missed++
		return
	}
	w.missed = 0
	switch resp.Header.Get(HeaderRunning) {
	case "true":
		w.absent = -1
	case "false":
		w.absent = max(w.absent, 0) + 1
	default:
		w.absent = 0
	}
}

// condemned reports whether the connection must be given up after it was
// silent for waited.
func (w *watch) condemned(waited time.Duration) bool {
	if w.missed >= probeMisses || w.absent >= probeMisses {
		return true
	}
	runs := w.absent < 0
	return !runs && w.missed == 0 && w.absent == 0 && waited >= w.limit
}

func (w *watch) giveUp() {
	if w.permit.Sent() {
		w.gateway.counts.silent.Add(1)
	}
	w.gateway.logger.Warn("silent connection closed",
		zap.String("request", w.id), zap.String("address", w.conduit.Address()))
	w.cancel(errSilent)
	w.permit.Retire()
	w.conduit.Renew()
}
