package relay

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"gopkg.in/tomb.v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/relay/wire"
)

// session is one connection to an instance.
type session struct {
	executor *Executor
	socket   *websocket.Conn
	tomb     tomb.Tomb
	wake     chan struct{} // signals that orders are queued
	pingNow  chan struct{} // requests a ping

	mu          sync.Mutex
	ended       bool // no further orders are accepted
	leaving     bool // the instance accepts no further orders
	lastNumber  uint64
	urgent      []*call // queued holds, stops and paces
	starts      []*call // queued starts, sent after the urgent orders
	pending     map[uint64]*call
	lastContact time.Time // time of the last message or pong
	pingedAt    time.Time // time of the ping without a pong, zero if there is none
	numReceived uint64    // number of messages received

	// Owned by the writer.
	hostNumbers map[endpoint]uint64 // numbers of the workers on this connection
	specNumbers map[string]uint64   // numbers of the specifications on this connection
	specTexts   [wire.MaxSpecs]string
	nextSpec    uint64
}

// endpoint is a worker at an address. A worker may restart under its ID at another
// address.
type endpoint struct {
	id, address string
}

// call is an order whose result is pending.
type call struct {
	host      provider.Host
	order     wire.Order
	spec      string
	startedAt time.Time
	sent      bool
	done      chan reply // buffered for one reply
}

type reply struct {
	result wire.Result
	held   provider.HoldResult
}

func newSession(e *Executor, socket *websocket.Conn) *session {
	return &session{
		executor:    e,
		socket:      socket,
		wake:        make(chan struct{}, 1),
		pingNow:     make(chan struct{}, 1),
		pending:     make(map[uint64]*call),
		lastContact: time.Now(),
		hostNumbers: make(map[endpoint]uint64),
		specNumbers: make(map[string]uint64),
	}
}

// accepts reports whether the session accepts orders.
func (s *session) accepts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.ended && !s.leaving
}

// hasReceived reports whether the instance has sent any message.
func (s *session) hasReceived() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.numReceived > 0
}

func (s *session) run(ctx context.Context) error {
	inner := s.tomb.Context(ctx)
	s.tomb.Go(func() error {
		s.tomb.Go(func() error { return s.write(inner) })
		s.tomb.Go(func() error { return s.read(inner) })
		s.tomb.Go(func() error { return s.ping(inner) })
		<-s.tomb.Dying()
		return nil
	})
	err := s.tomb.Wait()
	_ = s.socket.CloseNow()
	return err
}

// do sends an order and waits for its result.
func (s *session) do(ctx context.Context, h provider.Host, o wire.Order, spec string) (wire.Result, provider.HoldResult) {
	c := &call{host: h, order: o, spec: spec, startedAt: time.Now(), done: make(chan reply, 1)}
	if !s.enqueue(c) {
		return wire.Result{Outcome: wire.NotSent, Text: errDown.Error()}, provider.HoldResult{}
	}
	select {
	case r := <-c.done:
		return r.result, r.held
	case <-ctx.Done():
	}
	if s.cancel(c) {
		return wire.Result{Outcome: wire.Unanswered, Text: ctx.Err().Error()}, provider.HoldResult{}
	}
	return wire.Result{Outcome: wire.NotSent, Text: ctx.Err().Error()}, provider.HoldResult{}
}

func (s *session) enqueue(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.leaving || len(s.urgent)+len(s.starts) >= maxQueued {
		return false
	}
	s.lastNumber++
	c.order.Number = s.lastNumber
	s.pending[s.lastNumber] = c
	if c.order.Kind == wire.Start {
		s.starts = append(s.starts, c)
	} else {
		s.urgent = append(s.urgent, c)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// cancel ends the wait for a call's result. It reports whether the order was sent; an
// unsent order won't be sent any more.
func (s *session) cancel(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, c.order.Number)
	return c.sent
}

// write sends the queued orders, all of them in one message, until the session ends.
func (s *session) write(ctx context.Context) error {
	var spacing wire.Spacing
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.wake:
		}
		spacing.Wait(ctx, s.executor.gap.current())
		message := s.compose()
		if len(message.Orders) == 0 {
			continue
		}
		data, err := wire.Encode(message)
		if err != nil {
			return err
		}
		s.executor.counters.sentBytes.Add(int64(len(data)))
		s.executor.counters.sentMessages.Add(1)
		timeoutCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err = s.socket.Write(timeoutCtx, websocket.MessageBinary, data)
		cancel()
		if err != nil {
			return fault.Wrap(fault.Broken, err, "send orders")
		}
	}
}

// compose moves the queued orders into a message.
func (s *session) compose() wire.Orders {
	s.mu.Lock()
	defer s.mu.Unlock()
	message := wire.Orders{
		Sent: s.executor.clock().Milliseconds(),
		Gap:  s.executor.gap.current().Microseconds(),
	}
	for _, queue := range [][]*call{s.urgent, s.starts} {
		for _, c := range queue {
			if s.pending[c.order.Number] != c {
				continue // cancelled before it was sent
			}
			c.sent = true
			s.assignNumbers(c, &message)
			message.Orders = append(message.Orders, c.order)
		}
	}
	s.urgent = nil
	s.starts = nil
	return message
}

