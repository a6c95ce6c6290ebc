// Package logs builds a logger that never holds up its process: lines wait in
// a bounded buffer, and what doesn't fit is counted and left out.
//
// Usage:
//
//	logger, stop := logs.New(os.Stdout, zapcore.InfoLevel)
//	defer stop()
//	logger.Info("accept", zap.String("job", id))
//
// A line is key=value pairs. Where lines were left out, the next line that
// fits is preceded by one that says how many.
package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of the buffer. At 150 bytes a line it holds 1,700 lines, several
// seconds of an owner's decisions.
const (
	bufferBytes = 256 << 10
	flushEvery  = 200 * time.Millisecond
)

// New returns a logger of lines from a level on, and what writes out the last
// of them.
func New(out io.Writer, level zapcore.Level) (*zap.Logger, func()) {
	w := newWriter(out)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), w, level)
	return zap.New(core), w.stop
}

// writer passes lines on from a goroutine of its own.
type writer struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int

	stopping chan struct{}
	stopped  chan struct{}
	once     sync.Once
}

func newWriter(out io.Writer) *writer {
	w := &writer{out: out, stopping: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line, or counts it as left out.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > bufferBytes {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.buffer = fmt.Appendf(w.buffer, "level=warn msg=\"lines left out\" count=%d\n", w.dropped)
		w.dropped = 0
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Sync does nothing: lines are written out on their own.
func (w *writer) Sync() error {
	return nil
}

func (w *writer) run() {
	defer close(w.stopped)
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.flush()
		case <-w.stopping:
			w.flush()
			return
		}
	}
}

func (w *writer) flush() {
	w.mu.Lock()
	full := w.buffer
	w.buffer = w.spare[:0]
	w.mu.Unlock()
	if len(full) > 0 {
		_, _ = w.out.Write(full) // there is nowhere to report a log that can't be written
	}
	w.mu.Lock()
	w.spare = full
	w.mu.Unlock()
}

func (w *writer) stop() {
	w.once.Do(func() { close(w.stopping) })
	<-w.stopped
}
