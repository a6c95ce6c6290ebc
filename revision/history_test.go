package revision

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "10000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// model is a stream with instances that read it at different speeds, and a
// reference that reads every record when it is appended.
type model struct {
	entries   [][]byte
	oldest    uint64
	pending   [][]byte // written but not appended yet
	reference *History
	truth     []Revision // truth[n] is in force before offset n
	instances []*History
	highest   []uint64
	contents  map[uint64]uint64 // digest by revision
	written   int
	published map[string]bool // keys of the records that took effect
}

// For any interleaving of publishes, restates, adoptions, expired records and
// late joiners, the revision of an instance never decreases, one revision has
// one content, and an instance that knows the revision in force has the right one.
func TestHistoryProperty(t *testing.T) {
	reached := map[Kind]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			reference: New(),
			truth:     []Revision{initial()},
			instances: []*History{New(), New(), New()},
			highest:   make([]uint64, 3),
			contents:  map[uint64]uint64{},
			published: map[string]bool{},
		}
		pick := rapid.IntRange(0, len(m.instances)-1)
		t.Repeat(map[string]func(*rapid.T){
			"publish":  func(t *rapid.T) { m.publish(t, pick.Draw(t, "writer"), false) },
			"anew":     func(t *rapid.T) { m.publish(t, pick.Draw(t, "writer"), true) },
			"restate":  func(t *rapid.T) { m.restate(t, pick.Draw(t, "writer")) },
			"append":   func(t *rapid.T) { m.append(t, rapid.Bool().Draw(t, "keep")) },
			"append 2": func(t *rapid.T) { m.append(t, false) },
			"drop": func(t *rapid.T) {
				m.oldest = rapid.Uint64Range(m.oldest, uint64(len(m.entries))).Draw(t, "oldest")
			},
			"read":   func(t *rapid.T) { m.read(t, pick.Draw(t, "reader"), reached) },
			"read 2": func(t *rapid.T) { m.read(t, pick.Draw(t, "reader"), reached) },
			"adopt": func(t *rapid.T) {
				from := m.instances[pick.Draw(t, "from")].Current()
				m.instances[pick.Draw(t, "to")].Adopt(from.Number, from.Digest, from.Manifest)
			},
			"replace": func(t *rapid.T) {
				i := pick.Draw(t, "instance")
				m.instances[i], m.highest[i] = New(), 0
			},
			"": m.check,
		})
	})
	for kind := Ignored; kind <= Unknown; kind++ {
		is.New(t).True(reached[kind] > 0) // every outcome occurred
	}
}

func (m *model) publish(t *rapid.T, i int, anew bool) {
	h := m.instances[i]
	m.written++
	m.write(t, Record{Publish: &Publish{
		Base:     h.Current().Number,
		Author:   fmt.Sprintf("operator-%d", i),
		Key:      fmt.Sprint(m.written),
		Manifest: fmt.Appendf(nil, "manifest %d", m.written),
		Anew:     anew,
		Next:     h.Next(),
	}})
}

func (m *model) restate(t *rapid.T, i int) {
	if r, ok := m.instances[i].Restate(); ok {
		m.write(t, r)
	}
}

func (m *model) write(t *rapid.T, r Record) {
	data, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	m.pending = append(m.pending, data)
}

// append appends one pending record in any order. keep leaves it pending, as if
// the answer were lost and the writer appended a second copy.
func (m *model) append(t *rapid.T, keep bool) {
	if len(m.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "pending")
	data := m.pending[i]
	if !keep {
		m.pending = append(m.pending[:i], m.pending[i+1:]...)
	}
	outcome := m.reference.Apply(uint64(len(m.entries)), data)
	if key := outcome.InForce.Key; outcome.Kind == Published {
		if m.published[key] {
			t.Fatalf("record %s took effect twice", key)
		}
		m.published[key] = true
	}
	m.entries = append(m.entries, data)
	m.truth = append(m.truth, m.reference.inForce)
}

