package speculation_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodladder/dogwoodladder/speculation"
)

const (
	ms          = time.Millisecond
	workerCores = 16_000 // thousandths of a core
	taskCores   = 2_700
)

// seconds returns n run times of one second.
func seconds(n int) []time.Duration {
	return slices.Repeat([]time.Duration{time.Second}, n)
}

// idle is a pool of ten workers of which more than half is free, busy one of which less is.
var (
	idle = speculation.Pool{Total: 10 * workerCores, Free: 9 * workerCores}
	busy = speculation.Pool{Total: 10 * workerCores, Free: 4 * workerCores, Waiting: true}
)

// percentAt returns a run that reported a percentage just now.
func percentAt(elapsed time.Duration, percent int) speculation.Run {
	return speculation.Run{Elapsed: elapsed, Percent: percent, ReportedAt: elapsed}
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name string
		step speculation.Step
		run  speculation.Run
		pool speculation.Pool
		want speculation.Reason
	}{
		{"a run of a seventh of the speed", speculation.Step{Tasks: 10, Ended: seconds(9)}, percentAt(1100*ms, 15), busy, speculation.Slow},
		{"a run at full speed", speculation.Step{Tasks: 10, Ended: seconds(9)}, percentAt(500*ms, 50), busy, speculation.None},
		{"too few siblings ended", speculation.Step{Tasks: 10, Ended: seconds(2)}, percentAt(1100*ms, 15), busy, speculation.None},
		{"three of four siblings ended", speculation.Step{Tasks: 4, Ended: seconds(3)}, percentAt(1100*ms, 15), busy, speculation.Slow},
		{"half of four tasks ended", speculation.Step{Tasks: 4, Ended: seconds(2)}, percentAt(1100*ms, 15), busy, speculation.Slow},
		{"less than half of five tasks ended", speculation.Step{Tasks: 5, Ended: seconds(2)}, percentAt(1100*ms, 15), busy, speculation.None},
		{"a single task has no siblings", speculation.Step{Tasks: 1}, percentAt(1100*ms, 15), busy, speculation.None},
		{"one and a half times as long, nearly", speculation.Step{Tasks: 20, Ended: seconds(9)}, percentAt(1000*ms, 40), idle, speculation.None},
		{"1.4 times in a small step", speculation.Step{Tasks: 10, Ended: seconds(9)}, percentAt(1000*ms, 40), idle, speculation.Slow},
		{"1.4 times in a small step of a busy pool", speculation.Step{Tasks: 10, Ended: seconds(9)}, percentAt(1000*ms, 40), busy, speculation.None},
		{"the saving is too small", speculation.Step{Tasks: 10, Ended: slices.Repeat([]time.Duration{200 * ms}, 9)}, percentAt(200*ms, 30), busy, speculation.None},
		{"no progress reported, twice the median", speculation.Step{Tasks: 10, Ended: seconds(9)}, speculation.Run{Elapsed: 2 * time.Second}, busy, speculation.Slow},
		{"no progress reported, just over the median", speculation.Step{Tasks: 10, Ended: seconds(9)}, speculation.Run{Elapsed: 1100 * ms}, busy, speculation.None},
		{"no progress reported, siblings took as long", speculation.Step{Tasks: 10, Ended: []time.Duration{time.Second, time.Second, time.Second, 2200 * ms}}, speculation.Run{Elapsed: 2 * time.Second}, busy, speculation.None},
		{"most of the work is in a checkpoint", speculation.Step{Tasks: 10, Ended: seconds(9)}, speculation.Run{Elapsed: 3 * time.Second, From: 60, Percent: 70, ReportedAt: 3 * time.Second, Checkpoint: 70}, busy, speculation.Slow},
		{"progress since a checkpoint only", speculation.Step{Tasks: 10, Ended: seconds(9)}, speculation.Run{Elapsed: 300 * ms, From: 60, Percent: 89, ReportedAt: 300 * ms}, busy, speculation.None},
		{"early, by runs of the same kind", speculation.Step{Tasks: 10, Similar: time.Second}, percentAt(300*ms, 4), busy, speculation.SlowEarly},
		{"early, two siblings ended", speculation.Step{Tasks: 10, Ended: seconds(2), Similar: time.Second}, percentAt(1100*ms, 15), busy, speculation.SlowEarly},
		{"early, the two that ended were faster than others of the kind", speculation.Step{Tasks: 10, Ended: []time.Duration{100 * ms, 100 * ms}, Similar: time.Second}, percentAt(1000*ms, 40), idle, speculation.None},
		{"early, a remaining time of 1.9 times", speculation.Step{Tasks: 10, Similar: time.Second}, percentAt(1000*ms, 33), idle, speculation.None},
		{"early, at full speed", speculation.Step{Tasks: 10, Similar: time.Second}, percentAt(300*ms, 30), busy, speculation.None},
		{"early, no progress reported", speculation.Step{Tasks: 10, Similar: time.Second}, speculation.Run{Elapsed: 3 * time.Second}, busy, speculation.None},
		{"early, the saving is too small", speculation.Step{Tasks: 10, Similar: 200 * ms}, percentAt(200*ms, 30), busy, speculation.None},
		{"early, by an estimate only", speculation.Step{Tasks: 10, Estimate: time.Second}, percentAt(300*ms, 4), busy, speculation.None},
		{"enough siblings ended, and are slower than others of the kind", speculation.Step{Tasks: 10, Ended: slices.Repeat([]time.Duration{5 * time.Second}, 3), Similar: time.Second}, percentAt(1100*ms, 20), idle, speculation.None},
		{"a worker that is silent", speculation.Step{Tasks: 10, Estimate: time.Second}, speculation.Run{Elapsed: 10 * ms, WorkerReason: speculation.Silent}, busy, speculation.Silent},
		{"a worker that leaves", speculation.Step{Tasks: 1, Estimate: time.Second}, speculation.Run{WorkerReason: speculation.Leaving}, busy, speculation.Leaving},
		{"two copies were started", speculation.Step{Tasks: 10, Ended: seconds(9)}, speculation.Run{Elapsed: 5 * time.Second, Starts: 2, WorkerReason: speculation.Silent}, busy, speculation.None},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := speculation.None
			for _, d := range tt.step.Decide([]speculation.Run{tt.run}, tt.pool) {
				got = d.Reason
			}
			is.Equal(got, tt.want)
		})
	}
}

