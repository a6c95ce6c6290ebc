// Package caller generates a load of requests to entry instances, in place of
// the platform's callers. The load is open loop: a slow answer doesn't delay
// later requests.
//
// Usage:
//
//	c, err := caller.New([]string{"127.0.0.1:8001"}, "pricing",
//		caller.WithRate(200), caller.WithWrites(0.3), caller.WithOutput(os.Stdout, time.Second))
//	summary := c.Run(ctx) // returns after ctx ends and every request has ended
//	faults := caller.Audit(summary.Tries, ledger.Nonces)
//
// A request that isn't idempotent is a POST; an idempotent one is a GET or a
// POST with an Idempotency-Key. A refused request is retried after its
// Retry-After, and an idempotent request that may have run is retried too, both
// up to the limit of tries. Latency counts from the time that a request was due,
// over all of its tries.
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
	DefaultRate       = 100 // requests per second
	DefaultTimeout    = 5 * time.Second
	DefaultTries      = 4
	DefaultInFlight   = 2000
	MaxTriesKept      = 1_000_000
	maxRetryAfter     = 10 * time.Second
	defaultRetryAfter = 100 * time.Millisecond
	idleConnections   = 64
)

// Option configures a Caller.
type Option func(*Caller)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Caller sends requests to one service.
type Caller struct {
	entries        []string
	service        string
	rate           float64
	seed           uint64
	writeFraction  float64
	work           time.Duration
	answerSize     int
	bodySize       int
	timeout        time.Duration
	maxTries       int
	maxInFlight    int
	output         io.Writer
	reportInterval time.Duration
	client         *http.Client
	recorder       *recorder
}

// New returns a Caller that sends requests for a service to the caller
// listeners of entry instances, host:port each.
func New(entries []string, service string, opts ...Option) (*Caller, error) {
	c := &Caller{
		entries:        entries,
		service:        service,
		rate:           DefaultRate,
		seed:           1,
		work:           5 * time.Millisecond,
		timeout:        DefaultTimeout,
		maxTries:       DefaultTries,
		maxInFlight:    DefaultInFlight,
		output:         io.Discard,
		reportInterval: time.Second,
		recorder:       newRecorder(),
	}
	c.client = newClient((&net.Dialer{Timeout: time.Second}).DialContext)
	for _, opt := range opts {
		opt(c)
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// WithRate sets requests per second.
func WithRate(perSecond float64) Option {
	return func(c *Caller) { c.rate = perSecond }
}

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(c *Caller) { c.seed = seed }
}

// WithWrites sets the fraction of requests that are not idempotent, 0 to 1.
func WithWrites(fraction float64) Option {
	return func(c *Caller) { c.writeFraction = fraction }
}

// WithWork sets how long each request takes in a worker's slot.
func WithWork(d time.Duration) Option {
	return func(c *Caller) { c.work = d }
}

// WithSize sets the sizes in bytes of a request's body and of an answer's
// filler.
func WithSize(request, answer int) Option {
	return func(c *Caller) { c.bodySize, c.answerSize = request, answer }
}

// WithTimeout bounds each try of a request.
func WithTimeout(d time.Duration) Option {
	return func(c *Caller) { c.timeout = d }
}

// WithTries bounds how often a request is sent.
func WithTries(n int) Option {
	return func(c *Caller) { c.maxTries = n }
}

// WithInFlight bounds requests in flight; requests that are due beyond it are
// skipped and counted.
func WithInFlight(n int) Option {
	return func(c *Caller) { c.maxInFlight = n }
}

// WithOutput sets the writer that gets a line of key=value pairs every interval.
func WithOutput(w io.Writer, interval time.Duration) Option {
	return func(c *Caller) { c.output, c.reportInterval = w, interval }
}

// WithDial sets the function that opens connections, for tests in memory.
func WithDial(dial DialFunc) Option {
	return func(c *Caller) { c.client = newClient(dial) }
}

// Run sends requests until ctx ends, waits for those in flight, and returns the
// summary of their outcomes.
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
	summary := c.recorder.summary(time.Since(start))
	fmt.Fprintln(c.output, summary)
	return summary
}

func (c *Caller) validate() error {
	switch {
	case len(c.entries) == 0:
		return fault.New(fault.Invalid, "no entry instances")
	case c.rate <= 0:
		return fault.New(fault.Invalid, "rate %v isn't positive", c.rate)
	case c.writeFraction < 0 || c.writeFraction > 1:
		return fault.New(fault.Invalid, "fraction of writes %v outside 0 to 1", c.writeFraction)
	case min(c.bodySize, c.answerSize) < 0 || max(c.bodySize, c.answerSize) > answer.MaxSize:
		return fault.New(fault.Invalid, "request size %d or answer size %d outside 0 to %d", c.bodySize, c.answerSize, answer.MaxSize)
	case c.maxTries < 1 || c.maxInFlight < 1 || c.reportInterval <= 0 || c.timeout <= 0 || c.work < 0:
		return fault.New(fault.Invalid, "tries, requests in flight, interval, timeout or work out of range")
	default:
		return nil
	}
}

// generate sends requests with exponentially distributed gaps, at the rate on
// average, and returns when all have ended.
func (c *Caller) generate(ctx context.Context, start time.Time) {
	var requests sync.WaitGroup
	defer requests.Wait()
	random := rand.New(rand.NewPCG(c.seed, c.seed))
	slots := make(chan struct{}, c.maxInFlight)
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
			c.recorder.countSkipped()
			continue
		}
		requests.Go(func() {
			c.sendWithRetries(r)
			<-slots
		})
	}
}

func (c *Caller) report(ctx context.Context, start time.Time) {
	ticker := time.NewTicker(c.reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			fmt.Fprintln(c.output, c.recorder.intervalLine(now.Sub(start)))
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
