package record

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

var need = resource.Vector{Processors: 1500, Memory: 2048, Accelerators: 1}

// samples returns one record of each kind with all fields set.
func samples() []Record {
	attempt := Attempt{Task: "t1", Number: 3}
	task := Task{
		ID: "t1", Job: "j1", Group: "g", Need: need, Command: "rebuild", Duration: time.Minute, Urgent: true,
	}
	bodies := []Record{
		{Limits: &Limits{Revision: 4, Groups: map[string]resource.Vector{"h": {}, "g": need, "long": need}}},
		{Submit: &Submit{Tasks: []Task{task}}},
		{Own: &Own{Worker: "w1", Epoch: 9, Capacity: need, Rack: "r1", Held: []Attempt{attempt}}},
		{Claim: &Claim{Tasks: []string{"t1", "t2"}}},
		{Return: &Return{Tasks: []string{"t1"}}},
		{Done: &Done{Attempt: attempt, Worker: "w1", Result: "ok"}},
		{Evicted: &Evicted{Attempt: attempt, Worker: "w1", Checkpoint: "c/7"}},
		{Failed: &Failed{Attempt: attempt, Worker: "w1", Reason: "exit 1"}},
		{Cancel: &Cancel{Tasks: []string{"t1"}, Jobs: []string{"j1"}}},
		{Fence: &Fence{Instance: Writer{ID: "b", Incarnation: 2}}},
		{Lapse: &Lapse{Worker: "w1", Epoch: 9}},
		{Snapshot: &Snapshot{At: 12, State: []byte{1, 2, 3}, Recovery: true}},
		{Marker: &Marker{}},
		{Park: &Park{Task: "t1", Reason: "larger than any worker"}},
		{Version: Version, Own: &Own{Worker: "w1", Epoch: 2<<32 | 7, After: 9}},
	}
	for i := range bodies {
		bodies[i].Version = max(bodies[i].Version, firstVersion)
		bodies[i].Writer = Writer{ID: "a", Incarnation: 1764700000}
		bodies[i].Sequence = uint64(i) + 1
	}
	return bodies
}

// Guards against an unnoticed change of the encoding, after which old and new
// instances can't read each other's records. The golden file has the bytes of
// each kind; it may gain lines, but a line may change only with the version.
func TestEncodedForm(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	for _, r := range samples() {
		data, err := Encode(r)
		is.NoErr(err)
		fmt.Fprintln(&b, hex.EncodeToString(data))
		decoded, err := Decode(data)
		is.NoErr(err)
		is.Equal(decoded, r)
	}
	goldie.New(t).Assert(t, "records", []byte(b.String()))
}

func TestDecodeRefuses(t *testing.T) {
	is := is.New(t)
	newer, err := Encode(Record{Version: Version + 1, Writer: Writer{ID: "a"}, Marker: &Marker{}})
	is.NoErr(err)
	valid, err := Encode(samples()[0])
	is.NoErr(err)
	cases := []struct {
		name    string
		data    []byte
		kind    fault.Kind
		version uint
	}{
		{"newer version", newer, fault.Invalid, Version + 1},
		{"empty", nil, fault.Invalid, 0},
		{"cut short", valid[:len(valid)-1], fault.Invalid, 0},
		{"something after it", append(valid, 0), fault.Invalid, 0},
		{"too large", make([]byte, MaxSize+1), fault.TooLarge, 0},
		{"not UTF-8", []byte("\xa1\x01\xa1\x01\x61\xff"), fault.Invalid, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, err := Decode(c.data)
			is.True(fault.Is(err, c.kind))
			is.Equal(r.Version, c.version)
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, r := range samples() {
		data, err := Encode(r)
		is.New(f).NoErr(err)
		f.Add(data)
		f.Add(data[:len(data)-2])
	}
	f.Add([]byte{0xa1, 0x00, 0x18, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		is := is.New(t)
		first, err := Encode(r)
		is.NoErr(err)
		again, err := Decode(first)
		is.NoErr(err)
		second, err := Encode(again)
		is.NoErr(err)
		is.Equal(first, second)
	})
}
