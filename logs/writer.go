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

// writer buffers lines and writes them from its own goroutine.
type writer struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped map[string]int // dropped lines by message since the last report

	stopping chan struct{}
	stopped  chan struct{}
	once     sync.Once
}

func newWriter(out io.Writer) *writer {
	w := &writer{out: out, dropped: make(map[string]int), stopping: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// add appends a line to the buffer, or drops and counts it if the buffer would exceed
// maxBytes.
func (w *writer) add(message string, line []byte, maxBytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBytes {
		w.dropped[message]++
		return
	}
	w.buffer = append(w.buffer, line...)
}

// handleSample counts a line that the sampler has dropped.
func (w *writer) handleSample(e zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped[e.Message]++
}

func (w *writer) run() {
	defer close(w.stopped)
	flushes := time.NewTicker(flushInterval)
	defer flushes.Stop()
	reports := time.NewTicker(dropReportInterval)
	defer reports.Stop()
	for {
		select {
		case <-flushes.C:
			w.flush()
		case now := <-reports.C:
			w.reportDropped(now)
		case <-w.stopping:
			w.reportDropped(time.Now())
			w.flush()
			return
		}
	}
}

// reportDropped appends a line with the number of dropped lines for each message.
func (w *writer) reportDropped(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, message := range slices.Sorted(maps.Keys(w.dropped)) {
		w.buffer = fmt.Appendf(w.buffer, "ts=%s level=warn msg=%q kind=%q count=%d\n",
			now.UTC().Format(time.RFC3339Nano), timeline.OmittedMessage, message, w.dropped[message])
	}
	clear(w.dropped)
}

func (w *writer) flush() {
	w.mu.Lock()
	pending := w.buffer
	w.buffer = w.spare[:0]
	w.mu.Unlock()
	for rest := pending; len(rest) > 0; {
		n := wholeLines(rest)
		_, _ = w.out.Write(rest[:n]) // errors of the log itself can't be reported anywhere
		rest = rest[n:]
	}
	w.mu.Lock()
	w.spare = pending
	w.mu.Unlock()
}

// wholeLines returns the size of the next write: as many complete lines as fit in
// maxWriteBytes, or a single longer line.
func wholeLines(b []byte) int {
	if len(b) <= maxWriteBytes {
		return len(b)
	}
	if end := bytes.LastIndexByte(b[:maxWriteBytes], '\n'); end >= 0 {
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
