package follower_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/follower"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

var (
	start  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	writer = record.Writer{ID: "e1", Incarnation: 1}
)

// stream is a stream with the state of a reader that has followed it from the
// start.
type stream struct {
	t       *testing.T
	entries []provider.Entry
	state   *zone.State
}

func newStream(t *testing.T) *stream {
	return &stream{t: t, state: zone.New("a")}
}

func (s *stream) add(r record.Record) {
	r.Version = record.Version
	r.Writer = writer
	r.Sequence = uint64(len(s.entries) + 1)
	data, err := record.Encode(r)
	is.New(s.t).NoErr(err)
	offset := uint64(len(s.entries))
	s.entries = append(s.entries, provider.Entry{Offset: offset, Time: start, Data: data})
	s.state.Apply(offset, start, r)
}

func (s *stream) submit() {
	task := record.Task{ID: fmt.Sprint("t", len(s.entries)), Group: "g", Need: resource.Vector{Processors: 1}}
	s.add(record.Record{Submit: &record.Submit{Tasks: []record.Task{task}}})
}

func (s *stream) snapshot() {
	data, err := s.state.Snapshot()
	is.New(s.t).NoErr(err)
	s.add(record.Record{Snapshot: &record.Snapshot{At: uint64(len(s.entries)) - 1, State: data}})
}

// page returns the result of a read when the entries before oldest have expired.
func (s *stream) page(from, oldest uint64, limit int) provider.Page {
	p := provider.Page{Oldest: oldest, Next: uint64(len(s.entries))}
	for _, e := range s.entries[max(from, oldest):] {
		if len(p.Entries) == limit {
			break
		}
		p.Entries = append(p.Entries, e)
	}
	return p
}

func newFollower() *follower.Follower {
	return follower.New(func() *zone.State { return zone.New("a") })
}

// catchUp reads until the tail.
func (s *stream) catchUp(f *follower.Follower, oldest uint64, limit int) {
	for range len(s.entries) + 2 {
		f.ApplyPage(start, start, s.page(f.Next(), oldest, limit))
	}
}

func encoded(t *testing.T, s *zone.State) string {
	t.Helper()
	data, err := s.Snapshot()
	is.New(t).NoErr(err)
	return string(data)
}

// Instances start when any number of records has expired, with snapshots in
// between, and read pages of any size. Records between a snapshot's state and
// its position in the stream must be applied exactly once, or a late joiner's
// state differs from that of the others.
func TestLateJoiner(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	for i := range 40 {
		s.submit()
		if i%10 == 9 {
			s.snapshot()
			s.submit()
		}
	}
	want := encoded(t, s.state)
	joined := 0
	for oldest := range uint64(len(s.entries)) {
		for _, limit := range []int{1, 3, 100} {
			f := newFollower()
			s.catchUp(f, oldest, limit)
			if !f.Ready() {
				_, lost := f.StateLost()
				is.True(lost) // no snapshot is left
				continue
			}
			joined++
			is.Equal(encoded(t, f.State()), want)
		}
	}
	is.True(joined > 100)
}

// Records after the last read offset expire before the next read. If the first
// entry of that page were taken for the next record, an instance that was cut
// off would continue with a state that lacks records.
func TestGap(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	for range 5 {
		s.submit()
	}
	f := newFollower()
	s.catchUp(f, 0, 100)
	is.True(f.Ready())
	for range 5 {
		s.submit()
	}
	s.snapshot()
	s.submit()
	f.ApplyPage(start, start, s.page(f.Next(), 8, 1))
	is.Equal(f.State(), nil)
	is.True(!f.Ready()) // nothing is decided from the old state
	is.Equal(f.GapCount(), uint64(1))
	s.catchUp(f, 8, 100)
	is.True(f.Ready())
	is.Equal(encoded(t, f.State()), encoded(t, s.state))
}

