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

// sink collects the output. Writes to it block until blocked is closed.
type sink struct {
	mu      sync.Mutex
	data    bytes.Buffer
	longest int
	blocked chan struct{} // closed to unblock writes, nil to never block
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

// Guards against lines cut and joined, such as "msg=worker ints=2026-09-28": a pipe may
// accept only part of a write of tens of kilobytes.
func TestWritesAreShortAndWholeLines(t *testing.T) {
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
		is.True(out.longest < 11_000) // the long line is written alone
	})
}

// Guards against kept lines dropped in favour of others: an owner logs thousands of
// starts per second, its log is read slowly, and the load line is missing for seconds.
func TestKeptLinesAreNotDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &sink{blocked: make(chan struct{})}
		logger, stop := logs.New(out, zapcore.InfoLevel, logs.WithKeptMessages("load"), logs.WithMessageLimit(100_000))
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
		is.Equal(starts+countDropped(t, lines, "start"), 20_000)
	})
}

// countDropped sums the reported numbers of dropped lines of a kind.
func countDropped(t *testing.T, lines []string, kind string) int {
	t.Helper()
	sum := 0
	for _, l := range lines {
		if !strings.Contains(l, fmt.Sprintf("msg=%q kind=%q ", timeline.OmittedMessage, kind)) {
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

func TestRepeatedLinesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &sink{}
		logger, stop := logs.New(out, zapcore.InfoLevel, logs.WithMessageLimit(10))
		for range 50 {
			logger.Info("start")
		}
		logger.Info("stop")
		logger.Debug("unseen")
		time.Sleep(1500 * time.Millisecond)
		lines := out.lines()
		is.Equal(count(lines, "msg=start"), 10)
		is.Equal(count(lines, "msg=stop"), 1)
		is.Equal(countDropped(t, lines, "start"), 40)
		is.Equal(count(lines, "unseen"), 0)
		logger.Info("start") // another second
		stop()
		is.Equal(count(out.lines(), "msg=start"), 11)
	})
}
