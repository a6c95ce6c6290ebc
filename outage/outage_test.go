package outage_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/outage"
)

func TestOutageIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core, lines := observer.New(zapcore.InfoLevel)
		l := outage.New(zap.New(core), "store", "jobs")
		l.Answered() // nothing to tell
		for range 4 {
			time.Sleep(400 * time.Millisecond)
			l.Failed(fault.New(fault.Unavailable, "status 503"), 300*time.Millisecond, 100*time.Millisecond)
		}
		time.Sleep(400 * time.Millisecond)
		l.Answered()
		l.Answered()

		is.Equal(lines.Len(), 3) // the first failure, one a second later, the answer
		first := lines.All()[0]
		is.Equal(first.Message, "no answer")
		is.Equal(first.ContextMap()["part"], "jobs")
		is.Equal(first.ContextMap()["waited"], 300*time.Millisecond)
		is.Equal(first.ContextMap()["retry_after"], 100*time.Millisecond)
		last := lines.All()[2]
		is.Equal(last.Message, "answers again")
		is.Equal(last.ContextMap()["after"], 1600*time.Millisecond)
		is.Equal(last.ContextMap()["unnoticed_for"], 400*time.Millisecond)
	})
}
