// Package relay sends orders to workers through instances in their availability zones.
//
// Usage:
//
//	e := relay.New(direct, relay.WithInstance("edge-1"))
//	go e.Run(ctx)
//	e.SetInstances(instances) // that run the agent of package agent
//	e.Enable(true)            // while this instance owns the cell
//	held, err := e.Hold(ctx, order)
//
// An Executor is a provider.Executor that sends each order to an instance in the
// worker's availability zone, over one connection per instance. If that instance
// can't be reached, it uses another one or sends the order directly. The order, its
// token, its deadline and its outcome are the same as those of a direct order.
//
// Without relays the owner carries the traffic and the connections of all workers.
// A link of 2 Mbit/s is enough for 200 starts per second on 140 workers; tasks that
// can't be started in time are lost.
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

// Times of relaying.
const (
	// avoidTime is how long orders go directly to a worker that an instance couldn't
	// reach, since the worker may be unreachable only from that instance.
	avoidTime = 2 * time.Second
	// watchInterval is the time between two checks for silent instances.
	watchInterval = 50 * time.Millisecond
	// openTimeout is how long orders wait for the first connections of a new owner. A
	// connection to a running instance takes 5 ms.
	openTimeout = 200 * time.Millisecond
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Executor sends orders to workers through other instances. It is safe for concurrent
// use.
type Executor struct {
	direct   provider.Executor
	instance string
	logger   *zap.Logger
	clock    func() time.Duration
	client   *http.Client
	counters *counters
	gap      *gap

	checkNow chan struct{} // triggers a check of the connections

	mu           sync.Mutex
	enabled      bool
	links        map[string]*link
	routes       routes
	opening      chan struct{} // closed once all wanted connections were tried; nil otherwise
	openDeadline time.Time     // deadline for closing it
}

// Option changes an Executor.
type Option func(*Executor)

// WithInstance sets the ID of this instance, which sends its share of orders directly.
func WithInstance(name string) Option {
	return func(e *Executor) { e.instance = name }
}

// WithProcessors sets the instance's number of processors, which may be a fraction; the
// default is one. With fewer processors orders are batched into fewer messages.
func WithProcessors(n float64) Option {
	return func(e *Executor) { e.gap = newGap(n) }
}

// WithLogger sets the logger for connections; the default logs nothing.
func WithLogger(l *zap.Logger) Option {
	return func(e *Executor) { e.logger = l }
}

// WithClock sets the clock for the timestamps of messages. It must include time in which
// the machine is suspended.
func WithClock(clock func() time.Duration) Option {
	return func(e *Executor) { e.clock = clock }
}

// WithDialer sets the function that opens connections.
func WithDialer(d Dialer) Option {
	return func(e *Executor) { e.client = newClient(d) }
}

func newClient(d Dialer) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: d, DisableKeepAlives: true}}
}

// New returns an Executor that sends all orders through direct until it is enabled and
// instances are set.
func New(direct provider.Executor, opts ...Option) *Executor {
	start := time.Now()
	e := &Executor{
		direct:   direct,
		logger:   zap.NewNop(),
		clock:    func() time.Duration { return time.Since(start) },
		client:   newClient((&net.Dialer{}).DialContext),
		counters: newCounters(),
		gap:      newGap(1),
		links:    make(map[string]*link),
		routes:   newRoutes(),
		checkNow: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Run maintains the connections until ctx is done. It must be called once only.
func (e *Executor) Run(ctx context.Context) error {
	t, _ := tomb.WithContext(ctx)
	t.Go(func() error { return e.watch(t) })
	err := t.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// watch periodically opens wanted connections and closes those to silent instances.
func (e *Executor) watch(t *tomb.Tomb) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			e.closeAll("shutting down")
			return nil
		case <-e.checkNow:
		case <-ticker.C:
		}
		now := time.Now()
		e.gap.adjust(now, e.counters.messages())
		e.checkLinks(now, t)
		e.releaseWaiting()
	}
}

