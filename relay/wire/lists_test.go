package wire_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/relay/wire"
)

// Whatever a worker answers, the other end has the same runs and ends, though a run
// is sent whole once only.
func TestListsAreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		near, far := wire.NewLists(), wire.NewLists()
		for range rapid.IntRange(1, 8).Draw(t, "answers") {
			host := rapid.Uint64Range(0, 1).Draw(t, "host")
			held := drawHeld(t)
			data, err := wire.Encode(wire.Results{Results: []wire.Result{{Host: host, Held: near.Shrink(host, held)}}})
			if err != nil {
				t.Fatal(err)
			}
			message, err := wire.Decode[wire.Results](data)
			if err != nil {
				t.Fatal(err)
			}
			got, err := far.Restore(host, message.Results[0].Held)
			if err != nil {
				t.Fatal(err)
			}
			same(t, got, held)
		}
	})
}

func drawHeld(t *rapid.T) provider.Held {
	held := provider.Held{
		Born:  rapid.Uint64Range(0, 1<<41).Draw(t, "born"),
		Clock: rapid.Int64Range(0, 1<<40).Draw(t, "clock"),
	}
	for _, task := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 0, 5, rapid.ID).Draw(t, "tasks") {
		held.Running = append(held.Running, provider.Run{
			Task:       task,
			Attempt:    rapid.Uint64Range(1, 2).Draw(t, "attempt"),
			Checkpoint: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "checkpoint"),
			Percent:    rapid.IntRange(0, 100).Draw(t, "percent"),
			Tail:       time.Duration(rapid.Int64Range(0, 90).Draw(t, "tail")) * time.Millisecond,
			Processors: rapid.Int64Range(0, 64000).Draw(t, "processors"),
		})
	}
	for n := range rapid.IntRange(0, 3).Draw(t, "ends") {
		held.Ended = append(held.Ended, provider.Ended{Number: uint64(n), Task: "z", Attempt: 4, How: provider.EndFailed, Checkpoint: "q"})
	}
	return held
}

// same compares answers; runs may come in another order.
func same(t *rapid.T, got, want provider.Held) {
	runs := make(map[provider.Run]int)
	for _, r := range want.Running {
		runs[r]++
	}
	for _, r := range got.Running {
		runs[r]--
	}
	for r, n := range runs {
		if n != 0 {
			t.Fatalf("run %+v: %d", r, n)
		}
	}
	if got.Clock != want.Clock || len(got.Ended) != len(want.Ended) {
		t.Fatalf("%+v, want %+v", got, want)
	}
	for i := range got.Ended {
		if got.Ended[i] != want.Ended[i] {
			t.Fatalf("%+v, want %+v", got.Ended[i], want.Ended[i])
		}
	}
}

// A difference from a list that isn't known is no list.
func TestListThatIsNotKnown(t *testing.T) {
	is := is.New(t)
	_, err := wire.NewLists().Restore(1, &wire.Held{Kept: []wire.Kept{{Index: 0}}})
	is.True(fault.Is(err, fault.Invalid))
	_, err = wire.NewLists().Restore(1, &wire.Held{Kept: []wire.Kept{{Index: -1}}})
	is.True(fault.Is(err, fault.Invalid))
}

func FuzzDecode(f *testing.F) {
	data, err := wire.Encode(wire.Orders{Sent: 1, Hosts: []wire.Host{{Number: 1, ID: "w"}}, Orders: []wire.Order{{Number: 2, Kind: wire.Start, Task: "t"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = wire.Decode[wire.Orders](data)
		results, err := wire.Decode[wire.Results](data)
		if err != nil {
			return
		}
		lists := wire.NewLists()
		for _, r := range results.Results {
			if r.Held != nil {
				_, _ = lists.Restore(r.Host, r.Held)
			}
		}
	})
}
