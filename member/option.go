package member

import "time"

// Defaults. An instance of the same availability zone is declared dead after
// suspicion plus confirmation (5 s), shortly before its leases of 6 s end.
const (
	defaultHeartbeat    = time.Second
	defaultSuspicion    = 3 * time.Second
	defaultConfirmation = 2 * time.Second
	defaultJoinDelay    = 5 * time.Second
	defaultListGrace    = 5 * time.Second
	defaultRetention    = 10 * time.Minute
	defaultLimit        = 256
)

// RemoteHeartbeatFactor is the default ratio of the heartbeat interval to other
// availability zones to that within the zone.
const RemoteHeartbeatFactor = 10

// Bounds that are not settings.
const (
	maxFree      = 1024 // services in one heartbeat
	maxName      = 128  // bytes of an ID, availability zone or address
	maxDoublings = 3    // of the join delay after repeated deaths

	resetFactor = 10 // a member's deaths are reset after it was live for this many times the join delay
)

type settings struct {
	heartbeat       time.Duration
	remoteHeartbeat time.Duration
	suspicion       time.Duration
	confirmation    time.Duration
	baseJoinDelay   time.Duration
	listGrace       time.Duration
	retention       time.Duration
	limit           int
}

// Option sets up a Table.
type Option func(*settings)

// WithHeartbeat sets the interval of heartbeats within the availability zone.
func WithHeartbeat(d time.Duration) Option {
	return func(s *settings) { s.heartbeat = d }
}

// WithRemoteHeartbeat sets the interval of heartbeats to other availability
// zones. The default is ten times that within the zone. Suspicion and
// confirmation of their members are longer by the ratio of the two intervals.
func WithRemoteHeartbeat(d time.Duration) Option {
	return func(s *settings) { s.remoteHeartbeat = d }
}

// WithSuspicion sets how long a member may be silent before it is suspected.
func WithSuspicion(d time.Duration) Option {
	return func(s *settings) { s.suspicion = d }
}

// WithConfirmation sets how long a suspect has to send a heartbeat before it is
// declared dead.
func WithConfirmation(d time.Duration) Option {
	return func(s *settings) { s.confirmation = d }
}

// WithJoinDelay sets how long a member must send heartbeats without a gap
// before it owns workers. It doubles, at most three times, with each death that
// soon follows another.
func WithJoinDelay(d time.Duration) Option {
	return func(s *settings) { s.baseJoinDelay = d }
}

// WithListGrace sets how long members of the first list count as owners without
// a heartbeat.
func WithListGrace(d time.Duration) Option {
	return func(s *settings) { s.listGrace = d }
}

// WithRetention sets how long a dead or left member is kept after it is no
// longer on the list.
func WithRetention(d time.Duration) Option {
	return func(s *settings) { s.retention = d }
}

// WithLimit bounds the number of members.
func WithLimit(n int) Option {
	return func(s *settings) { s.limit = n }
}

func newSettings(opts []Option) settings {
	s := settings{
		heartbeat:     defaultHeartbeat,
		suspicion:     defaultSuspicion,
		confirmation:  defaultConfirmation,
		baseJoinDelay: defaultJoinDelay,
		listGrace:     defaultListGrace,
		retention:     defaultRetention,
		limit:         defaultLimit,
	}
	for _, opt := range opts {
		opt(&s)
	}
	if s.remoteHeartbeat <= 0 {
		s.remoteHeartbeat = RemoteHeartbeatFactor * s.heartbeat
	}
	return s
}

// interval returns the time between heartbeats to a member.
func (s *settings) interval(remote bool) time.Duration {
	if remote {
		return s.remoteHeartbeat
	}
	return s.heartbeat
}

// scale multiplies a duration by the ratio of the remote heartbeat interval to
// the local one if the member is remote.
func (s *settings) scale(d time.Duration, remote bool) time.Duration {
	if !remote || s.heartbeat <= 0 {
		return d
	}
	return time.Duration(float64(d) * float64(s.remoteHeartbeat) / float64(s.heartbeat))
}
