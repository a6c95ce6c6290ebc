package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/client"
	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/peer"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

const (
	callTimeout   = 1500 * time.Millisecond
	appendTimeout = 3 * time.Second
	readLimit     = 2000
	readWait      = time.Second
	readTimeout   = 8 * time.Second
)

// runControl is the control goroutine: the only one that touches the
// controller. It never waits for anything but the next input.
func (d *Daemon) runControl() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-ticker.C:
			d.step(controller.Tick{})
		case e := <-d.inputs:
			d.open(e)
		}
	}
}

func (d *Daemon) open(e envelope) {
	if e.run != nil {
		e.run(d.control)
	} else {
		d.step(e.input)
	}
	if e.done != nil {
		close(e.done)
	}
}

func (d *Daemon) step(in controller.Input) {
	for _, a := range d.control.Step(time.Now(), in) {
		d.carryOut(a)
	}
	d.ready[0].Store(d.control.Next(controller.ZoneStream(d.self.AvailabilityZone)))
	d.ready[1].Store(d.control.Next(controller.ConfigStream))
}

// put hands an input to the control goroutine.
func (d *Daemon) put(in controller.Input) {
	select {
	case d.inputs <- envelope{input: in}:
	case <-d.tomb.Dying():
	}
}

// putAndWait hands over an input and waits until it was taken.
func (d *Daemon) putAndWait(in controller.Input) {
	d.wait(envelope{input: in, done: make(chan struct{})})
}

// inspect runs f on the control goroutine.
func (d *Daemon) inspect(f func(*controller.Controller)) bool {
	return d.wait(envelope{run: f, done: make(chan struct{})})
}

func (d *Daemon) wait(e envelope) bool {
	select {
	case d.inputs <- e:
	case <-d.tomb.Dying():
		return false
	}
	select {
	case <-e.done:
		return true
	case <-d.tomb.Dying():
		return false
	}
}

// carryOut does what an action asks for, without waiting for its outcome.
func (d *Daemon) carryOut(a controller.Action) {
	switch a := a.(type) {
	case controller.Append:
		d.tomb.Go(func() error { d.append(a); return nil })
	case controller.Call:
		d.tomb.Go(func() error { d.call(a); return nil })
	case controller.Poll:
		d.tomb.Go(func() error { d.poll(a); return nil })
	case controller.Send:
		d.send(a)
	case controller.Link:
		d.mesh.Set(a.Peers)
	case controller.Publish:
		d.gateway.Publish(a.Table)
	case controller.Answer:
		d.answer(a)
	case controller.Event:
		d.event(a)
	case controller.Left:
		d.leftOnce.Do(func() { close(d.left) })
	}
}

func (d *Daemon) append(a controller.Append) {
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), appendTimeout)
	defer cancel()
	_, err := d.log.Append(ctx, a.Stream, a.Data)
	d.counters.appended(a, err)
	d.put(controller.Appended{Stream: a.Stream, Err: err})
}

func (d *Daemon) send(a controller.Send) {
	if err := d.mesh.Send(a.To, a.Message); err != nil {
		d.logger.Debug("not sent", zap.String("to", a.To), zap.Error(err))
	}
}

func (d *Daemon) answer(a controller.Answer) {
	if waiting, ok := d.answers.LoadAndDelete(a.ID); ok {
		waiting.(chan controller.Answer) <- a
	}
}

func (d *Daemon) event(e controller.Event) {
	fields := make([]zap.Field, 0, len(e.Fields)/2)
	for i := 0; i+1 < len(e.Fields); i += 2 {
		fields = append(fields, zap.Any(e.Fields[i].(string), e.Fields[i+1]))
	}
	switch e.Level {
	case controller.Warn:
		d.logger.Warn(e.Name, fields...)
	case controller.Info:
		d.logger.Info(e.Name, fields...)
	default:
		d.logger.Debug(e.Name, fields...)
	}
}

// worker returns the client of the worker at an address.
func (d *Daemon) worker(address string) provider.Worker {
	if w, ok := d.clients.Load(address); ok {
		return w.(provider.Worker)
	}
	w, _ := d.clients.LoadOrStore(address, client.NewWorker(address))
	return w.(provider.Worker)
}