func TestFreshTime(t *testing.T) {
	tests := []struct {
		name       string
		step       speculation.Step
		checkpoint int
		want       time.Duration
	}{
		{"the step's own runs", speculation.Step{Ended: []time.Duration{ms, 3 * ms, 9 * ms}, Similar: 5 * ms, Estimate: 7 * ms}, 0, 3 * ms},
		{"runs of the same kind", speculation.Step{Similar: 5 * ms, Estimate: 7 * ms}, 0, 5 * ms},
		{"the estimate", speculation.Step{Estimate: 7 * ms}, 0, 7 * ms},
		{"too few of the step's own runs", speculation.Step{Tasks: 10, Ended: []time.Duration{ms}, Similar: 5 * ms}, 0, 5 * ms},
		{"the step's only run, none of the same kind", speculation.Step{Tasks: 10, Ended: []time.Duration{ms}, Estimate: 7 * ms}, 0, ms},
		{"half of the work is saved", speculation.Step{Estimate: time.Second}, 50, 700 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := tt.step.Decide([]speculation.Run{{Checkpoint: tt.checkpoint, WorkerReason: speculation.Silent}}, idle)
			is.Equal(len(d), 1)
			is.Equal(d[0].Fresh, tt.want)
		})
	}
}

func TestDecisionsAreOrdered(t *testing.T) {
	is := is.New(t)
	step := speculation.Step{Tasks: 10, Ended: seconds(6)}
	silent := percentAt(1100*ms, 90)
	silent.WorkerReason = speculation.Silent
	runs := []speculation.Run{percentAt(1100*ms, 30), percentAt(1100*ms, 15), silent, percentAt(1100*ms, 99)}
	var order []int
	for _, d := range step.Decide(runs, idle) {
		order = append(order, d.Run)
	}
	is.Equal(order, []int{2, 1, 0})
	early := speculation.Decision{Rest: 9 * time.Second, Reason: speculation.SlowEarly}
	atRisk := speculation.Decision{Rest: time.Second, Reason: speculation.Silent}
	is.True(speculation.Compare(atRisk, early) < 0)
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var h speculation.History
	first := speculation.Kind{Queue: "q", Image: "first"}
	is.Equal(h.Median(first), time.Duration(0))
	for range 9 {
		h.Record(first, 9*time.Second)
	}
	is.Equal(h.Median(first), time.Duration(0)) // too few for a median
	h.Record(first, 9*time.Second)
	is.Equal(h.Median(first), 9*time.Second)
	for range 90 {
		h.Record(first, 9*time.Second)
	}
	for range 100 {
		h.Record(first, time.Second)
	}
	is.Equal(h.Median(first), time.Second) // old times are replaced
	for i := range 1000 {
		h.Record(speculation.Kind{Queue: "q", Image: string(rune('a' + i))}, time.Second)
	}
	is.Equal(h.Median(first), time.Duration(0)) // old kinds are dropped
}

