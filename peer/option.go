package peer

import (
	"context"
	"net"
	"time"

	"github.com/dogwoodladder/dogwoodladder/member"
)

// Defaults. The silence timeouts are three heartbeat intervals within and
// across availability zones.
const (
	defaultSilence       = 3 * time.Second
	defaultRemoteSilence = 30 * time.Second
	defaultMinBackoff    = 200 * time.Millisecond
	defaultMaxBackoff    = 5 * time.Second
	defaultDialDelay     = 2 * time.Second
	defaultTimeout       = 2 * time.Second
)

// Bounds.
const (
	maxLinks      = 256
	maxQueue      = 64      // messages that wait on one link
	maxQueueBytes = 4 << 20 // their bytes
	maxReceived   = 256     // messages buffered in the channel of Received
)

// Dialer connects to an address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

type settings struct {
	self                 member.Self
	silenceTimeout       time.Duration
	remoteSilenceTimeout time.Duration
	minBackoff           time.Duration
	maxBackoff           time.Duration
	dialDelay            time.Duration
	timeout              time.Duration
	dial                 Dialer
}

// Option sets up a Mesh.
type Option func(*settings)

// WithSelf sets the identity of the instance.
func WithSelf(self member.Self) Option {
	return func(s *settings) { s.self = self }
}

// WithSilenceTimeouts sets the time without a received frame after which a
// connection is replaced, within the availability zone and across zones. On any
// connection a message other than a routine heartbeat must be confirmed within
// the former.
func WithSilenceTimeouts(zone, remote time.Duration) Option {
	return func(s *settings) {
		s.silenceTimeout = zone
		s.remoteSilenceTimeout = remote
	}
}

// WithBackoff sets the minimum and maximum time between dial attempts.
func WithBackoff(least, most time.Duration) Option {
	return func(s *settings) {
		s.minBackoff = least
		s.maxBackoff = most
	}
}

// WithDialDelay sets how long the higher ID waits for the lower one to dial.
func WithDialDelay(d time.Duration) Option {
	return func(s *settings) { s.dialDelay = d }
}

// WithTimeout bounds dialing including the handshake, and each write.
func WithTimeout(d time.Duration) Option {
	return func(s *settings) { s.timeout = d }
}

// WithDialer sets how connections are made.
func WithDialer(dial Dialer) Option {
	return func(s *settings) { s.dial = dial }
}

func newSettings(opts []Option) settings {
	s := settings{
		silenceTimeout:       defaultSilence,
		remoteSilenceTimeout: defaultRemoteSilence,
		minBackoff:           defaultMinBackoff,
		maxBackoff:           defaultMaxBackoff,
		dialDelay:            defaultDialDelay,
		timeout:              defaultTimeout,
		dial:                 (&net.Dialer{}).DialContext,
	}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}
