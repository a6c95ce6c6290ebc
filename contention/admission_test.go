package contention_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/contention"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/overload"
)

func TestJudge(t *testing.T) {
	line := func(queue, zone string, priority int, waiting, rate float64) overload.Line {
		return overload.Line{Origin: overload.Origin{Queue: queue, Zone: zone, Priority: priority}, Waiting: waiting, Rate: rate}
	}
	pool := func(lines ...overload.Line) *overload.Pool { return &overload.Pool{Lines: lines} }
	two := []job.Step{{Count: 1, Estimate: 2 * time.Second}, {Count: 1, Estimate: 2 * time.Second, After: []int{0}}}
	// Its objective is 2 x 4 s + 1 s, so it is too late after 27 s, 23 s from its start.
	terms := job.Terms{Priority: 2, Stretch: 2, Objective: time.Second}
	filling := job.Job{Queue: "q", Zone: "x", Terms: terms, Steps: two}
	scheduled, lasting, unbounded := filling, filling, filling
	scheduled.Times = 1
	lasting.Steps = []job.Step{{Count: 1, Lasting: true}}
	unbounded.Terms, unbounded.Steps = job.Terms{Priority: 2}, []job.Step{{Count: 1}}
	tests := []struct {
		name       string
		pool       *overload.Pool
		job        job.Job
		start      time.Duration
		retryAfter time.Duration
	}{
		{"the pool isn't full", nil, filling, 0, 0},
		{"nothing waits", pool(line("q", "x", 2, 0, 100)), filling, 0, 0},
		{"in time", pool(line("q", "x", 2, 400, 100)), filling, 4 * time.Second, 0},
		{"only late", pool(line("q", "x", 2, 2300, 100)), filling, 23 * time.Second, 0},
		{"too late", pool(line("q", "x", 2, 3300, 100)), filling, 33 * time.Second, 15 * time.Second},
		{"too late by little", pool(line("q", "x", 2, 2301, 100)), filling, 23010 * time.Millisecond, 1500 * time.Millisecond},
		{"scheduled", pool(line("q", "x", 2, 3300, 100)), scheduled, 33 * time.Second, 0},
		{"lasting", pool(line("q", "x", 2, 3300, 100)), lasting, 33 * time.Second, 0},
		{"without an objective", pool(line("q", "x", 2, 3300, 100)), unbounded, 33 * time.Second, 0},
		{"less urgent work waits", pool(line("q", "x", 3, 3300, 100)), filling, 0, 0},
		{"more urgent work waits", pool(line("u", "x", 0, 3000, 100)), filling, 30 * time.Second, 10500 * time.Millisecond},
		{"both wait, some of its own starts", pool(line("u", "x", 0, 3000, 90), line("q", "x", 2, 100, 10)), filling, 10 * time.Second, 0},
		{"both wait, none of its own starts", pool(line("u", "x", 0, 3000, 100), line("q", "x", 2, 100, 0)), filling, 31 * time.Second, 12 * time.Second},
		{"nothing starts", pool(line("q", "x", 2, 1, 0)), filling, time.Minute, 55500 * time.Millisecond},
		{"another queue's work waits", pool(line("p", "x", 2, 3300, 50), line("q", "x", 2, 100, 50)), filling, 2 * time.Second, 0},
		{"another zone's work waits", pool(line("q", "y", 2, 3300, 50), line("q", "x", 2, 100, 50)), filling, 2 * time.Second, 0},
		{"its queue gets less than others", pool(line("p", "x", 2, 100, 90), line("q", "x", 2, 100, 1)), filling, 2197802197 * time.Nanosecond, 0},
		{"job without a zone", pool(line("q", "", 2, 400, 100)), job.Job{Queue: "q", Terms: terms, Steps: two}, 4 * time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := contention.Judge(tt.pool, &tt.job, 1)
			is.Equal(a.Start, tt.start)
			is.Equal(a.End, a.Start+job.CriticalPath(tt.job.Steps))
			is.Equal(a.TooLate, tt.retryAfter > 0)
			is.Equal(a.RetryAfter, tt.retryAfter)
			if a.TooLate {
				is.Equal(contention.Judge(tt.pool, &tt.job, 0).RetryAfter, tt.retryAfter*2/3) // the random part is up to half of the rest
			}
		})
	}
}