// checkLinks checks each link, comparing silent instances with the others.
//
// If this instance's own link is saturated for a second, by a large configuration for
// example, all instances look silent. Reconnecting to all of them, and ordering all
// workers directly until then, would load the link far more. If no other instance has
// sent anything since the ping of a silent one either, the cause is probably local, and
// other routes wouldn't help.
func (e *Executor) checkLinks(now time.Time, t *tomb.Tomb) {
	links, wanted := e.activeLinks()
	var newest, second time.Time
	var newestLink *link
	up := 0
	for _, l := range links {
		s := l.current()
		if s == nil {
			continue
		}
		up++
		switch contact := s.lastContactAt(); {
		case contact.After(newest):
			newest, second, newestLink = contact, newest, l
		case contact.After(second):
			second = contact
		}
	}
	for _, l := range links {
		otherContact := newest
		if l == newestLink {
			otherContact = second
		}
		if up < minLinksToCompare {
			otherContact = now
		}
		l.check(now, otherContact, wanted[l], t)
	}
}

// activeLinks returns all links and the subset that should have a connection, none while
// the executor is disabled.
func (e *Executor) activeLinks() ([]*link, map[*link]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.enabled {
		return nil, nil
	}
	return slices.Collect(maps.Values(e.links)), e.wantedLinks()
}

// wantedLinks returns the links that should have a connection. The caller holds e.mu.
func (e *Executor) wantedLinks() map[*link]bool {
	wanted := make(map[*link]bool)
	for _, id := range e.routes.wanted(func(id string) bool { return e.links[id] == nil || e.links[id].isUsable() }) {
		if l := e.links[id]; l != nil {
			wanted[l] = true
		}
	}
	return wanted
}

// releaseWaiting releases the orders that wait for connections once each wanted one is
// up or has failed, or the wait has timed out.
func (e *Executor) releaseWaiting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opening == nil {
		return
	}
	if time.Now().Before(e.openDeadline) {
		for l := range e.wantedLinks() {
			if !l.wasTried() {
				return
			}
		}
	}
	close(e.opening)
	e.opening = nil
}

// waitOpened waits until the connections of a new owner were tried.
//
// Otherwise a new owner sends its first hold to each worker before any relay is
// connected, over a new connection per worker, which takes longer. Tasks that were
// started before can't be restarted until all workers have answered. In the log, lines
// "relay" then follow the line "workers surveyed".
func (e *Executor) waitOpened(ctx context.Context) {
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

// Enable switches relaying through other instances on or off.
func (e *Executor) Enable(enabled bool) {
	e.mu.Lock()
	wasEnabled := e.enabled
	e.enabled = enabled
	if enabled && !wasEnabled {
		e.startOpening()
	}
	e.mu.Unlock()
	if enabled && !wasEnabled {
		e.gap.reset()
		select {
		case e.checkNow <- struct{}{}:
		default:
		}
	}
	if wasEnabled && !enabled {
		e.closeAll("relaying disabled")
	}
}

// startOpening makes orders wait for the first connections. The caller holds e.mu.
func (e *Executor) startOpening() {
	if len(e.links) == 0 {
		return
	}
	for _, l := range e.links {
		l.resetBackoff()
	}
	e.opening = make(chan struct{})
	e.openDeadline = time.Now().Add(openTimeout)
}

func (e *Executor) closeAll(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		l.close(fault.New(fault.Unavailable, "%s", reason))
	}
}

// mayConnect reports whether a link may have a connection.
func (e *Executor) mayConnect(l *link) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.enabled && e.links[l.peer.ID] == l
}

// SetInstances replaces the set of instances that accept orders.
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
			l.close(fault.New(fault.Unavailable, "instance has a new address"))
		}
		e.links[i.ID] = newLink(e, i)
	}
	for id, l := range e.links {
		if !listed[id] {
			l.close(fault.New(fault.Unavailable, "instance removed from the list"))
			delete(e.links, id)
		}
	}
	e.routes.setInstances(instances)
}

// SetWorkers sets the number of workers in each availability zone.
func (e *Executor) SetWorkers(byZone map[string]int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.routes.setWorkers(byZone)
}

