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

// logStore simulates the parts of the store that a cell uses.
type logStore struct {
	accepts      []provider.KeyedRecord
	progress     []provider.KeyedRecord
	term         uint64
	lastSequence uint64
	answers      map[uint64]error
	cancelled    []cancellation
}

type cancellation struct {
	id string
	at time.Duration
}

func (l *logStore) write(a cell.Save) error {
	if a.Term < l.term {
		return fault.New(fault.StaleEpoch, "term %d is in force", l.term)
	}
	if err, repeated := l.answers[a.Sequence]; repeated {
		return err
	}
	if a.Sequence != l.lastSequence+1 {
		return fault.New(fault.Conflict, "sequence %d follows %d", a.Sequence, l.lastSequence)
	}
	l.lastSequence = a.Sequence
	l.answers[a.Sequence] = nil
	l.progress = append(l.progress, a.Records...)
	return nil
}

func (l *logStore) claim(instance string) uint64 {
	l.term = catalog.NextTerm(l.term)
	l.lastSequence = 1
	clear(l.answers)
	l.answers[1] = nil
	r, err := catalog.OwnerRecord(catalog.Owner{Term: l.term, Instance: instance})
	if err == nil {
		l.progress = append(l.progress, r)
	}
	return l.term
}

func (l *logStore) readCatalog(t *testing.T) *catalog.Catalog {
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

// newest returns the newest record of each key, like a reader that starts up receives
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

// Guards against ends that are noticed late because the store is slow.
func TestEndsAreSeenWhileTheStoreIsSlow(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 1, 1)
	s.storeDelay = 300 * time.Millisecond
	s.duration = func(string) time.Duration { return 200 * time.Millisecond }
	s.owners[0].takeOver()
	s.run(2 * time.Second)
	const steps = 8
	chain := &job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{step(1, 1)}}
	for n := range steps - 1 {
		chain.Steps = append(chain.Steps, step(1, 1, n))
	}
	s.submit(chain)
	// Recording the job's claim and its end takes 0.6 s each; a step takes 0.2 s, and up to
	// 0.1 s until its end is noticed.
	s.run(s.now + 2*600*time.Millisecond + steps*300*time.Millisecond + 500*time.Millisecond)
	is.Equal(s.violations, nil)
	is.Equal(s.state(jobID(1)), "completed")
}
