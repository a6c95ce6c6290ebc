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

// Symptom: an instance writes nothing any more, for ever.
// Sequence: a batch is appended; the reader sees it; the answer comes last.
// Cause: the answer is taken to be of a batch that still waits to be read.
func TestReadBeforeAnswer(t *testing.T) {
	is := is.New(t)
	a := appender.New(record.Writer{ID: "e1"})
	add(t, a, 1)
	_, ok := a.Next(start)
	is.True(ok)
	a.Folded(start, 1)
	a.Answered(start, nil)
	add(t, a, 1)
	batch, ok := a.Next(start.Add(time.Second))
	is.True(ok)
	is.Equal(batch.First, uint64(2))
}

// Symptom: a record is missing, or a later one overtakes it and voids it.
// Sequence: an append fails or its answer is lost; more records are added.
// Cause: the batch is given up, or the next one is sent before it.
func TestLostAnswerKeepsOrder(t *testing.T) {
	is := is.New(t)
	a := appender.New(record.Writer{ID: "e1"})
	add(t, a, 2)
	first, ok := a.Next(start)
	is.True(ok)
	add(t, a, 1)
	_, ok = a.Next(start.Add(time.Minute))
	is.True(!ok) // one batch at a time
	a.Answered(start, lost)
	again, ok := a.Next(start.Add(time.Minute))
	is.True(ok)
	is.Equal(again, first)
	a.Answered(start.Add(time.Minute), nil)
	a.Folded(start.Add(time.Minute), 2)
	next, ok := a.Next(start.Add(2 * time.Minute))
	is.True(ok)
	is.Equal(next.First, uint64(3))
}

// Symptom: an instance waits for ever for a record that the log dropped.
// Sequence: the append is answered well; the record never shows up.
// Cause: a good answer is taken for proof.
func TestUnreadIsSentAgain(t *testing.T) {
	is := is.New(t)
	a := appender.New(record.Writer{ID: "e1"}, appender.WithPatience(2*time.Second))
	add(t, a, 1)
	first, _ := a.Next(start)
	a.Answered(start, nil)
	_, ok := a.Next(start.Add(time.Second))
	is.True(!ok)
	again, ok := a.Next(start.Add(3 * time.Second))
	is.True(ok)
	is.Equal(again, first)
}

// Symptom: a command is refused as not run, and its record takes effect.
// Sequence: a record waits; another is under way; both are withdrawn.
// Cause: a record that was sent is taken back.
func TestWithdraw(t *testing.T) {
	is := is.New(t)
	a := appender.New(record.Writer{ID: "e1"})
	add(t, a, 1)
	a.Next(start)
	add(t, a, 1)
	is.True(!a.Withdraw(1))
	is.True(a.Withdraw(2))
	is.Equal(a.Waiting(), 1)
}

// Symptom: the process grows without bound during a long outage.
// Sequence: nothing can be appended; records go on being added.
// Cause: the line has no end.
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
		a.Answered(now, lost)
	}
	is.Equal(waits[7], 32*appender.DefaultInterval) // the rate of retries falls to a bound
}