// TestDecideProperties checks, for any run, that a copy of a run on a healthy worker is
// expected to save time, needs siblings, and is one of two at most, and that the budget is
// kept.
func TestDecideProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, name))
		}
		ended := make([]time.Duration, rapid.IntRange(0, 12).Draw(t, "ended"))
		for i := range ended {
			ended[i] = span("took")
		}
		slices.Sort(ended)
		step := speculation.Step{Tasks: max(1, len(ended)+rapid.IntRange(0, 5).Draw(t, "running")), Ended: ended, Similar: span("similar"), Estimate: span("estimate")}
		run := speculation.Run{
			Elapsed:      span("elapsed"),
			From:         rapid.IntRange(0, 100).Draw(t, "from"),
			FromAt:       span("from_at"),
			Percent:      rapid.IntRange(0, 100).Draw(t, "percent"),
			ReportedAt:   span("reported_at"),
			Checkpoint:   rapid.IntRange(0, 100).Draw(t, "checkpoint"),
			Starts:       rapid.IntRange(0, 3).Draw(t, "starts"),
			WorkerReason: speculation.Reason(rapid.SampledFrom([]uint8{0, 2, 3, 4}).Draw(t, "reason")),
		}
		pool := speculation.Pool{Total: 160_000, Free: rapid.Int64Range(0, 160_000).Draw(t, "free"), Waiting: rapid.Bool().Draw(t, "waiting")}
		for _, d := range step.Decide([]speculation.Run{run}, pool) {
			if d.Rest < 0 || d.Fresh < 0 || run.Starts >= 2 {
				t.Fatalf("%+v", d)
			}
			if d.Reason == speculation.Slow && (d.Saving() < 300*ms || len(ended) == 0) {
				t.Fatalf("%+v", d)
			}
			if d.Reason == speculation.SlowEarly && (d.Saving() < 300*ms || d.Rest <= 2*d.Fresh || step.Similar == 0 || len(ended) >= 3 || run.Percent <= run.From) {
				t.Fatalf("%+v", d)
			}
		}
		processors := rapid.Int64Range(1, 8_000).Draw(t, "processors")
		free := pool.Free
		for pool.Admits(processors) {
			pool.Copying += processors
			pool.Free -= processors
		}
		if pool.Copying*20 > free {
			t.Fatalf("copies use %d of %d", pool.Copying, free)
		}
	})
}

// load is a step of ten tasks of a second each, of which the first takes seven times as
// long where it is started first.
const (
	loadTasks    = 10
	loadSlowdown = 7
	loadReport   = time.Second      // between two reports of a worker on which nothing ends
	loadTick     = 100 * ms         // between two decisions
	loadEnd      = 10 * time.Second // of the simulation
)

