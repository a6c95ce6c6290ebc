package agent

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"gopkg.in/tomb.v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/ingress"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/relay/wire"
)

const (
	// orderTimeout is how long a worker may take to answer, in addition to the wait of
	// a hold. It equals the timeout of direct orders.
	orderTimeout = 900 * time.Millisecond
	// maxDelay is the longest transit time of a message, beyond that of the fastest
	// one, for its orders to be forwarded.
	//
	// A frozen instance that resumes seconds later would otherwise forward the orders
	// received meanwhile. The owner has sent newer ones by other routes since, so that
	// an old pace would undo a newer one. Starts are refused by their deadline, but
	// paces have none.
	maxDelay = 500 * time.Millisecond
	// writeTimeout bounds a write to an owner that doesn't read.
	writeTimeout = 2 * time.Second
	// idleTimeout is how long an owner may send nothing. An active owner sends orders
	// at least every two seconds. An owner that lost power doesn't close its
	// connections, which would stay open forever, at a few kilobytes each.
	idleTimeout = 30 * time.Second
	// maxGap bounds the gap between results that an owner may request. A longer gap
	// would delay results for as long as the owner takes to consider this instance
	// silent.
	maxGap = 100 * time.Millisecond
	// maxOrders bounds the orders in flight on one connection. An owner has one hold
	// per worker and at most 256 starts in flight.
	maxOrders = 4096
	// maxResults bounds the results that wait for an owner to read them: those of the
	// orders in flight, and as many of orders that weren't forwarded.
	maxResults = 2 * maxOrders
)

// What a connection keeps, in bytes. It counts toward what clients may hold.
const (
	sessionBytes = 48 << 10 // goroutines and buffers
	orderBytes   = 8 << 10  // goroutine and request of an order in flight
	entryBytes   = 128      // entry of a worker or a specification, besides its text
)

// session is one owner's connection.
type session struct {
	agent  *Agent
	socket *websocket.Conn
	tomb   tomb.Tomb

	// Owned by the reader.
	hosts              map[uint64]provider.Host
	specs              map[uint64]string
	minClockDifference time.Duration // smallest difference between the local clock and a message's timestamp
	hasClockDifference bool          // whether minClockDifference is set

	gap atomic.Int64 // least time between two messages to the owner, requested by it, in nanoseconds

	mu          sync.Mutex
	results     []queuedResult // queued for sending
	numInFlight int            // number of orders in flight
	leaving     bool           // the owner has to be told that this instance leaves
	wake        chan struct{}
}

// queuedResult is a result with the complete answer to a hold. The answer is encoded when it
// is sent, as its difference from the one sent before.
type queuedResult struct {
	wire.Result
	held *provider.HoldResult
}

func newSession(a *Agent, socket *websocket.Conn) *session {
	return &session{
		agent:  a,
		socket: socket,
		hosts:  make(map[uint64]provider.Host),
		specs:  make(map[uint64]string),
		wake:   make(chan struct{}, 1),
	}
}

func (s *session) run(ctx context.Context) error {
	inner := s.tomb.Context(ctx)
	s.tomb.Go(func() error {
		s.tomb.Go(func() error { return s.write(inner) })
		return s.read(inner)
	})
	return s.tomb.Wait()
}

// read receives orders until the connection ends.
func (s *session) read(ctx context.Context) error {
	if err := ingress.Hold(ctx, sessionBytes); err != nil {
		return err
	}
	for {
		if err := s.handleMessage(ctx); err != nil {
			return err
		}
	}
}

// handleMessage waits for a message and starts to carry out its orders.
func (s *session) handleMessage(ctx context.Context) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	_, reader, err := s.socket.Reader(timeoutCtx)
	if err != nil {
		return fault.Wrap(fault.Broken, err, "receive orders")
	}
	message, done := ingress.Message(ctx, reader)
	defer done()
	data, err := io.ReadAll(message)
	if err != nil {
		return fault.Wrap(fault.Broken, err, "receive orders")
	}
	orders, err := wire.DecodeOrders(data)
	if err != nil {
		return err
	}
	if err := s.addHosts(ctx, orders.Hosts); err != nil {
		return err
	}
	s.gap.Store(int64(min(time.Duration(orders.Gap)*time.Microsecond, maxGap)))
	late := s.isLate(orders.Sent)
	for i := range orders.Orders {
		o := &orders.Orders[i]
		if err := s.setSpec(ctx, o.Spec, o.SpecText); err != nil {
			return err
		}
		s.handleOrder(ctx, o, late)
	}
	return nil
}

// addHosts adds the workers of a message. An owner doesn't number a worker anew.
func (s *session) addHosts(ctx context.Context, hosts []wire.Host) error {
	for _, h := range hosts {
		if err := ingress.Hold(ctx, int64(entryBytes+len(h.ID)+len(h.Address))); err != nil {
			return err
		}
		s.hosts[h.Number] = provider.Host{ID: h.ID, Address: h.Address}
	}
	return nil
}

// setSpec sets the text of a specification, if there is one.
func (s *session) setSpec(ctx context.Context, number uint64, text string) error {
	if text == "" {
		return nil
	}
	if number >= wire.MaxSpecs {
		return fault.New(fault.Invalid, "number %d of a specification, of %d", number, wire.MaxSpecs)
	}
	if err := ingress.Hold(ctx, int64(entryBytes+len(text))); err != nil {
		return err
	}
	if old, ok := s.specs[number]; ok {
		ingress.Release(ctx, int64(entryBytes+len(old)))
	}
	s.specs[number] = text
	return nil
}

