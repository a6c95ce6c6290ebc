package roster_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/roster"
)

// Guards against records of an earlier owner that are read after those of its successor.
func TestEarlierTermsChangeNothing(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	is.Equal(r.Heartbeat().Term, uint64(0))
	apply := func(term, count uint64, member string) {
		h, err := roster.HeartbeatRecord(roster.Heartbeat{Term: term, Count: count, Owner: member, Backlog: &overload.Backlog{Rate: 5}})
		is.NoErr(err)
		is.NoErr(r.Apply(h))
		m, err := roster.MembersRecord(term, []roster.Member{{ID: member, Address: "10.0.0.1:1", AvailabilityZone: "a"}})
		is.NoErr(err)
		is.NoErr(r.Apply(m))
	}
	apply(8192, 1, "e2")
	apply(4096, 7, "e1")
	is.Equal(r.Heartbeat().Owner, "e2")
	is.Equal(r.Heartbeat().Backlog.Rate, 5.0)
	is.True(r.Names("e2"))
	is.Equal(r.Names("e1"), false)
	apply(8192, 2, "e3")
	is.Equal(r.Heartbeat().Count, uint64(2))
	is.True(r.Names("e3"))
}

// Guards against figures of a full pool that other instances read differently.
func TestBacklogIsReadAsWritten(t *testing.T) {
	is := is.New(t)
	written := &overload.Backlog{Full: map[string]int{"pool": 0}, Pools: map[string]*overload.Pool{"pool": {Lines: []overload.Line{
		{Origin: overload.Origin{Queue: "q", Zone: "x", Priority: 2}, Waiting: 30.5, Rate: 8},
		{Origin: overload.Origin{Priority: 1}, Rate: 2},
	}}}}
	record, err := roster.HeartbeatRecord(roster.Heartbeat{Term: 1, Backlog: written})
	is.NoErr(err)
	r := roster.New()
	is.NoErr(r.Apply(record))
	is.Equal(r.Heartbeat().Backlog, written)
}

func TestMalformedRecords(t *testing.T) {
	tests := []provider.KeyedRecord{
		{Key: "heartbeat", Value: []byte("{")},
		{Key: "members", Value: []byte{0xff}},
		{Key: "members"},
		{Key: "other", Value: []byte{1}},
	}
	for _, tt := range tests {
		is := is.New(t)
		r := roster.New()
		is.True(fault.Is(r.Apply(tt), fault.Invalid))
		is.Equal(len(r.Members()), 0)
	}
}
