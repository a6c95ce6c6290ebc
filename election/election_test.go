package election_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/election"
)

func half() float64 { return 0.5 }

func TestShouldClaim(t *testing.T) {
	owner := catalog.Owner{Term: 3, Instance: "e2", Nonce: 8, Heartbeats: 4}
	tests := []struct {
		name       string
		owner      catalog.Owner
		processors float64
		silence    time.Duration
		age        time.Duration
		claims     bool
	}{
		{"the owner sends heartbeats", owner, 1, 400 * time.Millisecond, 0, false},
		{"the owner is silent", owner, 1, 1700 * time.Millisecond, 0, true},
		{"the last read is too old", owner, 1, 5 * time.Second, 2 * time.Second, false},
		{"there is no owner", catalog.Owner{}, 1, 100 * time.Millisecond, 0, true},
		{"the owner leaves", catalog.Owner{Term: 3, Instance: "e2", Leaving: true}, 1, 50 * time.Millisecond, 0, true},
		{"this instance was the owner before it restarted", catalog.Owner{Term: 3, Instance: "e1", Nonce: 6}, 1, 50 * time.Millisecond, 0, true},
		{"this process is the owner", catalog.Owner{Term: 3, Instance: "e1", Nonce: 7}, 1, 50 * time.Millisecond, 0, false},
		{"others with more processors go first", owner, 0.2, 1900 * time.Millisecond, 0, false},
		{"and then this one", owner, 0.2, 2100 * time.Millisecond, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := election.New("e1", 7, test.processors, election.DefaultTiming(), half)
			e.Observe(time.Second, test.owner)
			is.Equal(e.ShouldClaim(time.Second+test.silence, test.age), test.claims)
		})
	}
}

// Guards against a takeover from a healthy owner by an instance that couldn't read the
// store for a while: that time must not count towards the owner's heartbeat timeout.
func TestFailedReadsAreNoSilence(t *testing.T) {
	is := is.New(t)
	e := election.New("e1", 7, 1, election.DefaultTiming(), half)
	e.Observe(0, catalog.Owner{Term: 1, Instance: "e2"})
	for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
		is.True(!e.ShouldClaim(at, at)) // no read since the start
	}
	is.True(!e.ShouldClaim(5100*time.Millisecond, 0)) // the time before the first read doesn't count
	is.True(e.ShouldClaim(6500*time.Millisecond, 0))
}

func TestFailedClaimWaits(t *testing.T) {
	is := is.New(t)
	e := election.New("e1", 7, 1, election.DefaultTiming(), half)
	e.Observe(0, catalog.Owner{})
	is.True(e.ShouldClaim(time.Second, 0))
	e.DelayClaim(time.Second)
	is.True(!e.ShouldClaim(1100*time.Millisecond, 0))
	is.True(e.ShouldClaim(1400*time.Millisecond, 0))
}

// Guards against fencing tokens of an owner that overlap with those of the next one.
func TestTerms(t *testing.T) {
	tests := []struct {
		name       string
		last, next uint64
	}{
		{"no owner before", 0, catalog.TermSpacing},
		{"an owner of a version that counted terms", 57, catalog.TermSpacing},
		{"an owner that has given all of its tokens", 2*catalog.TermSpacing - 1, 2 * catalog.TermSpacing},
		{"an owner", 2 * catalog.TermSpacing, 3 * catalog.TermSpacing},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := election.New("e1", 7, 1, election.DefaultTiming(), half)
			e.Observe(0, catalog.Owner{Term: tt.last})
			is.Equal(e.Term(), tt.next)
		})
	}
}

// Guards against a cell without orders for the whole heartbeat timeout when the store turns
// its owner away but nobody else.
func TestOwnerYields(t *testing.T) {
	owner := catalog.Owner{Term: 3, Instance: "e2", Nonce: 8, Heartbeats: 4}
	later := catalog.Owner{Term: 3, Instance: "e2", Nonce: 8, Heartbeats: 5}
	tests := []struct {
		name   string
		term   uint64
		then   catalog.Owner // read after the owner's word
		after  time.Duration // time since the owner's word
		age    time.Duration
		claims bool
	}{
		{"the owner can't write", 3, owner, 50 * time.Millisecond, 0, true},
		{"an earlier owner can't", 2, owner, 50 * time.Millisecond, 0, false},
		{"it has written since", 3, later, 50 * time.Millisecond, 0, false},
		{"nor can this instance read", 3, owner, 50 * time.Millisecond, 800 * time.Millisecond, false},
		{"the store was away for all", 3, owner, 1100 * time.Millisecond, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := election.New("e1", 7, 1, election.DefaultTiming(), half)
			e.Observe(time.Second, owner)
			e.Yield(time.Second, tt.term)
			e.Observe(time.Second, tt.then)
			is.Equal(e.ShouldClaim(time.Second+tt.after, tt.age), tt.claims)
		})
	}
}

// Guards against a claim of a live owner's cell because another stream had no news of it.
func TestAssumedSilenceIsConfirmed(t *testing.T) {
	owner := catalog.Owner{Term: 3, Instance: "e2", Nonce: 8, Heartbeats: 4}
	tests := []struct {
		name   string
		quiet  time.Duration // since the last change of the owner's record
		claims bool
	}{
		{"the owner has just written", 400 * time.Millisecond, false},
		{"the owner is silent here, too", 800 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := election.New("e1", 7, 1, election.DefaultTiming(), half)
			e.Observe(time.Second, owner)
			now := time.Second + tt.quiet
			e.AssumeSilence(now, 3)
			is.Equal(e.ShouldClaim(now+50*time.Millisecond, 0), tt.claims)
		})
	}
}
