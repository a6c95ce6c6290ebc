// Package relay orders workers through the instances near them.
//
// Usage:
//
//	e := relay.New(direct, relay.WithInstance("edge-1"))
//	go e.Run(ctx)
//	e.SetInstances(instances) // that take orders, by package agent
//	e.Enable(true)            // while this instance owns the cell
//	held, err := e.Hold(ctx, order)
//
// An Executor is a provider.Executor that sends each order to an instance in the
// worker's availability zone, over one connection to each of them, and takes
// another way where that instance can't be reached. It decides nothing: the
// order, its token, its deadline and its outcome are those of a direct one.
//
// What goes wrong without it: one instance carries every byte and connection of
// all workers. With 2 Mbit/s it has room for 200 starts a second on 140 workers,
// and what it can't start in time is lost.
package relay

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/relay/wire"
)

// Bounds.
const (
	// avoidFor is how long a worker that an instance couldn't reach is ordered
	// directly. The worker may be out of that instance's reach only.
	avoidFor = 2 * time.Second
	// watchEvery is the time between two looks for instances that are silent.
	watchEvery = 50 * time.Millisecond
	// openWithin is how long orders wait for the first connections of a new owner,
	// which take 5 ms to an instance that is there.
	openWithin = 200 * time.Millisecond
)

// Dialer makes a connection to an address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Executor is safe for concurrent use.
type Executor struct {
	direct   provider.Executor
	instance string
	logger   *zap.Logger
	clock    func() time.Duration
	client   *http.Client
	counters *counters
	gap      *gap

	kick chan struct{} // has the connections looked at now

	mu      sync.Mutex
	enabled bool
	links   map[string]*link
	routes  routes
	opening chan struct{} // closed once the connections that are wanted were tried; nil after that
	openBy  time.Time     // when it is closed at the latest
}

// Option changes an Executor.
type Option func(*Executor)

// WithInstance names this instance, which orders its share by itself.
func WithInstance(name string) Option {
	return func(e *Executor) { e.instance = name }
}

// WithProcessors sets how many processors the instance has, a fraction where it
// has a share of one; the default is one. With fewer, messages are further apart.
func WithProcessors(n float64) Option {
	return func(e *Executor) { e.gap = newGap(n) }
}

// WithLogger sets where connections are logged; the default drops them.
func WithLogger(l *zap.Logger) Option {
	return func(e *Executor) { e.logger = l }
}

// WithClock sets the clock that messages are stamped with. It has to go on while
// the machine is suspended.
func WithClock(clock func() time.Duration) Option {
	return func(e *Executor) { e.clock = clock }
}

// WithDialer sets how connections are made.
func WithDialer(d Dialer) Option {
	return func(e *Executor) { e.client = newClient(d) }
}

func newClient(d Dialer) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: d, DisableKeepAlives: true}}
}

