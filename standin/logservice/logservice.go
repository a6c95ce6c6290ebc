// Package logservice is a stand-in of the platform's log service: append-only
// streams in memory with offsets, limited retention and a bound on appends
// per second.
//
// Usage:
//
//	service := logservice.New(logservice.WithRetention(10_000, time.Hour))
//	go service.Serve(ctx, listener)
//	log := client.NewLog(listener.Addr().String())
//
// Requests:
//
//	POST /streams/zone/a/records                     CBOR array of byte strings -> {"first": offset}
//	GET  /streams/zone/a/records?from=&limit=&wait=  -> CBOR provider.Page; 410 for an expired offset
//	GET, PUT /faults                                 see package faults
//
// While the fault "late" is set, an append takes effect after that delay, even
// if its sender has given up.
package logservice

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/standin/faults"
)

// Defaults and bounds.
const (
	DefaultRate  = 500 // appends per second, over all streams
	DefaultCount = 50_000
	DefaultAge   = time.Hour
	MaxStreams   = 64
	MaxBytes     = 64 << 20 // of data kept in a stream
)

// Faults are the faults of the log service.
type Faults struct {
	faults.Common
	Keep int `json:"keep,omitempty"` // maximum number of entries kept of each stream
}

// Option configures a Service.
type Option func(*Service)

// Service is the log service.
type Service struct {
	*faults.Injector[Faults]
	handler    http.Handler
	now        func() time.Time
	limiter    *rate.Limiter
	maxEntries int
	maxAge     time.Duration
	initial    Faults

	mu      sync.Mutex
	streams map[string]*stream
}

// New returns an empty log service.
func New(opts ...Option) *Service {
	s := &Service{
		now:        time.Now,
		limiter:    rate.NewLimiter(DefaultRate, DefaultRate),
		maxEntries: DefaultCount,
		maxAge:     DefaultAge,
		streams:    make(map[string]*stream),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.Injector = faults.New(s.initial, s.now)
	s.handler = s.Wrap(s.mux())
	return s
}

// WithClock sets the time source.
func WithClock(now func() time.Time) Option {
	return func(s *Service) { s.now = now }
}

// WithRate bounds appends per second over all streams; the burst is one second's
// appends.
func WithRate(perSecond int) Option {
	return func(s *Service) { s.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond) }
}

// WithRetention bounds the number and age of the entries that a stream keeps.
func WithRetention(count int, age time.Duration) Option {
	return func(s *Service) { s.maxEntries, s.maxAge = count, age }
}

// WithFaults sets the faults in force from the start.
func WithFaults(f Faults) Option {
	return func(s *Service) { s.initial = f }
}

// ServeHTTP answers one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Serve serves requests on l until ctx ends or the fault "dead" is set.
func (s *Service) Serve(ctx context.Context, l net.Listener) error {
	return s.Injector.Serve(ctx, l, s)
}

// append adds records to the stream called name, and returns the offset of the
// first one.
func (s *Service) append(name string, records [][]byte) (uint64, error) {
	now := s.now()
	if !s.limiter.AllowN(now, 1) {
		return 0, fault.New(fault.Overloaded, "more than %v appends per second", s.limiter.Limit())
	}
	keep := s.entryLimit()
	s.mu.Lock()
	defer s.mu.Unlock()
	st, err := s.stream(name)
	if err != nil {
		return 0, err
	}
	first := st.append(records, now)
	st.trim(keep, now.Add(-s.maxAge))
	return first, nil
}

// read returns a page and, if the page is empty because from is the stream's
// end, a channel that the next append closes.
func (s *Service) read(name string, from uint64, limit int) (provider.Page, <-chan struct{}, error) {
	keep := s.entryLimit()
	s.mu.Lock()
	defer s.mu.Unlock()
	st, err := s.stream(name)
	if err != nil {
		return provider.Page{}, nil, err
	}
	st.trim(keep, s.now().Add(-s.maxAge))
	return st.page(from, limit)
}

func (s *Service) entryLimit() int {
	if keep := s.Get().Keep; keep > 0 {
		return min(keep, s.maxEntries)
	}
	return s.maxEntries
}

func (s *Service) stream(name string) (*stream, error) {
	if st, ok := s.streams[name]; ok {
		return st, nil
	}
	if len(s.streams) >= MaxStreams {
		return nil, fault.New(fault.TooLarge, "more than %d streams", MaxStreams)
	}
	st := newStream()
	s.streams[name] = st
	return st, nil
}
