package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// logStore is the store as far as a cell uses it.
type logStore struct {
	accepts   []provider.KeyedRecord
	progress  []provider.KeyedRecord
	term      uint64
	last      uint64
	answers   map[uint64]error
	cancelled []cancellation
}

type cancellation struct {
	id string
	at time.Duration
}

func (l *logStore) put(a cell.Save) error {
	if a.Term < l.term {
		return fault.New(fault.StaleEpoch, "term %d is in force", l.term)
	}
	if err, repeated := l.answers[a.Sequence]; repeated {
		return err
	}
	if a.Sequence != l.last+1 {
		return fault.New(fault.Conflict, "sequence %d follows %d", a.Sequence, l.last)
	}
	l.last = a.Sequence
	l.answers[a.Sequence] = nil
	l.progress = append(l.progress, a.Records...)
	return nil
}

func (l *logStore) claim(instance string) uint64 {
	l.term = catalog.NextTerm(l.term)
	l.last = 1
	clear(l.answers)
	l.answers[1] = nil
	r, err := catalog.OwnerRecord(catalog.Owner{Term: l.term, Instance: instance})
	if err == nil {
		l.progress = append(l.progress, r)
	}
	return l.term
}

func (l *logStore) fold(t *testing.T) *catalog.Catalog {
	c := catalog.New()
	for _, r := range newest(l.accepts) {
		if err := c.Accept(r); err != nil {
			t.Fatal(err)
		}
	}
	for _, r := range newest(l.progress) {
		if err := c.Progress(r); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// newest returns the newest record of each key, as a reader that starts gets
// them.
func newest(records []provider.KeyedRecord) []provider.KeyedRecord {
	last := make(map[string]int)
	for i, r := range records {
		last[r.Key] = i
	}
	var kept []provider.KeyedRecord
	for i, r := range records {
		if last[r.Key] == i && len(r.Value) > 0 {
			kept = append(kept, r)
		}
	}
	return kept
}

// Guards against ends that are seen late as the store is slow.
func TestEndsAreSeenWhileTheStoreIsSlow(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 1, 1)
	s.storeDelay = 300 * time.Millisecond
	s.length = func(string) time.Duration { return 200 * time.Millisecond }
	s.owners[0].take()
	s.run(2 * time.Second)
	const steps = 8
	chain := &job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{step(1, 1)}}
	for n := range steps - 1 {
		chain.Steps = append(chain.Steps, step(1, 1, n))
	}
	s.submit(chain)
	// Its claim and its end take 0.6 s each to be recorded, a step 0.2 s, and
	// up to 0.1 s to be seen.
	s.run(s.now + 2*600*time.Millisecond + steps*300*time.Millisecond + 500*time.Millisecond)
	is.Equal(s.broken, nil)
	is.Equal(s.state(jobID(1)), "completed")
}
