package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodladder/dogwoodladder/conduit"
	"go.uber.org/zap"
)

// Defaults of the options.
const (
	defaultTimeout          = 30 * time.Second // for a service without a timeout
	defaultMaxDeadline      = 10 * time.Minute
	defaultMaxBodyBytes     = 64 << 20
	defaultMaxReplayBytes   = 64 << 10
	defaultMaxBufferedBytes = 64 << 20
	defaultMaxHeaderBytes   = 32 << 10
	defaultMaxRequests      = 8192
	defaultMaxConnections   = 64
	defaultMaxAttempts      = 3
	defaultProbeAfter       = 500 * time.Millisecond
	defaultProbeTimeout     = time.Second
	defaultSilenceTimeout   = 2 * time.Second
	defaultMaxKeys          = 1 << 16
	defaultKeyTTL           = 10 * time.Minute
)

type config struct {
	logger           *zap.Logger
	seed             uint64
	dial             conduit.Dial
	maxDeadline      time.Duration
	maxBodyBytes     int64
	maxReplayBytes   int64
	maxBufferedBytes int64
	maxHeaderBytes   int
	maxRequests      int
	maxConnections   int
	maxAttempts      int
	probeAfter       time.Duration
	probeTimeout     time.Duration
	silenceTimeout   time.Duration
	maxKeys          int
	keyTTL           time.Duration
}

func defaults() config {
	return config{
		logger:           zap.NewNop(),
		seed:             rand.Uint64(),
		maxDeadline:      defaultMaxDeadline,
		maxBodyBytes:     defaultMaxBodyBytes,
		maxReplayBytes:   defaultMaxReplayBytes,
		maxBufferedBytes: defaultMaxBufferedBytes,
		maxHeaderBytes:   defaultMaxHeaderBytes,
		maxRequests:      defaultMaxRequests,
		maxConnections:   defaultMaxConnections,
		maxAttempts:      defaultMaxAttempts,
		probeAfter:       defaultProbeAfter,
		probeTimeout:     defaultProbeTimeout,
		silenceTimeout:   defaultSilenceTimeout,
		maxKeys:          defaultMaxKeys,
		keyTTL:           defaultKeyTTL,
	}
}

// Option configures a Gateway.
type Option func(*config)

// WithSeed sets the seed of the random choices among replicas and peers.
func WithSeed(seed uint64) Option {
	return func(c *config) { c.seed = seed }
}

// WithLogger sets the logger. The default discards all lines.
func WithLogger(l *zap.Logger) Option { return func(c *config) { c.logger = l } }

// WithDial sets the function that opens connections to workers and peers.
func WithDial(d conduit.Dial) Option { return func(c *config) { c.dial = d } }

// WithMaxDeadline bounds the deadline that a caller may request.
func WithMaxDeadline(d time.Duration) Option { return func(c *config) { c.maxDeadline = d } }

// WithMaxBodyBytes bounds the size of a request's body.
func WithMaxBodyBytes(n int64) Option { return func(c *config) { c.maxBodyBytes = n } }

// WithMaxReplayBytes bounds the size of a body that is buffered for retries.
// A longer one is streamed and sent once.
func WithMaxReplayBytes(n int64) Option { return func(c *config) { c.maxReplayBytes = n } }

// WithMaxBufferedBytes bounds the memory of all buffered bodies. Beyond it,
// bodies are streamed.
func WithMaxBufferedBytes(n int64) Option { return func(c *config) { c.maxBufferedBytes = n } }

// WithMaxHeaderBytes bounds the size of a request's headers.
func WithMaxHeaderBytes(n int) Option { return func(c *config) { c.maxHeaderBytes = n } }

// WithMaxRequests bounds the requests in flight, including those that wait for
// admission.
func WithMaxRequests(n int) Option { return func(c *config) { c.maxRequests = n } }

// WithMaxConnections bounds the connections to one worker, including the one
// for probes.
func WithMaxConnections(n int) Option { return func(c *config) { c.maxConnections = n } }

// WithMaxAttempts bounds how often one request is sent.
func WithMaxAttempts(n int) Option { return func(c *config) { c.maxAttempts = n } }

// WithProbeAfter sets the minimum time to wait for a response before its
// worker is probed.
func WithProbeAfter(d time.Duration) Option { return func(c *config) { c.probeAfter = d } }

// WithProbeTimeout sets the timeout of a probe.
func WithProbeTimeout(d time.Duration) Option { return func(c *config) { c.probeTimeout = d } }

// WithSilenceTimeout sets the minimum time that a connection may be silent
// before it is closed although its worker answers probes.
func WithSilenceTimeout(d time.Duration) Option { return func(c *config) { c.silenceTimeout = d } }

// WithKeys sets how many idempotency keys this instance remembers, and for how
// long.
func WithKeys(n int, d time.Duration) Option {
	return func(c *config) {
		c.maxKeys = n
		c.keyTTL = d
	}
}