// playLoad simulates the load on a pool and returns when the step ends, and the
// core-seconds of the runs that weren't used.
func playLoad(copies bool, pool speculation.Pool) (ended time.Duration, wasted float64) {
	step := speculation.Step{Tasks: loadTasks, Estimate: time.Second}
	slow := loadSlowdown * time.Second
	end, copiedAt := slow, time.Duration(0)
	for now := loadTick; now <= loadEnd; now += loadTick {
		if now == time.Second {
			step.Ended = seconds(loadTasks - 1)
		}
		if now >= end {
			if copiedAt > 0 {
				wasted = float64(taskCores) / 1000 * end.Seconds() // of the original
			}
			return end, wasted
		}
		reported := now.Truncate(loadReport)
		run := speculation.Run{Elapsed: now, Percent: int(100 * reported / slow), ReportedAt: reported}
		if copiedAt > 0 || !copies || len(step.Decide([]speculation.Run{run}, pool)) == 0 || !pool.Admits(taskCores) {
			continue
		}
		copiedAt = now
		end = min(end, now+time.Second)
	}
	return 0, 0
}

// Guards against a step that waits for one slow run, and against copies in a full pool.
func TestOneSlowRunOfTen(t *testing.T) {
	tests := []struct {
		name   string
		copies bool
		pool   speculation.Pool
		want   time.Duration
	}{
		{"without copies", false, idle, 7 * time.Second},
		{"with copies", true, idle, 2 * time.Second},
		{"with copies in a busy pool", true, speculation.Pool{Total: 100 * workerCores, Free: 20 * workerCores, Waiting: true}, 2 * time.Second},
		{"the pool is full", true, speculation.Pool{Total: 10 * workerCores, Waiting: true}, 7 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ended, wasted := playLoad(tt.copies, tt.pool)
			is.Equal(ended, tt.want)
			is.True(wasted <= taskCores/1000.0*2) // the original runs for 2 s
		})
	}
}

// shortTask returns how long a task of a step of ten tasks takes on a healthy worker: 0.85 s
// to 1 s.
func shortTask(index int) time.Duration {
	return 850*ms + time.Duration(index)*150*ms/(loadTasks-1)
}

// playShortTasks simulates a job of one step of ten short tasks, of which the last is a
// straggler. Its worker reports at the given interval. It returns when the job ends.
func playShortTasks(copies bool, similar, report time.Duration) time.Duration {
	const tick = 50 * ms // between two decisions
	step := speculation.Step{Tasks: loadTasks, Similar: similar, Estimate: time.Second}
	fresh := shortTask(loadTasks - 1)
	slow := loadSlowdown * fresh
	end, copied := slow, false
	for now := tick; now < end; now += tick {
		step.Ended = nil
		for i := range loadTasks - 1 {
			if shortTask(i) <= now {
				step.Ended = append(step.Ended, shortTask(i))
			}
		}
		reported := now.Truncate(report)
		run := speculation.Run{Elapsed: now, Percent: int(100 * reported / slow), ReportedAt: reported}
		if copies && !copied && len(step.Decide([]speculation.Run{run}, idle)) > 0 {
			copied = true
			end = min(end, now+fresh)
		}
	}
	return end
}

// Guards against a job of short tasks that waits for its siblings' ends although the history
// of its kind and its progress show earlier that a run is slow.
func TestStragglerOfShortTasks(t *testing.T) {
	const similar = 930 * ms
	tests := []struct {
		name    string
		copies  bool
		similar time.Duration
		report  time.Duration
		want    time.Duration
	}{
		{"without copies", false, similar, 250 * ms, 7 * time.Second},
		{"by siblings", true, 0, 250 * ms, 1900 * ms},
		{"by the history of the kind", true, similar, 250 * ms, 1250 * ms},
		{"by the history, reports of an idle worker", true, similar, time.Second, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(playShortTasks(tt.copies, tt.similar, tt.report), tt.want)
		})
	}
}