// New returns an Executor that orders through direct until it is enabled and
// knows instances.
func New(direct provider.Executor, opts ...Option) *Executor {
	begun := time.Now()
	e := &Executor{
		direct:   direct,
		logger:   zap.NewNop(),
		clock:    func() time.Duration { return time.Since(begun) },
		client:   newClient((&net.Dialer{}).DialContext),
		counters: newCounters(),
		gap:      newGap(1),
		links:    make(map[string]*link),
		routes:   newRoutes(),
		kick:     make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Run holds the connections until ctx is done. It is called once.
func (e *Executor) Run(ctx context.Context) error {
	t, _ := tomb.WithContext(ctx)
	t.Go(func() error { return e.watch(t) })
	err := t.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// watch looks for instances that are silent, and keeps the connections that are
// wanted.
func (e *Executor) watch(t *tomb.Tomb) error {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			e.closeAll("shutting down")
			return nil
		case <-e.kick:
		case <-ticker.C:
		}
		now := time.Now()
		e.gap.look(now, e.counters.messages())
		e.look(now, t)
		e.tried()
	}
}

// look has each link looked at.
//
// What goes wrong without telling the two apart: this instance's own link is full
// for a second, by a large configuration for one, and all instances look silent. All
// connections are made anew, and until then all workers are ordered directly, which
// takes the link far more. Where no other instance was heard either since one was
// asked, it is this end, and nothing is gained by another way.
func (e *Executor) look(now time.Time, t *tomb.Tomb) {
	links, wanted := e.kept()
	var newest, second time.Time
	var from *link
	up := 0
	for _, l := range links {
		s := l.current()
		if s == nil {
			continue
		}
		up++
		switch heard := s.lastHeard(); {
		case heard.After(newest):
			newest, second, from = heard, newest, l
		case heard.After(second):
			second = heard
		}
	}
	for _, l := range links {
		elsewhere := newest
		if l == from {
			elsewhere = second
		}
		if up < fewLinks {
			elsewhere = now
		}
		l.look(now, elsewhere, wanted[l], t)
	}
}

// kept returns all links, and those of them that should have a connection.
func (e *Executor) kept() ([]*link, map[*link]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.enabled {
		return nil, nil
	}
	return slices.Collect(maps.Values(e.links)), e.wanted()
}

// wanted returns the links that should have a connection. The caller holds e.mu.
func (e *Executor) wanted() map[*link]bool {
	wanted := make(map[*link]bool)
	for _, id := range e.routes.wanted(func(id string) bool { return e.links[id] == nil || e.links[id].works() }) {
		if l := e.links[id]; l != nil {
			wanted[l] = true
		}
	}
	return wanted
}

// tried lets the orders go that wait for connections, once each that is wanted is up
// or couldn't be made.
func (e *Executor) tried() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opening == nil {
		return
	}
	if time.Now().Before(e.openBy) {
		for l := range e.wanted() {
			if !l.tried() {
				return
			}
		}
	}
	close(e.opening)
	e.opening = nil
}

// opened waits until the connections of a new owner were tried.
//
// What goes wrong without it: a new owner asks each of its workers what runs there
// before it has any connection to the instances near them, and makes one to each
// worker instead, which takes longer; until it has asked all, nothing starts that had
// begun. It shows as lines "relay" after the line "workers surveyed".
func (e *Executor) opened(ctx context.Context) {
	e.mu.Lock()
	opening := e.opening
	e.mu.Unlock()
	if opening == nil {
		return
	}
	select {
	case <-opening:
	case <-ctx.Done():
	}
}

// Enable has orders sent through other instances, or no more.
func (e *Executor) Enable(enabled bool) {
	e.mu.Lock()
	was := e.enabled
	e.enabled = enabled
	if enabled && !was {
		e.open()
	}
	e.mu.Unlock()
	if enabled && !was {
		e.gap.reset()
		select {
		case e.kick <- struct{}{}:
		default:
		}
	}
	if was && !enabled {
		e.closeAll("not wanted")
	}
}

// open has orders wait for the first connections. The caller holds e.mu.
func (e *Executor) open() {
	if len(e.links) == 0 {
		return
	}
	for _, l := range e.links {
		l.begin()
	}
	e.opening = make(chan struct{})
	e.openBy = time.Now().Add(openWithin)
}

func (e *Executor) closeAll(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		l.close(fault.New(fault.Unavailable, "%s", reason))
	}
}

// wants reports whether a link may have a connection.
func (e *Executor) wants(l *link) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.enabled && e.links[l.peer.ID] == l
}

// SetInstances sets which instances take orders, whole.
func (e *Executor) SetInstances(instances []Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := make(map[string]bool, len(instances))
	for _, i := range instances {
		listed[i.ID] = true
		l := e.links[i.ID]
		if i.ID == e.instance || l != nil && l.peer == i {
			continue
		}
		if l != nil {
			l.close(fault.New(fault.Unavailable, "it has moved"))
		}
		e.links[i.ID] = newLink(e, i)
	}
	for id, l := range e.links {
		if !listed[id] {
			l.close(fault.New(fault.Unavailable, "not listed"))
			delete(e.links, id)
		}
	}
	e.routes.setInstances(instances)
}

// SetWorkers sets how many workers each availability zone has.
func (e *Executor) SetWorkers(byZone map[string]int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.routes.setWorkers(byZone)
}

