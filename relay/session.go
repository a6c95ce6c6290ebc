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

// specNumbers is how many specifications of jobs the other end remembers. The
// tasks of a job start close to each other.
const specNumbers = 256

// session is one connection with an instance.
type session struct {
	executor *Executor
	socket   *websocket.Conn
	tomb     tomb.Tomb
	wake     chan struct{} // there are orders to send
	asked    chan struct{} // it has to be pinged

	mu      sync.Mutex
	ended   bool // nothing is sent any more
	leaving bool // the instance takes no further orders
	last    uint64
	urgent  []*call // holds, stops and paces that wait to be sent
	starts  []*call // they go after the urgent ones
	pending map[uint64]*call
	heard   time.Time // last message
	pinged  time.Time // since when an answer to a ping is waited for, zero for none
	got     uint64    // messages

	// Owned by the writer.
	hosts  map[endpoint]uint64 // numbers of workers
	specs  map[string]uint64   // numbers of specifications
	texts  [specNumbers]string
	specAt uint64
}

// endpoint is a worker at an address: it may restart under its ID at another one.
type endpoint struct {
	id, address string
}

// call is an order under way.
type call struct {
	host  provider.Host
	order wire.Order
	spec  string
	began time.Time
	sent  bool
	done  chan reply // takes one
}

type reply struct {
	result wire.Result
	held   provider.Held
}

func newSession(e *Executor, socket *websocket.Conn) *session {
	return &session{
		executor: e,
		socket:   socket,
		wake:     make(chan struct{}, 1),
		asked:    make(chan struct{}, 1),
		pending:  make(map[uint64]*call),
		heard:    time.Now(),
		hosts:    make(map[endpoint]uint64),
		specs:    make(map[string]uint64),
	}
}

// takes reports whether the instance takes orders.
func (s *session) takes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.ended && !s.leaving
}

// served reports whether the instance has sent anything.
func (s *session) served() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got > 0
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
func (s *session) do(ctx context.Context, h provider.Host, o wire.Order, spec string) (wire.Result, provider.Held) {
	c := &call{host: h, order: o, spec: spec, began: time.Now(), done: make(chan reply, 1)}
	if !s.enqueue(c) {
		return wire.Result{Outcome: wire.NotSent, Text: errDown.Error()}, provider.Held{}
	}
	select {
	case r := <-c.done:
		return r.result, r.held
	case <-ctx.Done():
	}
	if s.giveUp(c) {
		return wire.Result{Outcome: wire.Unanswered, Text: ctx.Err().Error()}, provider.Held{}
	}
	return wire.Result{Outcome: wire.NotSent, Text: ctx.Err().Error()}, provider.Held{}
}

func (s *session) enqueue(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.leaving || len(s.urgent)+len(s.starts) >= maxQueued {
		return false
	}
	s.last++
	c.order.Number = s.last
	s.pending[s.last] = c
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

// giveUp ends the wait for a call's result. It reports whether the order was
// sent; one that wasn't won't be.
func (s *session) giveUp(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, c.order.Number)
	return c.sent
}

// write sends what waits, as one message.
func (s *session) write(ctx context.Context) error {
	var spacing wire.Spacing
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.wake:
		}
		spacing.Wait(ctx, s.executor.gap.inForce())
		message := s.compose()
		if len(message.Orders) == 0 {
			continue
		}
		data, err := wire.Encode(message)
		if err != nil {
			return err
		}
		s.executor.counters.sent.Add(int64(len(data)))
		s.executor.counters.frames.Add(1)
		once, cancel := context.WithTimeout(ctx, writeTimeout)
		err = s.socket.Write(once, websocket.MessageBinary, data)
		cancel()
		if err != nil {
			return fault.Wrap(fault.Broken, err, "send orders")
		}
	}
}

// compose takes what waits to be sent.
func (s *session) compose() wire.Orders {
	s.mu.Lock()
	defer s.mu.Unlock()
	message := wire.Orders{
		Sent: s.executor.clock().Milliseconds(),
		Gap:  s.executor.gap.inForce().Microseconds(),
	}
	for _, queue := range [][]*call{s.urgent, s.starts} {
		for _, c := range queue {
			if s.pending[c.order.Number] != c {
				continue // given up before it was sent
			}
			c.sent = true
			s.number(c, &message)
			message.Orders = append(message.Orders, c.order)
		}
	}
	s.urgent = nil
	s.starts = nil
	return message
}