// isLate reports whether a message was in transit for longer than maxDelay. Only
// differences between the two clocks are compared, as they aren't synchronized.
func (s *session) isLate(sent int64) bool {
	return s.compareClocks(sent)-s.minClockDifference > maxDelay
}

// compareClocks returns the difference between the local clock and a timestamp, and updates
// minClockDifference.
func (s *session) compareClocks(sent int64) time.Duration {
	difference := s.agent.clock() - time.Duration(sent)*time.Millisecond
	if !s.hasClockDifference || difference < s.minClockDifference {
		s.minClockDifference = difference
		s.hasClockDifference = true
	}
	return difference
}

// handleOrder starts to carry out an order.
func (s *session) handleOrder(ctx context.Context, o *wire.Order, late bool) {
	host, known := s.hosts[o.Host]
	switch {
	case !known:
		s.queueResult(queuedResult{Result: wire.Result{Number: o.Number, Outcome: wire.NotSent, Text: "unknown worker number"}})
		return
	case late:
		s.queueResult(queuedResult{Result: wire.Result{Number: o.Number, Outcome: wire.Late, Text: "order reached the relay too late"}})
		return
	case !s.beginOrder(ctx):
		s.queueResult(queuedResult{Result: wire.Result{Number: o.Number, Outcome: wire.NotSent, Text: "too many orders in flight at the relay"}})
		return
	}
	spec := s.specs[o.Spec]
	s.tomb.Go(func() error {
		defer s.endOrder(ctx)
		timeoutCtx, cancel := context.WithTimeout(ctx, time.Duration(o.Wait)*time.Millisecond+orderTimeout)
		defer cancel()
		s.queueResult(s.forward(timeoutCtx, host, spec, o))
		return nil
	})
}

func (s *session) beginOrder(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.numInFlight >= maxOrders || ingress.Hold(ctx, orderBytes) != nil {
		return false
	}
	s.numInFlight++
	return true
}

func (s *session) endOrder(ctx context.Context) {
	ingress.Release(ctx, orderBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.numInFlight--
}

// forward forwards an order to its worker and returns its outcome.
func (s *session) forward(ctx context.Context, host provider.Host, spec string, o *wire.Order) queuedResult {
	out := queuedResult{Result: wire.Result{Number: o.Number, Host: o.Host}}
	run := provider.RunOrder{Host: host, Token: o.Token, Task: o.Task, Attempt: o.Attempt, Percent: o.Percent}
	var err error
	switch o.Kind {
	case wire.Hold:
		var held provider.HoldResult
		end, incarnation := o.AckedEnd()
		held, err = s.agent.executor.Hold(ctx, provider.HoldOrder{
			Host:             host,
			Token:            o.Token,
			AckedEnd:         end,
			AckedIncarnation: incarnation,
			Deadline:         o.Deadline,
			Wait:             time.Duration(o.Wait) * time.Millisecond,
		})
		if err == nil {
			out.held = &held
		}
	case wire.Start:
		out.Refusal, err = s.agent.executor.Start(ctx, provider.StartOrder{
			Host:       host,
			Token:      o.Token,
			Task:       o.Task,
			Attempt:    o.Attempt,
			Spec:       spec,
			Deadline:   o.Deadline,
			Checkpoint: o.Checkpoint,
			Ticket:     o.Ticket,
		})
	case wire.Stop:
		err = s.agent.executor.Stop(ctx, run)
	case wire.Pace:
		err = s.agent.executor.Pace(ctx, run)
	default:
		err = fault.New(fault.Unavailable, "unknown kind of order %d", o.Kind)
	}
	out.Outcome = wire.OutcomeOf(err)
	if err != nil {
		out.Text = wire.TextOf(err)
	}
	return out
}

func (s *session) queueResult(o queuedResult) {
	s.mu.Lock()
	s.results = append(s.results, o)
	full := len(s.results) > maxResults
	s.mu.Unlock()
	if full {
		s.tomb.Kill(fault.New(fault.Overloaded, "more than %d results wait for the owner", maxResults))
	}
	s.signal()
}

func (s *session) leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.signal()
}

func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write sends results until the session ends, all queued ones in one message.
func (s *session) write(ctx context.Context) error {
	lists := wire.NewRunLists()
	var spacing wire.Spacing
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.wake:
		}
		spacing.Wait(ctx, time.Duration(s.gap.Load()))
		results, leaving := s.takeQueued()
		if len(results) == 0 && !leaving {
			continue
		}
		message := wire.Results{Leaving: leaving}
		for _, o := range results {
			if o.held != nil {
				o.Held = lists.Encode(o.Host, *o.held)
			}
			message.Results = append(message.Results, o.Result)
		}
		if err := s.send(ctx, message); err != nil {
			return err
		}
	}
}

func (s *session) takeQueued() (results []queuedResult, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	results = s.results
	s.results = nil
	return results, s.leaving
}

func (s *session) send(ctx context.Context, message wire.Results) error {
	data, err := wire.Encode(message)
	if err != nil {
		return err
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := s.socket.Write(timeoutCtx, websocket.MessageBinary, data); err != nil {
		return fault.Wrap(fault.Broken, err, "send results")
	}
	return nil
}
