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
	probePath        = "/healthz"
	maxFailedProbes  = 2                      // in a row, that end the attempt
	failedProbeDelay = 100 * time.Millisecond // after an unanswered probe
	maxProbeInterval = 4 * time.Second

	lateFactor    = 2 // multiple of the p99 latency after which a response is late
	silenceFactor = 4 // multiple of the p99 latency after which a connection is silent
)

var errSilent = errors.New("gateway: the connection is silent")

// watchdog distinguishes a slow response from a dead connection.
//
// A middlebox can lose the state of an open connection: the connection neither
// fails nor carries data, while new connections work. Requests then time out
// although the worker is idle. So when a response is late, the watchdog probes
// the worker on a new connection:
//   - The worker reports that the request runs: the response is slow, and the
//     watchdog keeps waiting.
//   - It reports twice that the request doesn't run: the response is lost.
//   - It doesn't report either: the connection is closed when it was silent for
//     half of the request's timeout, or, if the request is idempotent, for a
//     multiple of the service's p99 latency if that is shorter. Once the
//     response header has arrived, the watchdog keeps waiting.
//   - Two probes fail: the worker is unreachable.
//
// Aborting the attempt closes its connection, and the idle connections to the
// worker, since they may be dead as well.
type watchdog struct {
	gateway        *Gateway
	conduit        *conduit.Conduit
	permit         *conduit.Permit
	call           *call
	ctx            context.Context
	cancel         context.CancelCauseFunc
	startedAt      time.Time
	waitStart      atomic.Int64 // start of the wait for the worker: 1 + nanoseconds after startedAt, 0 when not waiting
	headerReceived atomic.Bool
	timer          *time.Timer

	probeInterval time.Duration
	unanswered    int  // probes in a row without a response
	notRunning    int  // probes in a row that found the request not running
	isRunning     bool // the last probe found the request running
}

// startWatchdog starts to watch an attempt. While the request's body is being
// streamed, only the time spent waiting for the worker counts.
func (g *Gateway) startWatchdog(c *call, t *target, p *conduit.Permit, ctx context.Context, cancel context.CancelCauseFunc) *watchdog {
	now := time.Now()
	w := &watchdog{
		gateway:       g,
		conduit:       t.conduit,
		permit:        p,
		call:          c,
		ctx:           ctx,
		cancel:        cancel,
		startedAt:     now,
		probeInterval: g.probeAfter,
	}
	w.startWait()
	w.timer = time.AfterFunc(time.Hour, w.check) // check uses w.timer, so the field must be set before the timer fires
	w.timer.Reset(g.probeAfter)
	return w
}

// startWait marks the start of a wait for the worker.
func (w *watchdog) startWait() { w.waitStart.Store(int64(time.Since(w.startedAt)) + 1) }

// endWait marks the end of a wait for the worker.
func (w *watchdog) endWait() { w.waitStart.Store(0) }

func (w *watchdog) stop() { w.timer.Stop() }

// hasAborted reports whether the watchdog aborted the attempt.
func (w *watchdog) hasAborted() bool {
	return errors.Is(context.Cause(w.ctx), errSilent)
}

// check runs when a response may be late.
func (w *watchdog) check() {
	if w.ctx.Err() != nil {
		return
	}
	since := w.waitStart.Load()
	p99 := w.gateway.p99Latency(w.call.service.Name)
	late := max(w.gateway.probeAfter, lateFactor*p99)
	waited := w.waited(since)
	if waited < late {
		w.unanswered, w.notRunning, w.probeInterval = 0, 0, w.gateway.probeAfter
		w.timer.Reset(late - waited)
		return
	}
	w.probe()
	if w.ctx.Err() != nil {
		return
	}
	limit := w.silenceLimit(p99)
	waited = w.waited(since)
	if w.waitStart.Load() == since && w.isDead(waited, limit) {
		w.abortAttempt()
		return
	}
	w.timer.Reset(w.nextCheckDelay(waited, limit))
}

// waited returns the time since the wait that began at since, and zero when
// not waiting.
func (w *watchdog) waited(since int64) time.Duration {
	if since == 0 {
		return 0
	}
	return time.Since(w.startedAt) - time.Duration(since-1)
}

// silenceLimit returns how long the connection may be silent when the worker
// doesn't report whether it runs the request.
func (w *watchdog) silenceLimit(p99 time.Duration) time.Duration {
	silence := w.call.deadline.Sub(w.startedAt) / 2
	if w.call.idempotent && p99 > 0 {
		silence = min(silence, silenceFactor*p99)
	}
	return max(w.gateway.silenceTimeout, silence)
}

// nextCheckDelay returns the time until the next check: short after an
// unanswered probe, else with exponential backoff, bounded by the limit unless
// the request is known to run.
func (w *watchdog) nextCheckDelay(waited, limit time.Duration) time.Duration {
	if w.unanswered > 0 {
		return failedProbeDelay
	}
	if w.notRunning > 0 {
		return w.gateway.probeAfter
	}
	w.probeInterval = min(2*w.probeInterval, maxProbeInterval)
	if left := limit - waited; left > 0 && !w.isRunning {
		return min(left, w.probeInterval)
	}
	return w.probeInterval
}

// probe queries the worker on a new connection whether it runs the request.
func (w *watchdog) probe() {
	w.gateway.counters.probes.Add(1)
	ctx, cancel := context.WithTimeout(w.ctx, w.gateway.probeTimeout)
	defer cancel()
	resp, err := w.conduit.Probe(ctx, probePath, http.Header{HeaderRequest: {w.call.id}})
	if err != nil {
		w.unanswered++
		return
	}
	w.unanswered = 0
	reported := resp.Header.Get(HeaderRunning)
	w.isRunning = reported == "true"
	if reported != "false" {
		w.notRunning = 0
		return
	}
	w.notRunning++
}

// isDead reports whether the connection counts as dead after waiting for the
// worker for waited.
func (w *watchdog) isDead(waited, limit time.Duration) bool {
	if w.unanswered >= maxFailedProbes || w.notRunning >= maxFailedProbes {
		return true
	}
	notReported := w.unanswered == 0 && w.notRunning == 0 && !w.isRunning
	return notReported && !w.headerReceived.Load() && waited >= limit
}

func (w *watchdog) abortAttempt() {
	if w.permit.Sent() {
		w.gateway.counters.silent.Add(1)
	}
	w.gateway.logger.Warn("silent connection closed",
		zap.String("request", w.call.id), zap.String("address", w.conduit.Address()))
	w.cancel(errSilent)
	w.permit.CloseConnection()
	w.conduit.CloseIdleConnections()
}
