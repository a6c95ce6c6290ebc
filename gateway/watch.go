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
	probeMisses = 2                      // unanswered probes in a row that condemn a worker
	missGap     = 100 * time.Millisecond // after an unanswered probe
	maxProbeGap = 4 * time.Second

	lateFactor    = 2 // times the usual latency that make an answer late
	silenceFactor = 4 // times the usual latency that make it silent
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
//   - It doesn't say: the connection is given up when it was silent for half
//     of the request's time; sooner, if the request may be repeated, when the
//     service usually answers much sooner. Once the answer has begun it is
//     waited for.
//   - No answer to two probes: the worker can't be reached.
//
// Giving up closes the connection and the worker's idle ones, which may have
// been forgotten, too.
type watch struct {
	gateway *Gateway
	conduit *conduit.Conduit
	permit  *conduit.Permit
	call    *call
	ctx     context.Context
	cancel  context.CancelCauseFunc
	started time.Time
	since   atomic.Int64 // when the wait for the worker began, after started, plus 1; 0: not waiting
	begun   atomic.Bool  // the answer's header arrived
	timer   *time.Timer

	gap     time.Duration // between probes
	missed  int           // probes without an answer in a row
	absent  int           // probes in a row that found the request not running
	running bool          // the last probe found it running
}

// watch starts to watch an attempt. Until the request's body is sent, only
// the times count when the worker is to take more of it.
func (g *Gateway) watch(c *call, t *target, p *conduit.Permit, ctx context.Context, cancel context.CancelCauseFunc) *watch {
	now := time.Now()
	w := &watch{
		gateway: g,
		conduit: t.conduit,
		permit:  p,
		call:    c,
		ctx:     ctx,
		cancel:  cancel,
		started: now,
		gap:     g.late,
	}
	w.wait()
	w.timer = time.AfterFunc(time.Hour, w.check) // check uses timer, so it is set first
	w.timer.Reset(g.late)
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
	usual := w.gateway.usualLatency(w.call.service.Name)
	late := max(w.gateway.late, lateFactor*usual)
	waited := w.waited(since)
	if waited < late {
		w.missed, w.absent, w.gap = 0, 0, w.gateway.late
		w.timer.Reset(late - waited)
		return
	}
	w.probe()
	if w.ctx.Err() != nil {
		return
	}
	limit := w.limit(usual)
	waited = w.waited(since)
	if w.since.Load() == since && w.condemned(waited, limit) {
		w.giveUp()
		return
	}
	w.timer.Reset(w.next(waited, limit))
}

// waited returns how long the worker is waited for since since.
func (w *watch) waited(since int64) time.Duration {
	if since == 0 {
		return 0
	}
	return time.Since(w.started) - time.Duration(since-1)
}

// limit returns how long the connection may be silent when the worker
// doesn't say whether it runs the request.
func (w *watch) limit(usual time.Duration) time.Duration {
	half := w.call.deadline.Sub(w.started) / 2
	if w.call.idempotent && usual > 0 {
		half = min(half, silenceFactor*usual)
	}
	return max(w.gateway.silence, half)
}

// next returns the time to the next check: soon after a miss, later and
// later while the request runs, and not past the limit.
func (w *watch) next(waited, limit time.Duration) time.Duration {
	if w.missed > 0 {
		return missGap
	}
	if w.absent > 0 {
		return w.gateway.late
	}
	w.gap = min(2*w.gap, maxProbeGap)
	if left := limit - waited; left > 0 && !w.running {
		return min(left, w.gap)
	}
	return w.gap
}

// probe asks the worker on a new connection whether it runs the request.
func (w *watch) probe() {
	w.gateway.counts.probes.Add(1)
	ctx, cancel := context.WithTimeout(w.ctx, w.gateway.probeTime)
	defer cancel()
	resp, err := w.conduit.Probe(ctx, probePath, http.Header{HeaderRequest: {w.call.id}})
	if err != nil {
		w.missed++
		return
	}
	w.missed = 0
	says := resp.Header.Get(HeaderRunning)
	w.running = says == "true"
	if says != "false" {
		w.absent = 0
		return
	}
	w.absent++
}

// condemned reports whether the connection must be given up after it was
// silent for waited.
func (w *watch) condemned(waited, limit time.Duration) bool {
	if w.missed >= probeMisses || w.absent >= probeMisses {
		return true
	}
	unsaid := w.missed == 0 && w.absent == 0 && !w.running
	return unsaid && !w.begun.Load() && waited >= limit
}

func (w *watch) giveUp() {
	if w.permit.Sent() {
		w.gateway.counts.silent.Add(1)
	}
	w.gateway.logger.Warn("silent connection closed",
		zap.String("request", w.call.id), zap.String("address", w.conduit.Address()))
	w.cancel(errSilent)
	w.permit.Retire()
	w.conduit.Renew()
}
