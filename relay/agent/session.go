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
	// orderTimeout is how long a worker may take for an answer, beside what it
	// was allowed to wait. It is that of an owner that orders by itself.
	orderTimeout = 900 * time.Millisecond
	// lateAfter is how much longer than the quickest one a message may have been on
	// its way for its orders to be sent on.
	//
	// What goes wrong: this instance stands still, and goes on seconds later with
	// what was sent to it meanwhile. The owner has ordered otherwise since, so that
	// an old pace undoes a newer one. Starts would be refused by their deadline, but
	// paces have none. It shows as orders that arrive seconds after they were given.
	lateAfter = 500 * time.Millisecond
	// writeTimeout is for a message to an owner that doesn't read.
	writeTimeout = 2 * time.Second
	// idleAfter is how long an owner may send nothing. One that orders workers this
	// way does so every two seconds at least. One that lost power ends nothing: its
	// connections would stay for good, a few kilobytes each.
	idleAfter = 30 * time.Second
	// longestGap bounds how far apart an owner may ask for results. More would keep
	// them from it for as long as it takes to pass this instance over.
	longestGap = 100 * time.Millisecond
	// mostOrders bounds the orders under way on one connection. An owner has one
	// hold a worker under way and at most 256 starts.
	mostOrders = 4096
)

// session is one owner's connection.
type session struct {
	agent  *Agent
	socket *websocket.Conn
	tomb   tomb.Tomb

	// Owned by the reader.
	hosts map[uint64]provider.Host
	specs map[uint64]string
	least time.Duration // difference of the two clocks by the quickest message
	timed bool          // whether one has come

	gap atomic.Int64 // least time between two messages to the owner, which asks for it; nanoseconds

	mu      sync.Mutex
	results []outcome // that wait to be sent
	open    int       // orders under way
	leaving bool      // and the owner has to be told
	wake    chan struct{}
}

// outcome is a result, with the answer to a hold as it came. What is sent of it
// depends on what was sent before.
type outcome struct {
	wire.Result
	held *provider.Held
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

// read takes orders until the connection ends.
func (s *session) read(ctx context.Context) error {
	for {
		data, err := s.next(ctx)
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
		s.gap.Store(int64(min(time.Duration(orders.Gap)*time.Microsecond, longestGap)))
		late := s.isLate(orders.Sent)
		for i := range orders.Orders {
			s.take(ctx, &orders.Orders[i], late)
		}
	}
}

// next waits for a message.
func (s *session) next(ctx context.Context) ([]byte, error) {
	once, cancel := context.WithTimeout(ctx, idleAfter)
	defer cancel()
	_, data, err := s.socket.Read(once)
	if err != nil {
		return nil, fault.Wrap(fault.Broken, err, "read orders")
	}
	return data, nil
}

// isLate reports whether a message was on its way for too long.
func (s *session) isLate(sent int64) bool {
	difference := s.agent.clock() - time.Duration(sent)*time.Millisecond
	if !s.timed || difference < s.least {
		s.least = difference
		s.timed = true
	}
	return difference-s.least > lateAfter
}

// take begins to carry out an order.
func (s *session) take(ctx context.Context, o *wire.Order, late bool) {
	if o.SpecText != "" {
		s.specs[o.Spec] = o.SpecText
	}
	host, known := s.hosts[o.Host]
	switch {
	case !known:
		s.answer(outcome{Result: wire.Result{Number: o.Number, Outcome: wire.NotSent, Text: "worker isn't known"}})
		return
	case late:
		s.answer(outcome{Result: wire.Result{Number: o.Number, Outcome: wire.Late, Text: "late at the relay"}})
		return
	case !s.begin():
		s.answer(outcome{Result: wire.Result{Number: o.Number, Outcome: wire.NotSent, Text: "too many orders at the relay"}})
		return
	}
	spec := s.specs[o.Spec]
	s.tomb.Go(func() error {
		defer s.end()
		once, cancel := context.WithTimeout(ctx, time.Duration(o.Wait)*time.Millisecond+orderTimeout)
		defer cancel()
		s.answer(s.carryOut(once, host, spec, o))
		return nil
	})
}

func (s *session) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= mostOrders {
		return false
	}
	s.open++
	return true
}

func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// carryOut sends an order on and returns its outcome.
func (s *session) carryOut(ctx context.Context, host provider.Host, spec string, o *wire.Order) outcome {
	out := outcome{Result: wire.Result{Number: o.Number, Host: o.Host}}
	run := provider.RunOrder{Host: host, Token: o.Token, Task: o.Task, Attempt: o.Attempt, Percent: o.Percent}
	var err error
	switch o.Kind {
	case wire.Hold:
		var held provider.Held
		held, err = s.agent.executor.Hold(ctx, provider.HoldOrder{
			Host:     host,
			Token:    o.Token,
			Seen:     o.Seen,
			Deadline: o.Deadline,
			Wait:     time.Duration(o.Wait) * time.Millisecond,
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
		err = fault.New(fault.Unavailable, "order of kind %d isn't known", o.Kind)
	}
	out.Outcome = wire.OutcomeOf(err)
	if err != nil {
		out.Text = err.Error()
	}
	return out
}

func (s *session) answer(o outcome) {
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

// write sends results as they come, all that wait in one message.
func (s *session) write(ctx context.Context) error {
	lists := wire.NewLists()
	var spacing wire.Spacing
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.wake:
		}
		spacing.Wait(ctx, time.Duration(s.gap.Load()))
		results, leaving := s.waiting()
		if len(results) == 0 && !leaving {
			continue
		}
		message := wire.Results{Leaving: leaving}
		for _, o := range results {
			if o.held != nil {
				o.Held = lists.Shrink(o.Host, *o.held)
			}
			message.Results = append(message.Results, o.Result)
		}
		if err := s.send(ctx, message); err != nil {
			return err
		}
	}
}

func (s *session) waiting() (results []outcome, leaving bool) {
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
	once, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := s.socket.Write(once, websocket.MessageBinary, data); err != nil {
		return fault.Wrap(fault.Broken, err, "send results")
	}
	return nil
}
