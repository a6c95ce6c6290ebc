package logs

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/dogwoodladder/dogwoodladder/timeline"
)

// writer passes lines on from a goroutine of its own.
type writer struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	leftOut map[string]int // lines by message, since that was last told

	stopping chan struct{}
	stopped  chan struct{}
	once     sync.Once
}

func newWriter(out io.Writer) *writer {
	w := &writer{out: out, leftOut: make(map[string]int), stopping: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// add takes a line, or counts it as left out.
func (w *writer) add(message string, line []byte, bound int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > bound {
		w.leftOut[message]++
		return
	}
	w.buffer = append(w.buffer, line...)
}

// sampled takes note of what the sampler does with a line.
func (w *writer) sampled(e zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leftOut[e.Message]++
}

func (w *writer) run() {
	defer close(w.stopped)
	flushes := time.NewTicker(flushEvery)
	defer flushes.Stop()
	tells := time.NewTicker(tellEvery)
	defer tells.Stop()
	for {
		select {
		case <-flushes.C:
			w.flush()
		case now := <-tells.C:
			w.tell(now)
		case <-w.stopping:
			w.tell(time.Now())
			w.flush()
			return
		}
	}
}

// tell adds how many lines were left out, by message.
func (w *writer) tell(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, message := range slices.Sorted(maps.Keys(w.leftOut)) {
		w.buffer = fmt.Appendf(w.buffer, "ts=%s level=warn msg=%q kind=%q count=%d\n",
			now.UTC().Format(time.RFC3339Nano), timeline.LeftOut, message, w.leftOut[message])
	}
	clear(w.leftOut)
}

func (w *writer) flush() {
	w.mu.Lock()
	full := w.buffer
	w.buffer = w.spare[:0]
	w.mu.Unlock()
	for rest := full; len(rest) > 0; {
		n := wholeLines(rest)
		_, _ = w.out.Write(rest[:n]) // there is nowhere to report a log that can't be written
		rest = rest[n:]
	}
	w.mu.Lock()
	w.spare = full
	w.mu.Unlock()
}

// wholeLines returns how many of the bytes to write at once: as many whole
// lines as fit in writeBytes, or one that is longer.
func wholeLines(b []byte) int {
	if len(b) <= writeBytes {
		return len(b)
	}
	if end := bytes.LastIndexByte(b[:writeBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(b, '\n'); end >= 0 {
		return end + 1
	}
	return len(b)
}

func (w *writer) stop() {
	w.once.Do(func() { close(w.stopping) })
	<-w.stopped
}
