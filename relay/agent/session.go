package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"gopkg.in/tomb.v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
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
	for {
		data, err := s.readMessage(ctx)
		if err != nil {
			return err
		}
		orders, err := wire.Decode[wire.Orders](data)
		if err != nil {
			return err
		}
		for _, h := range orders.Hosts {
			s.hosts[h.Number] = provider.Host{ID: h.ID, Address: h.Address}
		}
		s.gap.Store(int64(min(time.Duration(orders.Gap)*time.Microsecond, maxGap)))
		late := s.isLate(orders.Sent)
		for i := range orders.Orders {
			s.handleOrder(ctx, &orders.Orders[i], late)
		}
	}
}

// readMessage waits for a message.
func (s *session) readMessage(ctx context.Context) ([]byte, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	_, data, err := s.socket.Read(timeoutCtx)
	if err != nil {
		return nil, fault.Wrap(fault.Broken, err, "receive orders")
	}
	return data, nil
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
	if o.SpecText != "" {
		s.specs[o.Spec] = o.SpecText
	}
	host, known := s.hosts[o.Host]
	switch {
	case !known:
		s.queueResult(queuedResult{Result: wire.Result{Number: o.Number, Outcome: wire.NotSent, Text: "unknown worker number"}})
		return
	case late:
		s.queueResult(queuedResult{Result: wire.Result{Number: o.Number, Outcome: wire.Late, Text: "order reached the relay too late"}})
		return
	case !s.beginOrder():
		s.queueResult(queuedResult{Result: wire.Result{Number: o.Number, Outcome: wire.NotSent, Text: "too many orders in flight at the relay"}})
		return
	}
	spec := s.specs[o.Spec]
	s.tomb.Go(func() error {
		defer s.endOrder()
		timeoutCtx, cancel := context.WithTimeout(ctx, time.Duration(o.Wait)*time.Millisecond+orderTimeout)
		defer cancel()
		s.queueResult(s.forward(timeoutCtx, host, spec, o))
		return nil
	})
}

func (s *session) beginOrder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.numInFlight >= maxOrders {
		return false
	}
	s.numInFlight++
	return true
}

func (s *session) endOrder() {
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
	s.mu.Unlock()
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
