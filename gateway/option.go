package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodladder/dogwoodladder/conduit"
	"go.uber.org/zap"
)

// Defaults of the options.
const (
	defaultTimeout     = 30 * time.Second // of a service that sets none
	defaultMaxDeadline = 10 * time.Minute
	defaultBodyBytes   = 64 << 20
	defaultReplayBytes = 64 << 10
	defaultBufferBytes = 64 << 20
	defaultHeaderBytes = 32 << 10
	defaultRequests    = 8192
	defaultConnections = 64
	defaultAttempts    = 3
	defaultLate        = 500 * time.Millisecond
	defaultProbe       = time.Second
	defaultSilence     = 2 * time.Second
	defaultKeys        = 1 << 16
	defaultKeyTime     = 10 * time.Minute
)

type config struct {
	logger      *zap.Logger
	seed        uint64
	dial        conduit.Dial
	maxDeadline time.Duration
	bodyBytes   int64
	replayBytes int64
	bufferBytes int64
	headerBytes int
	requests    int
	connections int
	attempts    int
	late        time.Duration
	probeTime   time.Duration
	silence     time.Duration
	keys        int
	keyTime     time.Duration
}

func defaults() config {
	return config{
		logger:      zap.NewNop(),
		seed:        rand.Uint64(),
		maxDeadline: defaultMaxDeadline,
		bodyBytes:   defaultBodyBytes,
		replayBytes: defaultReplayBytes,
		bufferBytes: defaultBufferBytes,
		headerBytes: defaultHeaderBytes,
		requests:    defaultRequests,
		connections: defaultConnections,
		attempts:    defaultAttempts,
		late:        defaultLate,
		probeTime:   defaultProbe,
		silence:     defaultSilence,
		keys:        defaultKeys,
		keyTime:     defaultKeyTime,
	}
}

// Option changes a Gateway.
type Option func(*config)

// WithSeed fixes the random choices among replicas and peers.
func WithSeed(seed uint64) Option {
	return func(c *config) { c.seed = seed }
}

// WithLogger sets the logger; the default logs nothing.
func WithLogger(l *zap.Logger) Option { return func(c *config) { c.logger = l } }

// WithDial replaces the way connections to workers and peers are opened.
func WithDial(d conduit.Dial) Option { return func(c *config) { c.dial = d } }

// WithMaxDeadline bounds the deadline that a caller may ask for.
func WithMaxDeadline(d time.Duration) Option { return func(c *config) { c.maxDeadline = d } }

// WithBodyBytes bounds a request's body.
func WithBodyBytes(n int64) Option { return func(c *config) { c.bodyBytes = n } }

// WithReplayBytes bounds the bodies that are kept to be sent again; longer
// ones are streamed and sent once.
func WithReplayBytes(n int64) Option { return func(c *config) { c.replayBytes = n } }

// WithBufferBytes bounds the memory of all kept bodies; above it bodies are
// streamed.
func WithBufferBytes(n int64) Option { return func(c *config) { c.bufferBytes = n } }

// WithHeaderBytes bounds the headers of a request.
func WithHeaderBytes(n int) Option { return func(c *config) { c.headerBytes = n } }

// WithRequests bounds the requests in flight, waiting ones included.
func WithRequests(n int) Option { return func(c *config) { c.requests = n } }

// WithConnections bounds the connections to one worker, probes included.
func WithConnections(n int) Option { return func(c *config) { c.connections = n } }

// WithAttempts bounds how often one request is sent.
func WithAttempts(n int) Option { return func(c *config) { c.attempts = n } }

// WithLate sets how long an answer may take, at least, before its worker is
// probed.
func WithLate(d time.Duration) Option { return func(c *config) { c.late = d } }

// WithProbe bounds a probe.
func WithProbe(d time.Duration) Option { return func(c *config) { c.probeTime = d } }

// WithSilence sets how long a connection may be silent, at least, before it
// is given up though its worker answers probes.
func WithSilence(d time.Duration) Option { return func(c *config) { c.silence = d } }

// WithKeys bounds the number of idempotency keys remembered here, and the
// time for which they are.
func WithKeys(n int, d time.Duration) Option {
	return func(c *config) {
		c.keys = n
		c.keyTime = d
	}
}
