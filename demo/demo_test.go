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

// secondsIn returns the time this many seconds into a run.
func secondsIn(seconds int) time.Time {
	return time.Unix(int64(seconds), 0)
}

func run(attempt uint32, start, end int, from, to time.Duration, state provider.TaskState) worker.Interval {
	return worker.Interval{Attempt: attempt, Start: secondsIn(start), End: secondsIn(end), From: from, To: to, State: state}
}

// TestLedgerFaults checks that each check of the ledger finds its violation, and
// none in a valid ledger.
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
		taskRuns                       worker.TaskRuns
		overlap, incomplete, restarted bool
	}{
		{"in order", worker.TaskRuns{Runs: good}, false, false, false},
		{"overlapping", worker.TaskRuns{Runs: good, Overlap: true}, true, false, false},
		{"never done", worker.TaskRuns{Runs: good[:1]}, false, true, false},
		{"done twice", worker.TaskRuns{Runs: again}, false, true, false},
		{"attempt repeated", worker.TaskRuns{Runs: repeated}, false, false, true},
		{"beyond the checkpoint", worker.TaskRuns{Runs: ahead}, false, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.taskRuns.Task = "t"
			ledger := worker.Ledger{Tasks: []worker.TaskRuns{test.taskRuns}}
			s := &scenario{workload: &workload{tasks: map[string]record.Task{"t": {}}}}
			is.Equal(len(overlaps(ledger)) > 0, test.overlap)
			is.Equal(len(s.incomplete(ledger)) > 0, test.incomplete)
			is.Equal(len(invalidRestarts(ledger)) > 0, test.restarted)
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
		{"side by side", []change{{secondsIn(0), one}, {secondsIn(1), two}, {secondsIn(2), none.Sub(one)}}, one.Add(two)},
		{"one after the other", []change{{secondsIn(0), one}, {secondsIn(1), one}, {secondsIn(1), none.Sub(one)}}, one},
		{"each resource by itself", []change{{secondsIn(0), one}, {secondsIn(1), none.Sub(one)}, {secondsIn(2), two}}, resource.Vector{Processors: 2, Memory: 10}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(peak(test.changes), test.want)
		})
	}
}

func TestWatchFindsRollback(t *testing.T) {
	is := is.New(t)
	w := newWatch(nil)
	for _, revision := range []uint64{0, 1, 1, 3} {
		w.checkRevision("e", revision)
	}
	is.Equal(len(w.rollbacks), 0)
	w.checkRevision("e", 2)
	is.Equal(len(w.rollbacks), 1)
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

// TestTiming checks that the shortened timing passes the validation of settings
// files.
func TestTiming(t *testing.T) {
	var b strings.Builder
	b.WriteString("instance: e\nzone: z\nlisten: {caller: '127.0.0.1:1', peer: '127.0.0.1:2', operator: '127.0.0.1:3'}\n")
	b.WriteString("platform: {log: '127.0.0.1:4', list: '127.0.0.1:5'}\ntiming:\n")
	fmt.Fprintf(&b, "  heartbeat: %v\n  suspicion: %v\n  lease: %v\n  task: %v\n  drift: %v\n",
		timing.HeartbeatInterval, timing.SuspicionTimeout, timing.Lease, timing.TaskLease, timing.MaxDrift)
	fmt.Fprintf(&b, "  isolation: %v\n  tail: %v\n  append: %v\n  snapshot: %v\n  drain: %v\n",
		timing.MaxIsolation, timing.TailInterval, timing.AppendInterval, timing.SnapshotInterval, timing.DrainTimeout)
	s, err := setting.Parse("demo.yaml", []byte(b.String()))
	is.New(t).NoErr(err)
	is.New(t).Equal(s.Timing, timing)
}

// TestManifests checks that the embedded manifests are valid successors of the
// first and keep its limits of batch work, which overShare relies on.
func TestManifests(t *testing.T) {
	first, err := manifest.Parse("first", readManifest("first"))
	is.New(t).NoErr(err)
	for _, name := range []string{"second", "shorter", "longer"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, err := manifest.Parse(name, readManifest(name))
			is.NoErr(err)
			is.NoErr(m.AssignZones(first))
			for _, zone := range zones {
				for _, b := range batches {
					is.Equal(m.Limits(zone)[b.group], first.Limits(zone)[b.group])
				}
			}
		})
	}
}
