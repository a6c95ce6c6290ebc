// Package caller is a load of requests to entry instances, as the platform's
// callers make it: open loop, so that a slow answer doesn't hold later
// requests back.
//
// Usage:
//
//	c, err := caller.New([]string{"127.0.0.1:8001"}, "pricing",
//		caller.WithRate(200), caller.WithWrites(0.3), caller.WithOutput(os.Stdout, time.Second))
//	summary := c.Run(ctx) // until ctx ends and every answer is in
//	faults := caller.Audit(summary.Tries, ledger.Nonces)
//
// A request that isn't idempotent is a POST. One that is, is a GET or a POST
// with an Idempotency-Key. A refusal is sent again after its Retry-After, as
// far as the tries go, and so is anything idempotent that may have run.
// Latency counts from when a request was due, over all of its tries.
package caller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/standin/answer"
)

// Defaults and bounds.
const (
	DefaultRate     = 100 // requests per second
	DefaultTimeout  = 5 * time.Second
	DefaultTries    = 4
	DefaultInFlight = 2000
	MaxTriesKept    = 1_000_000
	maxRetryAfter   = 10 * time.Second
	defaultRetry    = 100 * time.Millisecond
	idleConnections = 64
)

// Option changes a Caller.
type Option func(*Caller)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Caller makes requests of one service.
type Caller struct {
	entries  []string
	service  string
	rate     float64
	seed     uint64
	writes   float64
	work     time.Duration
	size     int
	body     int
	timeout  time.Duration
	tries    int
	inFlight int
	output   io.Writer
	interval time.Duration
	client   *http.Client
	tally    *tally
}

// New returns a caller that sends requests of a service to the caller
// listeners of entry instances, host:port each.
func New(entries []string, service string, opts ...Option) (*Caller, error) {
	c := &Caller{
		entries:  entries,
		service:  service,
		rate:     DefaultRate,
		seed:     1,
		work:     5 * time.Millisecond,
		timeout:  DefaultTimeout,
		tries:    DefaultTries,
		inFlight: DefaultInFlight,
		output:   io.Discard,
		interval: time.Second,
		tally:    newTally(),
	}
	c.client = newClient((&net.Dialer{Timeout: time.Second}).DialContext)
	for _, opt := range opts {
		opt(c)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

// WithRate sets requests per second.
func WithRate(perSecond float64) Option {
	return func(c *Caller) { c.rate = perSecond }
}

// WithSeed sets what all random choices follow from.
func WithSeed(seed uint64) Option {
	return func(c *Caller) { c.seed = seed }
}

// WithWrites sets the part of requests that are not idempotent, 0 to 1.
func WithWrites(part float64) Option {
	return func(c *Caller) { c.writes = part }
}

// WithWork sets how long each request takes in a worker's slot.
func WithWork(d time.Duration) Option {
	return func(c *Caller) { c.work = d }
}

// WithSize sets the bytes of a request's body and of an answer's filler.
func WithSize(request, answer int) Option {
	return func(c *Caller) { c.body, c.size = request, answer }
}

// WithTimeout bounds each try of a request.
func WithTimeout(d time.Duration) Option {
	return func(c *Caller) { c.timeout = d }
}

// WithTries sets how often a request is sent at most.
func WithTries(n int) Option {
	return func(c *Caller) { c.tries = n }
}

// WithInFlight bounds requests under way; what is due beyond it is skipped
// and counted.
func WithInFlight(n int) Option {
	return func(c *Caller) { c.inFlight = n }
}

// WithOutput writes a line of key=value pairs every interval.
func WithOutput(w io.Writer, interval time.Duration) Option {
	return func(c *Caller) { c.output, c.interval = w, interval }
}

// WithDial replaces how connections are opened, for tests in memory.
func WithDial(dial DialFunc) Option {
	return func(c *Caller) { c.client = newClient(dial) }
}

// Run makes requests until ctx ends, waits for those under way, and returns
// what came of them.
func (c *Caller) Run(ctx context.Context) Summary {
	start := time.Now()
	reported := make(chan struct{})
	stop, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(reported)
		c.report(stop, start)
	}()
	c.generate(ctx, start)
	cancel()
	<-reported
	c.client.CloseIdleConnections()
	summary := c.tally.summary(time.Since(start))
	fmt.Fprintln(c.output, summary)
	return summary
}

func (c *Caller) check() error {
	switch {
	case len(c.entries) == 0:
		return fault.New(fault.Invalid, "no entry instances")
	case c.rate <= 0:
		return fault.New(fault.Invalid, "rate %v", c.rate)
	case c.writes < 0 || c.writes > 1:
		return fault.New(fault.Invalid, "part of writes %v", c.writes)
	case min(c.body, c.size) < 0 || max(c.body, c.size) > answer.MaxSize:
		return fault.New(fault.Invalid, "sizes %d and %d", c.body, c.size)
	case c.tries < 1 || c.inFlight < 1 || c.interval <= 0 || c.timeout <= 0 || c.work < 0:
		return fault.New(fault.Invalid, "tries, requests in flight, interval, timeout or work out of range")
	default:
		return nil
	}
}

// generate sends requests at random times, the rate on average, and returns
// when all have ended.
func (c *Caller) generate(ctx context.Context, start time.Time) {
	var requests sync.WaitGroup
	defer requests.Wait()
	random := rand.New(rand.NewPCG(c.seed, c.seed))
	slots := make(chan struct{}, c.inFlight)
	due := start
	for n := 0; ; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / c.rate * float64(time.Second)))
		r := c.newRequest(n, due, random)
		if sleep(ctx, time.Until(due)) != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			c.tally.skip()
			continue
		}
		requests.Go(func() {
			c.carry(r)
			<-slots
		})
	}
}

func (c *Caller) report(ctx context.Context, start time.Time) {
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			fmt.Fprintln(c.output, c.tally.interval(now.Sub(start)))
		}
	}
}

func newClient(dial DialFunc) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			DisableCompression:  true,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     30 * time.Second,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
