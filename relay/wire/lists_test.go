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

// Checks that the receiving end restores the same runs and ends for any sequence of
// answers, although each run is sent in full only once.
func TestListsAreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		near, far := wire.NewRunLists(), wire.NewRunLists()
		for range rapid.IntRange(1, 8).Draw(t, "answers") {
			host := rapid.Uint64Range(0, 1).Draw(t, "host")
			held := drawHeld(t)
			data, err := wire.Encode(wire.Results{Results: []wire.Result{{Host: host, Held: near.Encode(host, held)}}})
			if err != nil {
				t.Fatal(err)
			}
			message, err := wire.Decode[wire.Results](data)
			if err != nil {
				t.Fatal(err)
			}
			got, err := far.Decode(host, message.Results[0].Held)
			if err != nil {
				t.Fatal(err)
			}
			checkEqual(t, got, held)
		}
	})
}

func drawHeld(t *rapid.T) provider.HoldResult {
	held := provider.HoldResult{
		StartedAt: rapid.Uint64Range(0, 1<<41).Draw(t, "born"),
		Clock:     rapid.Int64Range(0, 1<<40).Draw(t, "clock"),
		MoreEnded: rapid.Bool().Draw(t, "more"),
	}
	for _, task := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 0, 5, rapid.ID).Draw(t, "tasks") {
		held.Running = append(held.Running, provider.Run{
			Task:        task,
			Attempt:     rapid.Uint64Range(1, 2).Draw(t, "attempt"),
			Checkpoint:  rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "checkpoint"),
			Percent:     rapid.IntRange(0, 100).Draw(t, "percent"),
			TailLatency: time.Duration(rapid.Int64Range(0, 90).Draw(t, "tail")) * time.Millisecond,
			Processors:  rapid.Int64Range(0, 64000).Draw(t, "processors"),
		})
	}
	for n := range rapid.IntRange(0, 3).Draw(t, "ends") {
		held.Ended = append(held.Ended, provider.EndedRun{Number: uint64(n), Task: "z", Attempt: 4, End: provider.EndFailed, Checkpoint: "q"})
	}
	return held
}

// checkEqual compares answers; the order of runs may differ.
func checkEqual(t *rapid.T, got, want provider.HoldResult) {
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
	if got.Clock != want.Clock || got.MoreEnded != want.MoreEnded || len(got.Ended) != len(want.Ended) {
		t.Fatalf("%+v, want %+v", got, want)
	}
	for i := range got.Ended {
		if got.Ended[i] != want.Ended[i] {
			t.Fatalf("%+v, want %+v", got.Ended[i], want.Ended[i])
		}
	}
}

// Checks that a difference from an unknown list is rejected.
func TestUnknownListIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := wire.NewRunLists().Decode(1, &wire.Held{Kept: []wire.Kept{{Index: 0}}})
	is.True(fault.Is(err, fault.Invalid))
	_, err = wire.NewRunLists().Decode(1, &wire.Held{Kept: []wire.Kept{{Index: -1}}})
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
		lists := wire.NewRunLists()
		for _, r := range results.Results {
			if r.Held != nil {
				_, _ = lists.Decode(r.Host, r.Held)
			}
		}
	})
}
