package demo

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/manifest"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/setting"
	"github.com/dogwoodladder/dogwoodladder/standin/caller"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

// moment returns a time so many seconds into a run.
func moment(seconds int) time.Time {
	return time.Unix(int64(seconds), 0)
}

func run(attempt uint32, start, end int, from, to time.Duration, state provider.TaskState) worker.Interval {
	return worker.Interval{Attempt: attempt, Start: moment(start), End: moment(end), From: from, To: to, State: state}
}

// TestLedgerFaults shows that each check of the ledger finds what it is for,
// and nothing in a run that is in order.
func TestLedgerFaults(t *testing.T) {
	good := []worker.Interval{
		run(1, 0, 2, 0, 2*time.Second, provider.TaskStopped),
		run(3, 2, 4, 2*time.Second, 4*time.Second, provider.TaskDone),
	}
	again := append(good[:2:2], run(4, 5, 6, 0, time.Second, provider.TaskDone))
	repeated := []worker.Interval{good[0], run(1, 2, 4, 0, 2*time.Second, provider.TaskDone)}
	ahead := []worker.Interval{good[0], run(2, 2, 4, 3*time.Second, 4*time.Second, provider.TaskDone)}
	tests := []struct {
		name                           string
		account                        worker.Account
		overlap, incomplete, restarted bool
	}{
		{"in order", worker.Account{Runs: good}, false, false, false},
		{"overlapping", worker.Account{Runs: good, Overlap: true}, true, false, false},
		{"never done", worker.Account{Runs: good[:1]}, false, true, false},
		{"done twice", worker.Account{Runs: again}, false, true, false},
		{"attempt repeated", worker.Account{Runs: repeated}, false, false, true},
		{"beyond the checkpoint", worker.Account{Runs: ahead}, false, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.account.Task = "t"
			ledger := worker.Ledger{Tasks: []worker.Account{test.account}}
			s := &scenario{work: &workload{tasks: map[string]record.Task{"t": {}}}}
			is.Equal(len(overlaps(ledger)) > 0, test.overlap)
			is.Equal(len(s.incomplete(ledger)) > 0, test.incomplete)
			is.Equal(len(restarts(ledger)) > 0, test.restarted)
		})
	}
}

func TestPeak(t *testing.T) {
	one := resource.Vector{Processors: 1, Memory: 10}
	two := resource.Vector{Processors: 2, Memory: 1}
	none := resource.Vector{}
	tests := []struct {
		name    string
		changes []change
		want    resource.Vector
	}{
		{"side by side", []change{{moment(0), one}, {moment(1), two}, {moment(2), none.Sub(one)}}, one.Add(two)},
		{"one after the other", []change{{moment(0), one}, {moment(1), one}, {moment(1), none.Sub(one)}}, one},
		{"each resource by itself", []change{{moment(0), one}, {moment(1), none.Sub(one)}, {moment(2), two}}, resource.Vector{Processors: 2, Memory: 10}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(peak(test.changes), test.want)
		})
	}
}

func TestWatchSeesRevisionGoBack(t *testing.T) {
	is := is.New(t)
	w := newWatch(nil)
	for _, revision := range []uint64{0, 1, 1, 3} {
		w.see("e", revision)
	}
	is.Equal(len(w.backward), 0)
	w.see("e", 2)
	is.Equal(len(w.backward), 1)
}

func TestCutOff(t *testing.T) {
	tests := []struct {
		outcome caller.Outcome
		want    int
	}{
		{caller.Answered, 0},
		{caller.Refused, 0},
		{caller.Unsent, 0},
		{caller.MayHaveRun, 1},
		{caller.Truncated, 1},
		{caller.Foreign, 1},
	}
	for _, test := range tests {
		t.Run(test.outcome.String(), func(t *testing.T) {
			is.New(t).Equal(len(cutOff([]caller.Try{{Outcome: test.outcome}})), test.want)
		})
	}
}

func TestVerdict(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := newReport(&out)
	is.True(r.verdict("kept", nil))
	is.True(!r.verdict("lost", []string{"why"}))
	is.Equal(out.String(), "  ok      kept\n  BROKEN  lost (1)\n            why\n")
}

// TestTiming holds the shortened timing to the relations that a settings file
// has to keep.
func TestTiming(t *testing.T) {
	var b strings.Builder
	b.WriteString("instance: e\nzone: z\nlisten: {caller: '127.0.0.1:1', peer: '127.0.0.1:2', operator: '127.0.0.1:3'}\n")
	b.WriteString("platform: {log: '127.0.0.1:4', list: '127.0.0.1:5'}\ntiming:\n")
	fmt.Fprintf(&b, "  heartbeat: %v\n  suspicion: %v\n  lease: %v\n  task: %v\n  drift: %v\n",
		timing.Heartbeat, timing.Suspicion, timing.Lease, timing.Task, timing.Drift)
	fmt.Fprintf(&b, "  isolation: %v\n  tail: %v\n  append: %v\n  snapshot: %v\n  drain: %v\n",
		timing.Isolation, timing.Tail, timing.Append, timing.Snapshot, timing.Drain)
	s, err := setting.Parse("demo.yaml", []byte(b.String()))
	is.New(t).NoErr(err)
	is.New(t).Equal(s.Timing, timing)
}

// TestManifests checks the embedded manifests, and that they leave the limits
// of batch work as they are, which the check of shares relies on.
func TestManifests(t *testing.T) {
	first, err := manifest.Parse("first", read("first"))
	is.New(t).NoErr(err)
	for _, name := range []string{"second", "shorter", "longer"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, err := manifest.Parse(name, read(name))
			is.NoErr(err)
			is.NoErr(m.Follow(first))
			for _, zone := range zones {
				for _, b := range batches {
					is.Equal(m.Limits(zone)[b.group], first.Limits(zone)[b.group])
				}
			}
		})
	}
}