// recoveryStream returns a stream whose first six records expired, with the
// recovery snapshots of two instances that had applied two and one of them.
func recoveryStream(t *testing.T) *stream {
	s := newStream(t)
	for range 6 {
		s.submit()
	}
	for known := 2; known > 0; known-- {
		state := zone.New("a")
		for i := range known {
			state.Apply(uint64(i), start, mustDecode(t, s.entries[i].Data))
		}
		state.SkipTo(6)
		data, err := state.Snapshot()
		is.New(t).NoErr(err)
		s.add(record.Record{Snapshot: &record.Snapshot{At: 5, State: data, Recovery: true}})
	}
	return s
}

// After all snapshots expired, two instances write recovery snapshots, and other
// instances, one of them with all records, read both. If a reader took its own,
// took the last one or kept its state, the states would differ.
func TestFirstRecoverySnapshotDecides(t *testing.T) {
	is := is.New(t)
	s := recoveryStream(t)
	full := newFollower()
	s.catchUp(full, 0, 100)
	late := newFollower()
	s.catchUp(late, 6, 1)
	is.True(!late.Ready()) // it may still be overruled
	s.entries = append(s.entries, s.later(t, follower.RecoveryGrace))
	for _, f := range []*follower.Follower{late, full, newFollower()} {
		s.catchUp(f, 6, 1)
		is.True(f.Ready())
		_, ok := f.State().Task("t1")
		is.True(ok) // in the first recovery snapshot
		_, ok = f.State().Task("t2")
		is.True(!ok) // not in the first recovery snapshot
		is.Equal(encoded(t, f.State()), encoded(t, late.State()))
	}
}

// later returns a marker some time after the start.
func (s *stream) later(t *testing.T, d time.Duration) provider.Entry {
	sequence := uint64(len(s.entries) + 1)
	data, err := record.Encode(record.Record{Writer: writer, Sequence: sequence, Marker: &record.Marker{}})
	is.New(t).NoErr(err)
	return provider.Entry{Offset: uint64(len(s.entries)), Time: start.Add(d), Data: data}
}

// A new instance finds no snapshot and writes a recovery snapshot, while an
// instance that has the state writes a regular one. If the recovery snapshot
// won, a new instance would empty the queue of a zone.
func TestStateOverrulesRecovery(t *testing.T) {
	is := is.New(t)
	s := recoveryStream(t)
	s.snapshot()
	s.entries = append(s.entries, s.later(t, follower.RecoveryGrace))
	s.state.Apply(9, s.entries[9].Time, mustDecode(t, s.entries[9].Data))
	for _, oldest := range []uint64{0, 6} {
		f := newFollower()
		s.catchUp(f, oldest, 1)
		is.True(f.Ready())
		is.Equal(encoded(t, f.State()), encoded(t, s.state))
	}
}

// Reading must stop at a record of a newer version. If it were skipped, old
// instances would own tasks that upgraded ones have given away.
func TestNewerVersionStops(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	s.submit()
	data, err := cbor.Marshal(map[int]any{0: record.Version + 1, 99: "new"})
	is.NoErr(err)
	s.entries = append(s.entries, provider.Entry{Offset: 1, Time: start, Data: data})
	s.submit()
	f := newFollower()
	s.catchUp(f, 0, 100)
	is.True(!f.Ready())
	is.Equal(f.NewerVersion(), uint(record.Version+1))
	is.Equal(f.Next(), uint64(1)) // the offset of the newer record
}

// An entry that can't be decoded must be skipped. If it were taken for a record
// of a newer version, one damaged entry would stop a zone.
func TestDamagedRecordIsSkipped(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	s.submit()
	s.entries = append(s.entries, provider.Entry{Offset: 1, Time: start, Data: []byte("?")})
	f := newFollower()
	s.catchUp(f, 0, 100)
	is.Equal(f.DamagedCount(), uint64(1))
	is.Equal(f.Next(), uint64(2))
}

func mustDecode(t *testing.T, data []byte) record.Record {
	t.Helper()
	r, err := record.Decode(data)
	is.New(t).NoErr(err)
	return r
}