// linkOf returns the link for a worker's orders, nil to send them directly.
func (e *Executor) linkOf(ctx context.Context, h provider.Host) *link {
	e.waitOpened(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.enabled {
		return nil
	}
	id := e.routes.pick(h, time.Now(), func(id string) bool { return id == e.instance || e.links[id] != nil && e.links[id].isUp() })
	return e.links[id]
}

// avoid makes a worker's orders go directly for avoidTime.
func (e *Executor) avoid(h provider.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.routes.avoid(h.ID, now, now.Add(avoidTime))
}

// linkChanged updates the routes after a link came up or went down.
func (e *Executor) linkChanged() {
	e.mu.Lock()
	e.routes.clearPicked()
	e.mu.Unlock()
	e.releaseWaiting()
}

// Hold implements provider.Executor. A hold is idempotent, so one without an answer
// through the relay is sent directly if there is time left.
func (e *Executor) Hold(ctx context.Context, o provider.HoldOrder) (provider.HoldResult, error) {
	l := e.linkOf(ctx, o.Host)
	order := wire.Order{
		Kind:     wire.Hold,
		Token:    o.Token,
		Deadline: o.Deadline,
		Wait:     o.Wait.Milliseconds(),
	}
	order.SetAcked(o.AckedEnd, o.AckedIncarnation)
	if l == nil || order.Acked != nil && !l.handlesAcked() {
		e.counters.direct.Add(1)
		return e.direct.Hold(ctx, o)
	}
	e.counters.relayed.Add(1)
	r, held := l.do(ctx, o.Host, order, "")
	switch r.Outcome {
	case wire.Answered:
		return held, nil
	case wire.Fenced, wire.Elsewhere, wire.Refused:
		return provider.HoldResult{}, r.Err()
	}
	if !e.mayGoDirectly(ctx, o.Host) {
		return provider.HoldResult{}, r.Err()
	}
	o.Wait = 0
	o.AckedEnd = 0 // the worker may have restarted since, so that the number may mean another end
	return e.direct.Hold(ctx, o)
}

// Start implements provider.Executor.
func (e *Executor) Start(ctx context.Context, o provider.StartOrder) (provider.Refusal, error) {
	r, handled := e.relay(ctx, o.Host, wire.Order{
		Kind:       wire.Start,
		Token:      o.Token,
		Task:       o.Task,
		Attempt:    o.Attempt,
		Deadline:   o.Deadline,
		Checkpoint: o.Checkpoint,
		Ticket:     o.Ticket,
	}, o.Spec)
	if !handled {
		return e.direct.Start(ctx, o)
	}
	if r.Outcome == wire.Unanswered {
		return provider.RefusedOther, fault.Wrap(fault.MayHaveRun, provider.ErrInTransit, "%s", r.Text)
	}
	if err := r.Err(); err != nil {
		return provider.RefusedOther, err
	}
	return r.Refusal, nil
}

// Stop implements provider.Executor.
func (e *Executor) Stop(ctx context.Context, o provider.RunOrder) error {
	return e.run(ctx, wire.Stop, o, e.direct.Stop)
}

// Pace implements provider.Executor.
func (e *Executor) Pace(ctx context.Context, o provider.RunOrder) error {
	return e.run(ctx, wire.Pace, o, e.direct.Pace)
}

func (e *Executor) run(ctx context.Context, kind wire.Kind, o provider.RunOrder, direct func(context.Context, provider.RunOrder) error) error {
	r, handled := e.relay(ctx, o.Host, wire.Order{Kind: kind, Token: o.Token, Task: o.Task, Attempt: o.Attempt, Percent: o.Percent}, "")
	if !handled {
		return direct(ctx, o)
	}
	return r.Err()
}

// relay sends an order through the instance chosen for its worker. It returns false if
// the order should be sent directly: there is no such instance, or the order certainly
// wasn't sent to the worker and there is time left.
func (e *Executor) relay(ctx context.Context, h provider.Host, o wire.Order, spec string) (wire.Result, bool) {
	l := e.linkOf(ctx, h)
	if l == nil {
		e.counters.direct.Add(1)
		return wire.Result{}, false
	}
	e.counters.relayed.Add(1)
	r, _ := l.do(ctx, h, o, spec)
	notSent := r.Outcome == wire.NotSent || r.Outcome == wire.Late
	return r, !notSent || !e.mayGoDirectly(ctx, h)
}

// mayGoDirectly marks a worker as unreachable through its instance, and reports whether
// there is time left to send its order directly.
func (e *Executor) mayGoDirectly(ctx context.Context, h provider.Host) bool {
	e.avoid(h)
	if ctx.Err() != nil {
		return false
	}
	e.counters.repeated.Add(1)
	return true
}
