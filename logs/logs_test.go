package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/dogwoodladder/dogwoodladder/logs"
	"github.com/dogwoodladder/dogwoodladder/timeline"
)

// sink keeps what is written, and holds up writes while it is blocked.
type sink struct {
	mu      sync.Mutex
	data    bytes.Buffer
	longest int
	blocked chan struct{} // closed to let writes go on, nil for none
}

func (s *sink) Write(p []byte) (int, error) {
	if s.blocked != nil {
		<-s.blocked
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longest = max(s.longest, len(p))
	return s.data.Write(p)
}

func (s *sink) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSuffix(s.data.String(), "\n"), "\n")
}

func count(lines []string, part string) int {
	n := 0
	for _, l := range lines {
		if strings.Contains(l, part) {
			n++
		}
	}
	return n
}

// Symptom: lines run into each other, as "msg=worker ints=2026-09-28". Sequence:
// an owner logs tens of kilobytes between two writes. Cause: they went out as one
// write, of which the pipe took a part.
func TestWritesAreWholeLinesAndShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &sink{}
		logger, stop := logs.New(out, zapcore.InfoLevel)
		for i := range 500 {
			logger.Info("start", zap.Int("task", i), zap.String("rest", strings.Repeat("x", 100)))
		}
		logger.Info("long", zap.String("rest", strings.Repeat("x", 10_000)))
		logger.Info("end")
		stop()
		lines := out.lines()
		is.Equal(len(lines), 502)
		for _, l := range lines {
			is.True(strings.HasPrefix(l, "ts="))
		}
		is.True(out.longest < 11_000) // the long one, alone
	})
}

// Symptom: the load line is missing for six seconds at a stretch, in just the
// seconds that matter. Sequence: an owner logs thousands of starts a second, and
// the log is read slowly. Cause: lines were left out as they came.
func TestKeptLinesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &sink{blocked: make(chan struct{})}
		logger, stop := logs.New(out, zapcore.InfoLevel, logs.WithKept("load"), logs.WithRepeats(100_000))
		logger = logger.With(zap.String("instance", "e1"))
		for second := range 5 {
			for i := range 4000 {
				logger.Info("start", zap.Int("task", i))
			}
			logger.Info("load", zap.Int("second", second))
			time.Sleep(time.Second)
		}
		close(out.blocked)
		stop()
		lines := out.lines()
		is.Equal(count(lines, "msg=load"), 5)
		starts := count(lines, "msg=start")
		is.True(starts < 20_000)
		is.Equal(starts+leftOut(t, lines, "start"), 20_000)
	})
}

// leftOut sums what the lines say was left out of a kind.
func leftOut(t *testing.T, lines []string, kind string) int {
	t.Helper()
	sum := 0
	for _, l := range lines {
		if !strings.Contains(l, fmt.Sprintf("msg=%q kind=%q ", timeline.LeftOut, kind)) {
			continue
		}
		_, number, _ := strings.Cut(l, "count=")
		n := 0
		if _, err := fmt.Sscan(number, &n); err != nil {
			t.Fatal(err)
		}
		sum += n
	}
	return sum
}

func TestRepeatedLinesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &sink{}
		logger, stop := logs.New(out, zapcore.InfoLevel, logs.WithRepeats(10))
		for range 50 {
			logger.Info("start")
		}
		logger.Info("stop")
		logger.Debug("unseen")
		time.Sleep(1500 * time.Millisecond)
		lines := out.lines()
		is.Equal(count(lines, "msg=start"), 10)
		is.Equal(count(lines, "msg=stop"), 1)
		is.Equal(leftOut(t, lines, "start"), 40)
		is.Equal(count(lines, "unseen"), 0)
		logger.Info("start") // another second
		stop()
		is.Equal(count(out.lines(), "msg=start"), 11)
	})
}