// number puts numbers in place of the worker and the specification.
func (s *session) number(c *call, message *wire.Orders) {
	at := endpoint{id: c.host.ID, address: c.host.Address}
	n, ok := s.hosts[at]
	if !ok {
		n = uint64(len(s.hosts))
		s.hosts[at] = n
		message.Hosts = append(message.Hosts, wire.Host{Number: n, ID: c.host.ID, Address: c.host.Address})
	}
	c.order.Host = n
	if c.spec == "" {
		c.order.Spec = specNumbers // stands for none
		return
	}
	n, ok = s.specs[c.spec]
	if !ok {
		n = s.specAt % specNumbers
		s.specAt++
		delete(s.specs, s.texts[n])
		s.texts[n] = c.spec
		s.specs[c.spec] = n
		c.order.SpecText = c.spec
	}
	c.order.Spec = n
}

// read takes results until the connection ends.
func (s *session) read(ctx context.Context) error {
	lists := wire.NewLists()
	for {
		_, data, err := s.socket.Read(ctx)
		if err != nil {
			return fault.Wrap(fault.Broken, err, "read results")
		}
		results, err := wire.Decode[wire.Results](data)
		if err != nil {
			return err
		}
		s.note(len(data), results.Leaving)
		for i := range results.Results {
			if err := s.settle(lists, &results.Results[i]); err != nil {
				return err
			}
		}
	}
}

// note takes note of a message.
func (s *session) note(bytes int, leaving bool) {
	s.executor.counters.got.Add(int64(bytes))
	s.executor.counters.received.Add(1)
	s.mu.Lock()
	s.heard = time.Now()
	s.got++
	left := leaving && !s.leaving
	s.leaving = s.leaving || leaving
	s.mu.Unlock()
	if left {
		s.executor.changed()
	}
}

// settle hands a result to whoever waits for it.
func (s *session) settle(lists *wire.Lists, r *wire.Result) error {
	out := reply{result: *r}
	if r.Held != nil {
		held, err := lists.Restore(r.Host, r.Held) // also if nobody waits: later ones build on it
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
		return fault.New(fault.Broken, "its clock and ours don't go together any more, or one stood still")
	}
	return nil
}

// abandon tells all that wait that no result will come.
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
		c.done <- reply{result: wire.Result{Outcome: outcome, Text: "the connection ended"}}
	}
}

// look ends a connection that is silent while results are waited for.
//
// What goes wrong: an instance freezes, loses power or is cut off, or something
// on the way loses track of the connection, which stays open and carries nothing. The
// workers behind it look silent, get no tasks, and their leases would end at last. No
// read fails for long, so an instance that says nothing is asked, and passed over
// if it doesn't answer.
func (s *session) look(now, elsewhere time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving && len(s.pending) == 0 {
		s.tomb.Kill(fault.New(fault.Leaving, "it leaves"))
		return
	}
	if !s.pinged.IsZero() {
		within := allAnswerWithin
		if elsewhere.After(s.pinged) {
			within = answerWithin
		}
		if now.Sub(s.pinged) > within {
			s.tomb.Kill(fault.New(fault.TimedOut, "silent"))
		}
		return
	}
	if s.owes(now) {
		s.pinged = now
		s.asked <- struct{}{} // one at a time is asked for
	}
}

func (s *session) lastHeard() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard
}

// owes reports whether the instance should have been heard.
func (s *session) owes(now time.Time) bool {
	if len(s.pending) == 0 || now.Sub(s.heard) < promptFor {
		return false
	}
	if now.Sub(s.heard) >= quietFor {
		return true
	}
	for _, c := range s.pending {
		if (c.order.Kind != wire.Hold || c.order.Wait == 0) && now.Sub(c.began) >= promptFor {
			return true
		}
	}
	return false
}

// ping asks the instance whether it is there, when look wants it.
func (s *session) ping(ctx context.Context) error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.asked:
		}
		if err := s.socket.Ping(ctx); err != nil {
			return fault.Wrap(fault.Broken, err, "ping")
		}
		s.mu.Lock()
		s.pinged = time.Time{}
		s.heard = time.Now()
		s.mu.Unlock()
	}
}