// linkOf returns the link that leads to a worker, nil for the direct way.
func (e *Executor) linkOf(ctx context.Context, h provider.Host) *link {
	e.opened(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.enabled {
		return nil
	}
	id := e.routes.pick(h, time.Now(), func(id string) bool { return id == e.instance || e.links[id] != nil && e.links[id].isUp() })
	return e.links[id]
}

// avoid has a worker ordered directly for a while.
func (e *Executor) avoid(h provider.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.routes.avoid(h.ID, now, now.Add(avoidFor))
}

// changed takes note that a link came or went.
func (e *Executor) changed() {
	e.mu.Lock()
	e.routes.forget()
	e.mu.Unlock()
	e.tried()
}

// Hold is that of provider.Executor. One that finds no answer on its way is
// sent directly while there is time: it may be repeated without harm.
func (e *Executor) Hold(ctx context.Context, o provider.HoldOrder) (provider.Held, error) {
	l := e.linkOf(ctx, o.Host)
	if l == nil {
		e.counters.direct.Add(1)
		return e.direct.Hold(ctx, o)
	}
	e.counters.relayed.Add(1)
	r, held := l.do(ctx, o.Host, wire.Order{
		Kind:     wire.Hold,
		Token:    o.Token,
		Deadline: o.Deadline,
		Seen:     o.Seen,
		Wait:     o.Wait.Milliseconds(),
	}, "")
	switch r.Outcome {
	case wire.Answered:
		return held, nil
	case wire.Fenced, wire.Elsewhere, wire.Refused:
		return provider.Held{}, r.Err()
	}
	if !e.mayGoDirectly(ctx, o.Host) {
		return provider.Held{}, r.Err()
	}
	o.Wait = 0
	o.Seen = 0 // the worker may have restarted since
	return e.direct.Hold(ctx, o)
}

// Start is that of provider.Executor.
func (e *Executor) Start(ctx context.Context, o provider.StartOrder) (provider.Refusal, error) {
	r, sent := e.relay(ctx, o.Host, wire.Order{
		Kind:       wire.Start,
		Token:      o.Token,
		Task:       o.Task,
		Attempt:    o.Attempt,
		Deadline:   o.Deadline,
		Checkpoint: o.Checkpoint,
		Ticket:     o.Ticket,
	}, o.Spec)
	if !sent {
		return e.direct.Start(ctx, o)
	}
	if err := r.Err(); err != nil {
		return provider.RefusedOther, err
	}
	return r.Refusal, nil
}

// Stop is that of provider.Executor.
func (e *Executor) Stop(ctx context.Context, o provider.RunOrder) error {
	return e.run(ctx, wire.Stop, o, e.direct.Stop)
}

// Pace is that of provider.Executor.
func (e *Executor) Pace(ctx context.Context, o provider.RunOrder) error {
	return e.run(ctx, wire.Pace, o, e.direct.Pace)
}

func (e *Executor) run(ctx context.Context, kind wire.Kind, o provider.RunOrder, direct func(context.Context, provider.RunOrder) error) error {
	r, sent := e.relay(ctx, o.Host, wire.Order{Kind: kind, Token: o.Token, Task: o.Task, Attempt: o.Attempt, Percent: o.Percent}, "")
	if !sent {
		return direct(ctx, o)
	}
	return r.Err()
}

// relay sends an order by way of the instance that leads to its worker. It reports
// false if the order is to be sent directly: there is no such instance, or the order
// provably wasn't sent to the worker and there is time.
func (e *Executor) relay(ctx context.Context, h provider.Host, o wire.Order, spec string) (wire.Result, bool) {
	l := e.linkOf(ctx, h)
	if l == nil {
		e.counters.direct.Add(1)
		return wire.Result{}, false
	}
	e.counters.relayed.Add(1)
	r, _ := l.do(ctx, h, o, spec)
	wentNowhere := r.Outcome == wire.NotSent || r.Outcome == wire.Late
	return r, !wentNowhere || !e.mayGoDirectly(ctx, h)
}

// mayGoDirectly takes note that a worker wasn't reached through its instance, and
// reports whether there is time to order it directly.
func (e *Executor) mayGoDirectly(ctx context.Context, h provider.Host) bool {
	e.avoid(h)
	if ctx.Err() != nil {
		return false
	}
	e.counters.again.Add(1)
	return true
}
