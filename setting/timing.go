package setting

import "time"

// Timing holds all durations that the daemon's behaviour depends on.
type Timing struct {
	HeartbeatInterval time.Duration
	SuspicionTimeout  time.Duration
	Lease             time.Duration
	TaskLease         time.Duration
	MaxDrift          time.Duration
	MaxIsolation      time.Duration
	TailInterval      time.Duration
	AppendInterval    time.Duration
	SnapshotInterval  time.Duration
	DrainTimeout      time.Duration
}

// timing describes a field of Timing.
type timing struct {
	key          string
	defaultValue time.Duration
	meaning      string
	field        func(*Timing) *time.Duration
}

var timings = []timing{
	{"heartbeat", time.Second, "time between heartbeats to each peer", func(t *Timing) *time.Duration { return &t.HeartbeatInterval }},
	{"suspicion", 3 * time.Second, "silence after which a peer is suspected", func(t *Timing) *time.Duration { return &t.SuspicionTimeout }},
	{"lease", 6 * time.Second, "lease of a worker; renewed after a third of it", func(t *Timing) *time.Duration { return &t.Lease }},
	{"task", time.Minute, "lease of a batch task, which outlives the worker's lease", func(t *Timing) *time.Duration { return &t.TaskLease }},
	{"drift", 200 * time.Millisecond, "bound on how far two clocks drift apart during a lease", func(t *Timing) *time.Duration { return &t.MaxDrift }},
	{"isolation", 30 * time.Minute, "how long batch leases are renewed since the log was last read; a lost zone's work waits this long", func(t *Timing) *time.Duration { return &t.MaxIsolation }},
	{"tail", 200 * time.Millisecond, "time between reads of a stream's tail", func(t *Timing) *time.Duration { return &t.TailInterval }},
	{"append", 250 * time.Millisecond, "least time between two appends, which bounds their rate", func(t *Timing) *time.Duration { return &t.AppendInterval }},
	{"snapshot", 5 * time.Minute, "time between snapshots of a zone stream", func(t *Timing) *time.Duration { return &t.SnapshotInterval }},
	{"drain", 30 * time.Second, "how long a graceful shutdown may take", func(t *Timing) *time.Duration { return &t.DrainTimeout }},
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
		func(t Timing) bool { return t.SuspicionTimeout >= 3*t.HeartbeatInterval },
		"suspicion must be at least three heartbeats, so that one lost heartbeat raises none",
	},
	{
		[]string{"lease", "drift"},
		func(t Timing) bool { return t.Lease >= 3*t.MaxDrift },
		"lease must be at least three times drift, or it ends before its first renewal",
	},
	{
		[]string{"lease", "heartbeat"},
		func(t Timing) bool { return t.Lease >= 3*t.HeartbeatInterval },
		"lease must be at least three heartbeats, or a short pause loses the worker",
	},
	{
		[]string{"task", "lease", "drift"},
		func(t Timing) bool { return t.TaskLease > t.Lease+t.MaxDrift },
		"task must be longer than lease plus drift, so that tasks outlive a change of owner",
	},
	{
		[]string{"isolation", "task"},
		func(t Timing) bool { return t.MaxIsolation > t.TaskLease },
		"isolation must be longer than task, or an outage of the log stops tasks that hold a lease",
	},
	{
		[]string{"isolation", "tail"},
		func(t Timing) bool { return t.MaxIsolation > t.TailInterval },
		"isolation must be longer than tail, or batch leases lapse between two reads",
	},
	{
		[]string{"append"},
		func(t Timing) bool { return t.AppendInterval >= minInterval },
		"append must be at least 10ms, or appends outrun the log service",
	},
	{
		[]string{"tail"},
		func(t Timing) bool { return t.TailInterval >= minInterval },
		"tail must be at least 10ms, or reads outrun the log service",
	},
	{
		[]string{"heartbeat"},
		func(t Timing) bool { return t.HeartbeatInterval >= minInterval },
		"heartbeat must be at least 10ms, or control takes more than its part of the instance",
	},
	{
		[]string{"snapshot", "append"},
		func(t Timing) bool { return t.SnapshotInterval > t.AppendInterval },
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
