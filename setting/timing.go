package setting

import "time"

// Timing holds all durations that the daemon's behaviour depends on.
type Timing struct {
	Heartbeat time.Duration
	Suspicion time.Duration
	Lease     time.Duration
	Task      time.Duration
	Drift     time.Duration
	Isolation time.Duration
	Tail      time.Duration
	Append    time.Duration
	Snapshot  time.Duration
	Drain     time.Duration
}

// timing describes a field of Timing.
type timing struct {
	key          string
	defaultValue time.Duration
	meaning      string
	field        func(*Timing) *time.Duration
}

var timings = []timing{
	{"heartbeat", time.Second, "time between heartbeats to each peer", func(t *Timing) *time.Duration { return &t.Heartbeat }},
	{"suspicion", 3 * time.Second, "silence after which a peer is suspected", func(t *Timing) *time.Duration { return &t.Suspicion }},
	{"lease", 6 * time.Second, "lease of a worker; renewed after a third of it", func(t *Timing) *time.Duration { return &t.Lease }},
	{"task", time.Minute, "lease of a batch task, which outlives the worker's lease", func(t *Timing) *time.Duration { return &t.Task }},
	{"drift", 200 * time.Millisecond, "bound on how far two clocks drift apart during a lease", func(t *Timing) *time.Duration { return &t.Drift }},
	{"isolation", 30 * time.Minute, "how long batch leases are renewed since the log was last read; a lost zone's work waits this long", func(t *Timing) *time.Duration { return &t.Isolation }},
	{"tail", 200 * time.Millisecond, "time between reads of a stream's tail", func(t *Timing) *time.Duration { return &t.Tail }},
	{"append", 250 * time.Millisecond, "least time between two appends, which bounds their rate", func(t *Timing) *time.Duration { return &t.Append }},
	{"snapshot", 5 * time.Minute, "time between snapshots of a zone stream", func(t *Timing) *time.Duration { return &t.Snapshot }},
	{"drain", 30 * time.Second, "how long a graceful shutdown may take", func(t *Timing) *time.Duration { return &t.Drain }},
}

// relation is a condition on the durations of a Timing. A violation is reported at the
// first of the keys that the file sets.
type relation struct {
	keys   []string
	holds  func(Timing) bool
	reason string
}

var relations = []relation{
	{
		[]string{"suspicion", "heartbeat"},
		func(t Timing) bool { return t.Suspicion >= 3*t.Heartbeat },
		"suspicion must be at least three heartbeats, so that one lost heartbeat raises none",
	},
	{
		[]string{"lease", "drift"},
		func(t Timing) bool { return t.Lease >= 3*t.Drift },
		"lease must be at least three times drift, or it ends before its first renewal",
	},
	{
		[]string{"lease", "heartbeat"},
		func(t Timing) bool { return t.Lease >= 3*t.Heartbeat },
		"lease must be at least three heartbeats, or a short pause loses the worker",
	},
	{
		[]string{"task", "lease", "drift"},
		func(t Timing) bool { return t.Task > t.Lease+t.Drift },
		"task must be longer than lease plus drift, so that tasks outlive a change of owner",
	},
	{
		[]string{"isolation", "task"},
		func(t Timing) bool { return t.Isolation > t.Task },
		"isolation must be longer than task, or an outage of the log stops tasks that hold a lease",
	},
	{
		[]string{"isolation", "tail"},
		func(t Timing) bool { return t.Isolation > t.Tail },
		"isolation must be longer than tail, or batch leases lapse between two reads",
	},
	{
		[]string{"append"},
		func(t Timing) bool { return t.Append >= minInterval },
		"append must be at least 10ms, or appends outrun the log service",
	},
	{
		[]string{"tail"},
		func(t Timing) bool { return t.Tail >= minInterval },
		"tail must be at least 10ms, or reads outrun the log service",
	},
	{
		[]string{"heartbeat"},
		func(t Timing) bool { return t.Heartbeat >= minInterval },
		"heartbeat must be at least 10ms, or control takes more than its part of the instance",
	},
	{
		[]string{"snapshot", "append"},
		func(t Timing) bool { return t.Snapshot > t.Append },
		"snapshot must be longer than append, or there is nothing but snapshots",
	},
}

const minInterval = 10 * time.Millisecond

func defaultTiming() Timing {
	var t Timing
	for _, field := range timings {
		*field.field(&t) = field.defaultValue
	}
	return t
}