// call makes one call to a worker and hands its answer to the controller.
func (d *Daemon) call(a controller.Call) {
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), callTimeout)
	defer cancel()
	w := d.worker(a.Address)
	sent := time.Now()
	switch a.Verb {
	case controller.Acquire, controller.Renew, controller.Transfer:
		l, err := d.callLease(ctx, w, a)
		d.put(controller.Leased{Worker: a.Worker, Verb: a.Verb, Sent: sent, Lease: l, Err: err})
	default:
		err := d.callTask(ctx, w, a)
		d.put(controller.Called{Worker: a.Worker, Verb: a.Verb, Task: taskOf(a), Attempt: a.Spec.Attempt, Sent: sent, Err: err})
	}
}

// poll asks a worker for its report.
func (d *Daemon) poll(a controller.Poll) {
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), callTimeout)
	defer cancel()
	report, err := d.worker(a.Address).Report(ctx)
	if err != nil {
		d.logger.Debug("no report", zap.String("worker", a.Worker), zap.Error(err))
		return
	}
	d.put(controller.Reported{Worker: a.Worker, Report: report})
}

func (d *Daemon) callLease(ctx context.Context, w provider.Worker, a controller.Call) (provider.Lease, error) {
	switch a.Verb {
	case controller.Acquire:
		return w.Acquire(ctx, a.Lease)
	case controller.Renew:
		return w.Renew(ctx, a.Lease)
	default:
		return w.Transfer(ctx, a.Epoch, a.To)
	}
}

func (d *Daemon) callTask(ctx context.Context, w provider.Worker, a controller.Call) error {
	switch a.Verb {
	case controller.Release:
		return w.Release(ctx, a.Epoch)
	case controller.Start:
		return w.Start(ctx, a.Epoch, a.Spec)
	case controller.Stop:
		return w.Stop(ctx, a.Epoch, a.Task, a.Checkpoint)
	case controller.Throttle:
		return w.Throttle(ctx, a.Epoch, a.Task, a.Percent)
	case controller.Acknowledge:
		return w.Acknowledge(ctx, a.Epoch, a.Tasks)
	}
	return fault.New(fault.Internal, "no call %v", a.Verb)
}

func taskOf(a controller.Call) string {
	if a.Verb == controller.Start {
		return a.Spec.ID
	}
	return a.Task
}

// follow reads a stream's tail, one page at a time.
func (d *Daemon) follow(index int, stream string) error {
	for d.tomb.Alive() {
		ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), readTimeout)
		sent := time.Now()
		page, err := d.log.Read(ctx, stream, d.ready[index].Load(), readLimit, readWait)
		cancel()
		d.counters.read(page, err)
		d.putAndWait(controller.Read{Stream: stream, Sent: sent, Page: page, Err: err})
		d.sleep(d.settings.Timing.Tail)
	}
	return nil
}

func (d *Daemon) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.tomb.Dying():
	}
}

func (d *Daemon) pollList() error {
	for d.tomb.Alive() {
		ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), callTimeout)
		instances, err := d.list.Instances(ctx)
		cancel()
		if err != nil {
			d.logger.Debug("instances not listed", zap.Error(err)) // the last list stays
		} else {
			d.put(controller.Listed{Instances: instances})
		}
		d.sleep(listInterval)
	}
	return nil
}

func (d *Daemon) pollFree() error {
	for d.tomb.Alive() {
		d.put(controller.Free{Slots: d.gateway.Free()})
		d.sleep(freeInterval)
	}
	return nil
}

// receive turns messages from other instances into inputs.
func (d *Daemon) receive() error {
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case r, ok := <-d.mesh.Received():
			if !ok {
				return nil
			}
			if in := inputOf(r); in != nil {
				d.put(in)
			}
		}
	}
}

func inputOf(r peer.Received) controller.Input {
	switch m := r.Message.(type) {
	case peer.Heartbeat:
		return controller.Heard{Heartbeat: member.Heartbeat(m)}
	case peer.Unlinked:
		return controller.Unlinked{ID: r.From, Refused: m.Refused}
	case peer.ConfigRequest:
		return controller.Asked{From: r.From, Revision: m.Revision}
	case peer.Config:
		return controller.Offered{From: r.From, Config: m}
	case peer.Handover:
		return controller.HandedOver{From: r.From, Worker: m.Worker, Epoch: m.Epoch}
	}
	return nil
}