// assignNumbers replaces the worker and the specification of an order by their numbers. It
// adds those that are new on this connection to the message.
func (s *session) assignNumbers(c *call, message *wire.Orders) {
	at := endpoint{id: c.host.ID, address: c.host.Address}
	n, ok := s.hostNumbers[at]
	if !ok {
		n = uint64(len(s.hostNumbers))
		s.hostNumbers[at] = n
		message.Hosts = append(message.Hosts, wire.Host{Number: n, ID: c.host.ID, Address: c.host.Address})
	}
	c.order.Host = n
	if c.spec == "" {
		c.order.Spec = wire.MaxSpecs // no specification
		return
	}
	n, ok = s.specNumbers[c.spec]
	if !ok {
		n = s.nextSpec % wire.MaxSpecs
		s.nextSpec++
		delete(s.specNumbers, s.specTexts[n])
		s.specTexts[n] = c.spec
		s.specNumbers[c.spec] = n
		c.order.SpecText = c.spec
	}
	c.order.Spec = n
}

// read receives results until the connection ends.
func (s *session) read(ctx context.Context) error {
	lists := wire.NewRunLists()
	for {
		_, data, err := s.socket.Read(ctx)
		if err != nil {
			return fault.Wrap(fault.Broken, err, "receive results")
		}
		results, err := wire.Decode[wire.Results](data)
		if err != nil {
			return err
		}
		s.handleMessage(len(data), results.Leaving)
		for i := range results.Results {
			if err := s.handleResult(lists, &results.Results[i]); err != nil {
				return err
			}
		}
	}
}

// handleMessage updates the session's state and counters for a received message.
func (s *session) handleMessage(bytes int, leaving bool) {
	s.executor.counters.receivedBytes.Add(int64(bytes))
	s.executor.counters.receivedMessages.Add(1)
	s.mu.Lock()
	s.lastContact = time.Now()
	s.numReceived++
	startedLeaving := leaving && !s.leaving
	s.leaving = s.leaving || leaving
	s.mu.Unlock()
	if startedLeaving {
		s.executor.linkChanged()
	}
}

// handleResult delivers a result to the call that waits for it.
func (s *session) handleResult(lists *wire.RunLists, r *wire.Result) error {
	out := reply{result: *r}
	if r.Held != nil {
		held, err := lists.Decode(r.Host, r.Held) // also without a waiting call, as later lists are differences from it
		if err != nil {
			return err
		}
		out.held = held
	}
	s.mu.Lock()
	c := s.pending[r.Number]
	delete(s.pending, r.Number)
	s.mu.Unlock()
	if c != nil {
		c.done <- out
	}
	if r.Outcome == wire.Late {
		return fault.New(fault.Broken, "orders reached the relay too late: clock change or frozen process")
	}
	return nil
}

// abandon fails all pending calls after the connection has ended.
func (s *session) abandon() {
	s.mu.Lock()
	pending := s.pending
	s.pending = make(map[uint64]*call)
	s.ended = true
	s.mu.Unlock()
	for _, c := range pending {
		outcome := wire.Unanswered
		if !c.sent {
			outcome = wire.NotSent
		}
		c.done <- reply{result: wire.Result{Outcome: outcome, Text: "connection to the relay closed"}}
	}
}

// check closes a connection that is silent while results are pending.
//
// If an instance freezes, loses power or is partitioned, or a middlebox loses the
// state of the connection, the connection stays open but carries nothing. The workers
// behind it look silent, get no tasks, and their leases expire in the end. Reads on such
// a connection don't fail for a long time, so a silent instance is pinged, and the
// connection is closed if no pong arrives in time.
func (s *session) check(now, otherContact time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving && len(s.pending) == 0 {
		s.tomb.Kill(fault.New(fault.Leaving, "relay is leaving"))
		return
	}
	if !s.pingedAt.IsZero() {
		within := allSilentPongTimeout
		if otherContact.After(s.pingedAt) {
			within = pongTimeout
		}
		if now.Sub(s.pingedAt) > within {
			s.tomb.Kill(fault.New(fault.TimedOut, "relay doesn't answer pings"))
		}
		return
	}
	if s.isOverdue(now) {
		s.pingedAt = now
		s.pingNow <- struct{}{} // doesn't block, as one ping at a time is requested
	}
}

func (s *session) lastContactAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastContact
}

// isOverdue reports whether the instance should have sent a message by now.
func (s *session) isOverdue(now time.Time) bool {
	if len(s.pending) == 0 || now.Sub(s.lastContact) < pingAfterOrder {
		return false
	}
	if now.Sub(s.lastContact) >= pingAfterSilence {
		return true
	}
	for _, c := range s.pending {
		if (c.order.Kind != wire.Hold || c.order.Wait == 0) && now.Sub(c.startedAt) >= pingAfterOrder {
			return true
		}
	}
	return false
}

// ping sends the pings that check requests.
func (s *session) ping(ctx context.Context) error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.pingNow:
		}
		if err := s.socket.Ping(ctx); err != nil {
			return fault.Wrap(fault.Broken, err, "ping")
		}
		s.mu.Lock()
		s.pingedAt = time.Time{}
		s.lastContact = time.Now()
		s.mu.Unlock()
	}
}
