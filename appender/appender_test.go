package appender_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/appender"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/record"
)

var (
	start  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	lost   = fault.New(fault.MayHaveRun, "answer lost")
	marker = record.Record{Marker: &record.Marker{}}
)

func add(t *testing.T, a *appender.Appender, n int) {
	t.Helper()
	for range n {
		_, err := a.Add(marker)
		is.New(t).NoErr(err)
	}
}

// A batch is read back before its answer arrives. If the late answer made the
// appender wait for the batch to be read back, it would never write again.
func TestReadBeforeAnswer(t *testing.T) {
	is := is.New(t)
	a := appender.New(record.Writer{ID: "e1"})
	add(t, a, 1)
	_, ok := a.Next(start)
	is.True(ok)
	a.HandleReadBack(start, 1)
	a.HandleResult(start, nil)
	add(t, a, 1)
	batch, ok := a.Next(start.Add(time.Second))
	is.True(ok)
	is.Equal(batch.First, uint64(2))
}

// An append fails or its answer is lost while more records are added. If the
// batch were dropped, or the next one sent first, a record would be lost or made
// void by a later sequence.
func TestLostAnswerKeepsOrder(t *testing.T) {
	is := is.New(t)
	a := appender.New(record.Writer{ID: "e1"})
	add(t, a, 2)
	first, ok := a.Next(start)
	is.True(ok)
	add(t, a, 1)
	_, ok = a.Next(start.Add(time.Minute))
	is.True(!ok) // one batch at a time
	a.HandleResult(start, lost)
	again, ok := a.Next(start.Add(time.Minute))
	is.True(ok)
	is.Equal(again, first)
	a.HandleResult(start.Add(time.Minute), nil)
	a.HandleReadBack(start.Add(time.Minute), 2)
	next, ok := a.Next(start.Add(2 * time.Minute))
	is.True(ok)
	is.Equal(next.First, uint64(3))
}

// An append succeeds but the record never appears in the stream. If success were
// taken as proof, the instance would wait forever for a record that the log lost.
func TestUnreadIsSentAgain(t *testing.T) {
	is := is.New(t)
	a := appender.New(record.Writer{ID: "e1"}, appender.WithReadBackTimeout(2*time.Second))
	add(t, a, 1)
	first, _ := a.Next(start)
	a.HandleResult(start, nil)
	_, ok := a.Next(start.Add(time.Second))
	is.True(!ok)
	again, ok := a.Next(start.Add(3 * time.Second))
	is.True(ok)
	is.Equal(again, first)
}

// Only records that were never sent can be withdrawn. Otherwise a command could
// be refused as not run although its record takes effect.
func TestWithdraw(t *testing.T) {
	is := is.New(t)
	a := appender.New(record.Writer{ID: "e1"})
	add(t, a, 1)
	a.Next(start)
	add(t, a, 1)
	is.True(!a.Withdraw(1))
	is.True(a.Withdraw(2))
	is.Equal(a.PendingCount(), 1)
}

// Nothing can be appended while records are still added. The queue must be
// bounded, or the memory of the process grows without limit in a long outage.
func TestBounds(t *testing.T) {
	is := is.New(t)
	a := appender.New(record.Writer{ID: "e1"}, appender.WithPending(3))
	add(t, a, 3)
	_, err := a.Add(marker)
	is.True(fault.Is(err, fault.Unavailable))
	var waits []time.Duration
	now := start
	for range 8 {
		began := now
		for {
			if _, ok := a.Next(now); ok {
				break
			}
			now = now.Add(appender.DefaultInterval)
		}
		waits = append(waits, now.Sub(began))
		a.HandleResult(now, lost)
	}
	is.Equal(waits[7], 32*appender.DefaultInterval) // the backoff is bounded
}
