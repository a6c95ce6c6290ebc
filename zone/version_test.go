package zone_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// Guards against an earlier program that restores a snapshot and goes on without
// the rules that the records before it brought into force.
func TestRecordVersion(t *testing.T) {
	is := is.New(t)
	first := provider.NextEpoch(0, 5)
	next := provider.NextEpoch(first, 6)
	s := zone.New("a")
	own := func(sequence, epoch, after uint64, version uint) zone.Outcome {
		return s.Apply(s.Next(), time.Unix(int64(sequence), 0), record.Record{
			Version: version, Writer: record.Writer{ID: "e", Incarnation: 1}, Sequence: sequence,
			Own: &record.Own{Worker: "w", Epoch: epoch, After: after, Capacity: resource.Vector{Processors: 1}},
		})
	}
	is.Equal(own(1, first, 0, 1).Effect, zone.Applied)
	is.Equal(s.RecordVersion(), uint(0))
	is.Equal(own(2, next, first, record.Version).Effect, zone.Applied)
	is.Equal(s.RecordVersion(), uint(record.Version))

	data, err := s.Snapshot()
	is.NoErr(err)
	s, err = zone.Restore(data)
	is.NoErr(err)
	is.Equal(s.RecordVersion(), uint(record.Version))
	is.Equal(own(3, provider.NextEpoch(next, 5), first, 1).Reason, zone.OldEpoch)
}
