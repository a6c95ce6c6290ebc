// Package outage logs the outages of a dependency: that its answers stay out, and when they
// come again.
//
// Usage:
//
//	l := outage.New(logger, "store", "jobs")
//	l.Failed(err, waited, delay) // after each failure
//	l.Answered()                 // after each answer
//
// At most one line a second is written while the dependency fails.
package outage

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// logInterval is the minimum interval between two lines about the same outage.
const logInterval = time.Second

// Logger logs the outages of one dependency. It is safe for concurrent use.
type Logger struct {
	logger *zap.Logger

	mu           sync.Mutex
	failingSince time.Time     // first failure of the current outage; zero while the dependency answers
	lastLogAt    time.Time     // last logged line
	unnoticed    time.Duration // for which an answer would have gone unnoticed after the last failure
}

// New returns a Logger for a part of a dependency, such as a stream of a store.
func New(logger *zap.Logger, dependency, part string) *Logger {
	return &Logger{logger: logger.With(zap.String("from", dependency), zap.String("part", part))}
}

// Failed records a call that failed after it was waited for, and the delay until the next.
func (l *Logger) Failed(err error, waited, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
	l.unnoticed = waited + delay
	if now.Sub(l.lastLogAt) < logInterval {
		return
	}
	l.lastLogAt = now
	l.logger.Warn("no answer", zap.Duration("waited", waited), zap.Duration("retry_after", delay),
		zap.Stringer("kind", fault.KindOf(err)), zap.Error(err))
}

// Answered records an answer.
func (l *Logger) Answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failingSince.IsZero() {
		return
	}
	l.logger.Info("answers again", zap.Duration("after", time.Since(l.failingSince)), zap.Duration("unnoticed_for", l.unnoticed))
	l.failingSince = time.Time{}
}