func (m *model) read(t *rapid.T, i int, reached map[Kind]int) {
	h := m.instances[i]
	h.RestartAt(m.oldest)
	if h.Next() > 0 && h.Next() > m.oldest && rapid.Bool().Draw(t, "again") {
		reached[h.Apply(h.Next()-1, m.entries[h.Next()-1]).Kind]++
	}
	for range rapid.IntRange(1, 4).Draw(t, "records") {
		if h.Next() >= uint64(len(m.entries)) {
			return
		}
		reached[h.Apply(h.Next(), m.entries[h.Next()]).Kind]++
	}
}

func (m *model) check(t *rapid.T) {
	for i, h := range m.instances {
		r := h.Current()
		if r.Number < m.highest[i] {
			t.Fatalf("instance %d went from revision %d to %d", i, m.highest[i], r.Number)
		}
		m.highest[i] = r.Number
		if digest, seen := m.contents[r.Number]; seen && digest != r.Digest {
			t.Fatalf("revision %d has two contents", r.Number)
		}
		m.contents[r.Number] = r.Digest
		if h.ConflictCount() > 0 {
			t.Fatalf("instance %d counted %d clashes", i, h.ConflictCount())
		}
		truth := m.truth[h.Next()]
		if h.Known() && (h.inForce.Number != truth.Number || h.inForce.Digest != truth.Digest) {
			t.Fatalf("instance %d folded revision %d before offset %d, in force was %d", i, h.inForce.Number, h.Next(), truth.Number)
		}
	}
}

// Two operators publish over the same revision at once. Without the check of the
// base, the second record would silently undo an accepted change.
func TestConflictNamesWinner(t *testing.T) {
	is := is.New(t)
	h := New()
	first := encode(t, Record{Publish: &Publish{Author: "asha", Key: "a", Manifest: []byte("one")}})
	second := encode(t, Record{Publish: &Publish{Author: "juma", Key: "b", Manifest: []byte("two")}})
	is.Equal(h.Apply(0, first).String(), `offset=0 outcome=Published revision=1 author="asha" published=0`)
	is.Equal(h.Apply(1, second).String(), `offset=1 outcome=Void revision=1 author="asha" published=0`)
	is.Equal(h.Apply(2, first).Kind, Repeated) // a copy after a lost answer
	is.Equal(string(h.Current().Manifest), "one")
}

// In a rolling upgrade a newer instance publishes a record of a newer version
// over revision 0, and an operator publishes over revision 0 too. If an older
// instance skipped the record that it can't read, two instances would hold
// different contents under one revision.
func TestNewerVersionIsUnknown(t *testing.T) {
	is := is.New(t)
	newer, err := cbor.Marshal(map[int]any{0: Version + 1, 9: "new"})
	is.NoErr(err)
	h := New()
	restate, ok := h.Restate()
	is.True(ok)
	is.Equal(h.Apply(0, newer).Kind, Unknown)
	is.Equal(h.Apply(1, encode(t, Record{Publish: &Publish{Author: "juma", Key: "b", Manifest: []byte("two")}})).Kind, Unknown)
	is.Equal(h.Apply(2, encode(t, restate)).Kind, Stale) // written before the newer record
	is.Equal(h.Current().Number, uint64(0))
	is.Equal(h.Apply(3, []byte("damaged")).Kind, Ignored)
}

// An instance that is cut off receives an old, a damaged and a diverging copy
// from peers. Without checks it would return to an older configuration or differ
// from the others.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	h := New()
	two, other := []byte("two"), []byte("other")
	is.True(h.Adopt(2, xxhash.Sum64(two), two))
	is.True(!h.Adopt(1, xxhash.Sum64(other), other)) // older
	is.True(!h.Adopt(3, xxhash.Sum64(two), other))   // damaged
	is.Equal(h.ConflictCount(), uint64(0))
	is.True(!h.Adopt(2, xxhash.Sum64(other), other)) // diverging
	is.Equal(h.ConflictCount(), uint64(1))
	is.Equal(h.Current().Manifest, two)
}

func encode(t *testing.T, r Record) []byte {
	t.Helper()
	data, err := Encode(r)
	is.New(t).NoErr(err)
	return data
}
