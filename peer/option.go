package peer

import (
	"context"
	"net"
	"time"

	"github.com/dogwoodladder/dogwoodladder/member"
)

// Defaults. The silence bounds are three heartbeats within and across
// availability zones.
const (
	defaultSilence       = 3 * time.Second
	defaultRemoteSilence = 30 * time.Second
	defaultLeastBackoff  = 200 * time.Millisecond
	defaultMostBackoff   = 5 * time.Second
	defaultPatience      = 2 * time.Second
	defaultTimeout       = 2 * time.Second
)

// Bounds.
const (
	maxLinks      = 256
	maxQueue      = 64      // messages that wait on one link
	maxQueueBytes = 4 << 20 // their bytes
	maxReceived   = 256     // messages that wait to be taken from Received
)

// Dialer makes a connection to an address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

type settings struct {
	self          member.Self
	silence       time.Duration
	remoteSilence time.Duration
	leastBackoff  time.Duration
	mostBackoff   time.Duration
	patience      time.Duration
	timeout       time.Duration
	dial          Dialer
}

// Option sets up a Mesh.
type Option func(*settings)

// WithSelf names the instance.
func WithSelf(self member.Self) Option {
	return func(s *settings) { s.self = self }
}

// WithSilence sets after how long without a frame a link is made anew, within
// the availability zone and across zones. What isn't a routine heartbeat must
// be confirmed within the former on any link.
func WithSilence(zone, remote time.Duration) Option {
	return func(s *settings) {
		s.silence = zone
		s.remoteSilence = remote
	}
}

// WithBackoff sets the least and the most time between attempts to link.
func WithBackoff(least, most time.Duration) Option {
	return func(s *settings) {
		s.leastBackoff = least
		s.mostBackoff = most
	}
}

// WithPatience sets how long the higher ID waits for the lower one to dial.
func WithPatience(d time.Duration) Option {
	return func(s *settings) { s.patience = d }
}

// WithTimeout bounds dialing with the hello, and each write.
func WithTimeout(d time.Duration) Option {
	return func(s *settings) { s.timeout = d }
}

// WithDialer sets how connections are made.
func WithDialer(dial Dialer) Option {
	return func(s *settings) { s.dial = dial }
}

func newSettings(opts []Option) settings {
	s := settings{
		silence:       defaultSilence,
		remoteSilence: defaultRemoteSilence,
		leastBackoff:  defaultLeastBackoff,
		mostBackoff:   defaultMostBackoff,
		patience:      defaultPatience,
		timeout:       defaultTimeout,
		dial:          (&net.Dialer{}).DialContext,
	}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}
