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
	callTimeout    = 1500 * time.Millisecond
	appendTimeout  = 3 * time.Second
	maxReadEntries = 2000
	readWait       = time.Second
	readTimeout    = 8 * time.Second
)

// runControl is the control goroutine, the only one that accesses the
// controller. It blocks on nothing but the next input.
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
			d.process(e)
		}
	}
}

// process runs an op on the control goroutine and signals its end.
func (d *Daemon) process(op controlOp) {
	if op.run != nil {
		op.run(d.control)
	} else {
		d.step(op.input)
	}
	if op.done != nil {
		close(op.done)
	}
}

// step passes an input to the controller, performs the resulting actions, and
// updates the offsets to read from.
func (d *Daemon) step(in controller.Input) {
	for _, a := range d.control.Step(time.Now(), in) {
		d.performAction(a)
	}
	d.nextOffsets[0].Store(d.control.NextOffset(controller.ZoneStream(d.self.AvailabilityZone)))
	d.nextOffsets[1].Store(d.control.NextOffset(controller.ConfigStream))
}

// enqueue passes an input to the control goroutine.
func (d *Daemon) enqueue(in controller.Input) {
	select {
	case d.inputs <- controlOp{input: in}:
	case <-d.tomb.Dying():
	}
}

// enqueueAndWait passes an input to the control goroutine and waits until it
// was processed.
func (d *Daemon) enqueueAndWait(in controller.Input) {
	d.submit(controlOp{input: in, done: make(chan struct{})})
}

// inspect runs f on the control goroutine and reports whether it ran.
func (d *Daemon) inspect(f func(*controller.Controller)) bool {
	return d.submit(controlOp{run: f, done: make(chan struct{})})
}

// submit passes an op to the control goroutine, waits for its end, and reports
// whether it was processed, which it isn't when the daemon stops.
func (d *Daemon) submit(op controlOp) bool {
	select {
	case d.inputs <- op:
	case <-d.tomb.Dying():
		return false
	}
	select {
	case <-op.done:
		return true
	case <-d.tomb.Dying():
		return false
	}
}

// performAction executes an action without waiting for its outcome.
func (d *Daemon) performAction(a controller.Action) {
	switch a := a.(type) {
	case controller.Append:
		d.tomb.Go(func() error { d.appendRecords(a); return nil })
	case controller.Call:
		d.tomb.Go(func() error { d.callWorker(a); return nil })
	case controller.Poll:
		d.tomb.Go(func() error { d.pollReport(a); return nil })
	case controller.Send:
		d.send(a)
	case controller.Link:
		d.mesh.SetPeers(a.Peers)
	case controller.Publish:
		d.gateway.Publish(a.Table)
	case controller.Answer:
		d.deliverAnswer(a)
	case controller.Event:
		d.logEvent(a)
	case controller.Left:
		d.leftOnce.Do(func() { close(d.left) })
	}
}

func (d *Daemon) appendRecords(a controller.Append) {
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), appendTimeout)
	defer cancel()
	_, err := d.log.Append(ctx, a.Stream, a.Data)
	d.counters.countAppend(a, err)
	d.enqueue(controller.Appended{Stream: a.Stream, Err: err})
}

func (d *Daemon) send(a controller.Send) {
	if err := d.mesh.Send(a.To, a.Message); err != nil {
		d.logger.Debug("message to peer not sent", zap.String("to", a.To), zap.Error(err))
	}
}

func (d *Daemon) deliverAnswer(a controller.Answer) {
	if answerCh, ok := d.answers.LoadAndDelete(a.ID); ok {
		answerCh.(chan controller.Answer) <- a
	}
}

func (d *Daemon) logEvent(e controller.Event) {
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

// workerClient returns the cached client of the worker at an address, and
// creates it on first use.
func (d *Daemon) workerClient(address string) provider.Worker {
	if cached, ok := d.workerClients.Load(address); ok {
		return cached.(provider.Worker)
	}
	w, _ := d.workerClients.LoadOrStore(address, client.NewWorker(address))
	return w.(provider.Worker)
}

// callWorker makes one call to a worker and passes the result to the controller.
func (d *Daemon) callWorker(a controller.Call) {
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), callTimeout)
	defer cancel()
	w := d.workerClient(a.Address)
	sent := time.Now()
	switch a.Verb {
	case controller.Acquire, controller.Renew, controller.Transfer:
		l, err := d.callLease(ctx, w, a)
		d.enqueue(controller.Leased{Worker: a.Worker, Verb: a.Verb, Sent: sent, Lease: l, Err: err})
	default:
		err := d.callTask(ctx, w, a)
		d.enqueue(controller.Called{Worker: a.Worker, Verb: a.Verb, Task: taskOf(a), Attempt: a.Spec.Attempt, Sent: sent, Err: err})
	}
}

// pollReport fetches a worker's report and passes it to the controller.
func (d *Daemon) pollReport(a controller.Poll) {
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), callTimeout)
	defer cancel()
	report, err := d.workerClient(a.Address).Report(ctx)
	if err != nil {
		d.logger.Debug("worker report failed", zap.String("worker", a.Worker), zap.Error(err))
		return
	}
	d.enqueue(controller.Reported{Worker: a.Worker, Report: report})
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
	return fault.New(fault.Internal, "unknown worker call %v", a.Verb)
}

func taskOf(a controller.Call) string {
	if a.Verb == controller.Start {
		return a.Spec.ID
	}
	return a.Task
}

// followStream reads a stream's tail, one page at a time. The next read starts
// only after the controller has processed the page, because the processing
// sets nextOffsets[index].
func (d *Daemon) followStream(index int, stream string) error {
	for d.tomb.Alive() {
		ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), readTimeout)
		sent := time.Now()
		page, err := d.log.Read(ctx, stream, d.nextOffsets[index].Load(), maxReadEntries, readWait)
		cancel()
		d.counters.countRead(page, err)
		d.enqueueAndWait(controller.Read{Stream: stream, Sent: sent, Page: page, Err: err})
		d.sleep(d.settings.Timing.TailInterval)
	}
	return nil
}

func (d *Daemon) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.tomb.Dying():
	}
}

func (d *Daemon) pollInstances() error {
	for d.tomb.Alive() {
		ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), callTimeout)
		instances, err := d.list.Instances(ctx)
		cancel()
		if err != nil {
			d.logger.Debug("reading the instance list failed", zap.Error(err)) // the controller keeps the previous list
		} else {
			d.enqueue(controller.Listed{Instances: instances})
		}
		d.sleep(listInterval)
	}
	return nil
}

func (d *Daemon) pollFreeSlots() error {
	for d.tomb.Alive() {
		d.enqueue(controller.Free{Slots: d.gateway.FreeSlots()})
		d.sleep(freeSlotsInterval)
	}
	return nil
}

// receiveMessages converts messages from other instances to inputs.
func (d *Daemon) receiveMessages() error {
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case r, ok := <-d.mesh.Received():
			if !ok {
				return nil
			}
			if in := inputFromMessage(r); in != nil {
				d.enqueue(in)
			}
		}
	}
}

func inputFromMessage(r peer.Received) controller.Input {
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
