package peer

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func init() { // the same cases on every run
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// For any series of heartbeats on one connection, with services coming and
// going, the deltas must add up to the full heartbeat. Otherwise requests would
// be forwarded to slots that a peer doesn't have.
func TestBeatsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w beatWriter
		var r beatReader
		from := hello{ID: "a", AvailabilityZone: "z", Incarnation: 3}
		names := rapid.StringMatching("[a-d]{1,2}")
		for i := range rapid.IntRange(1, 20).Draw(t, "beats") {
			h := Heartbeat{
				ID:               from.ID,
				AvailabilityZone: from.AvailabilityZone,
				Incarnation:      from.Incarnation,
				Sequence:         uint64(i),
				Address:          rapid.SampledFrom([]string{"", "h:1"}).Draw(t, "address"),
				Revision:         rapid.Uint64Range(0, 2).Draw(t, "revision"),
				Leaving:          rapid.Bool().Draw(t, "leaving"),
				Free:             rapid.MapOfN(names, rapid.IntRange(0, 40), 0, 8).Draw(t, "free"),
			}
			b, err := w.write(h)
			if err != nil {
				t.Fatal(err)
			}
			data, err := encode(frame{Beat: b})
			if err != nil {
				t.Fatal(err)
			}
			f, err := decode(data)
			if err != nil {
				t.Fatal(err)
			}
			got, err := r.read(from, f.Beat)
			if err != nil {
				t.Fatal(err)
			}
			if !maps.EqualFunc(got.Free, h.Free, isNear) || got.Sequence != h.Sequence || got.Revision != h.Revision ||
				got.Leaving != h.Leaving || got.Address != h.Address || got.Incarnation != h.Incarnation {
				t.Fatalf("sent %+v, got %+v", h, got)
			}
		}
	})
}

// isNear reports whether a decoded number of slots is within the tolerance.
func isNear(got, sent int) bool {
	if sent <= 7 || got <= 7 {
		return got == sent
	}
	return max(got-sent, sent-got)*8 < got
}

// A peer sends new service names on one connection, or more and more services.
// If only single beats were bounded and not their sum, the memory of an instance
// would grow until it is killed.
func TestReaderIsBounded(t *testing.T) {
	for _, c := range []struct {
		name string
		gone bool // each beat removes the services of the previous one
	}{
		{"names", true},
		{"services", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var r beatReader
			var err error
			for i := uint(0); err == nil && i < 20; i++ {
				b := &beat{Free: map[uint]int{}}
				for j := range uint(500) {
					n := i*500 + j
					b.Names = append(b.Names, fmt.Sprint(n))
					b.Free[n] = 1
					if c.gone && i > 0 {
						b.Gone = append(b.Gone, n-500)
					}
				}
				_, err = r.read(hello{}, b)
			}
			is.True(err != nil)
			is.True(len(r.names) <= maxNames && len(r.last.Free) <= maxFree)
		})
	}
}

// The heartbeat intervals are based on these sizes.
func TestHeartbeatSize(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		services, changed, maxSize int
	}{
		{40, 0, 16},
		{40, 5, 40},
		{40, 40, 200},
	} {
		size := heartbeatSize(c.services, c.changed)
		t.Logf("%d of %d services changed: %d bytes with framing", c.changed, c.services, size)
		is.True(size <= c.maxSize)
	}
}

// heartbeatSize returns the size of a heartbeat after the first one on a
// connection, in bytes.
func heartbeatSize(services, changed int) int {
	var w beatWriter
	free := map[string]int{}
	for i := range services {
		free[fmt.Sprintf("group-%02d/service", i)] = 300
	}
	h := Heartbeat{Address: "10.0.0.1:7000", Revision: 123456, Digest: "0123456789abcdef", Sequence: 1_000_000, Free: free}
	if _, err := w.write(h); err != nil {
		panic(err)
	}
	h.Free = maps.Clone(free)
	for i := range changed {
		h.Free[fmt.Sprintf("group-%02d/service", i)] = 200
	}
	h.Sequence++
	b, err := w.write(h)
	if err != nil {
		panic(err)
	}
	data, err := encode(frame{Beat: b})
	if err != nil {
		panic(err)
	}
	return frameSize(len(data), true)
}

// Unknown keys in a frame of a newer version are ignored and the known ones kept.
func TestUnknownKeys(t *testing.T) {
	is := is.New(t)
	data, err := encoder.Marshal(map[int]any{5: map[int]any{1: "w", 2: 9, 77: "new"}, 99: []int{1}})
	is.NoErr(err)
	f, err := decode(data)
	is.NoErr(err)
	is.Equal(f.message(), Handover{Worker: "w", Epoch: 9})
	data, err = encoder.Marshal(map[int]any{99: []int{1}})
	is.NoErr(err)
	f, err = decode(data)
	is.NoErr(err)
	is.Equal(f.message(), nil)
}

// The decoder must reject any bad frame with an error, respect the bounds, and
// round-trip the frames that it accepts.
func FuzzDecode(f *testing.F) {
	seeds, err := filepath.Glob("testdata/frames/*.cbor")
	if err != nil || len(seeds) == 0 {
		f.Fatal("no seeds", err)
	}
	for _, name := range seeds {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := decode(data)
		if err != nil {
			return
		}
		again, err := encode(got)
		if err != nil {
			return // grew above the limit
		}
		same, err := decode(again)
		if err != nil {
			t.Fatal(err)
		}
		twice, err := encode(same)
		if err != nil || string(twice) != string(again) {
			t.Fatalf("%x became %x", again, twice)
		}
		if got.Beat == nil {
			return
		}
		var r beatReader
		for range 3 {
			h, err := r.read(hello{ID: "a"}, got.Beat)
			if err == nil && (len(h.Free) > maxFree || len(r.names) > maxNames) {
				t.Fatalf("%d services, %d names", len(h.Free), len(r.names))
			}
		}
	})
}
