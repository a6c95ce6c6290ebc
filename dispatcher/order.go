package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// execute executes an action of the cell without waiting for its outcome.
func (d *Dispatcher) execute(a cell.Action) {
	switch a := a.(type) {
	case cell.Hold:
		d.runOrder(a.Order.Wait, func(ctx context.Context) cell.Input { return d.hold(ctx, a) })
	case cell.Start:
		d.counters.recordStart(a)
		orderedAt := d.clock()
		d.runOrder(0, func(ctx context.Context) cell.Input { return d.start(ctx, a, orderedAt) })
	case cell.Stop:
		d.counters.stops.Add(1)
		d.runOrder(0, func(ctx context.Context) cell.Input { return d.stop(ctx, a) })
	case cell.Pace:
		d.runOrder(0, func(ctx context.Context) cell.Input { return d.pace(ctx, a) })
	case cell.Advise:
		d.runOrder(adviceTimeout, func(ctx context.Context) cell.Input { return d.advise(ctx, a) })
	case cell.Upkeep:
		d.runOrder(0, func(ctx context.Context) cell.Input { return d.upkeep(ctx, a) })
	case cell.ReportWave:
		d.tomb.Go(func() error { d.reportWave(a); return nil })
	case cell.Forget:
		d.runOrder(0, func(ctx context.Context) cell.Input { return d.deleteJobs(ctx, a) })
	case cell.ListMachines:
		d.runOrder(machinesTimeout, d.listMachines)
	case cell.Save:
		d.tomb.Go(func() error { d.save(a); return nil })
	case cell.Deposed:
		d.relinquish(a.Reason)
	case cell.CopyEnded:
		d.counters.recordCopyEnded(a)
	case cell.LogEvent:
		d.logEvent(a)
	}
}

// runOrder runs a call in the background and sends its outcome to the control goroutine.
func (d *Dispatcher) runOrder(wait time.Duration, call func(context.Context) cell.Input) {
	d.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), wait+orderTimeout)
		defer cancel()
		d.sendInput(call(ctx))
		return nil
	})
}

func (d *Dispatcher) hold(ctx context.Context, a cell.Hold) cell.Input {
	sent := d.clock()
	held, err := d.platform.Executor.Hold(ctx, a.Order)
	d.counters.recordHold(err)
	return cell.HoldReply{Host: a.Order.Host.ID, Token: a.Order.Token, Sent: sent, Held: held, Err: err}
}

func (d *Dispatcher) start(ctx context.Context, a cell.Start, orderedAt time.Duration) cell.Input {
	sent := time.Now()
	refusal, err := d.platform.Executor.Start(ctx, a.Order)
	d.counters.startLatency.Record(time.Since(sent))
	return cell.StartReply{Host: a.Order.Host.ID, Token: a.Order.Token, Task: a.Order.Task, Attempt: a.Order.Attempt, Sent: orderedAt, Refusal: refusal, Err: err}
}

func (d *Dispatcher) stop(ctx context.Context, a cell.Stop) cell.Input {
	sent := d.clock()
	err := d.platform.Executor.Stop(ctx, a.Order)
	return cell.StopReply{Host: a.Order.Host.ID, Token: a.Order.Token, Task: a.Order.Task, Attempt: a.Order.Attempt, Sent: sent, Err: err}
}

func (d *Dispatcher) pace(ctx context.Context, a cell.Pace) cell.Input {
	err := d.platform.Executor.Pace(ctx, a.Order)
	return cell.PaceReply{
		Host:    a.Order.Host.ID,
		Token:   a.Order.Token,
		Task:    a.Order.Task,
		Attempt: a.Order.Attempt,
		Percent: a.Order.Percent,
		Err:     err,
	}
}

// save writes the owner's records. Written records are applied to the catalog at once,
// so that this instance's answers don't wait for the next read.
func (d *Dispatcher) save(a cell.Save) {
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), saveTimeout)
	defer cancel()
	sent := time.Now()
	writer := &provider.Writer{Name: writerName, Term: a.Term, Sequence: a.Sequence}
	err := d.platform.Store.Append(ctx, catalog.Progress, writer, a.Records)
	d.counters.recordSave(time.Since(sent), err)
	d.standbys.yielder.rejected.record(err)
	if err == nil {
		d.applySaved(a.Records)
	}
	d.sendInput(cell.SaveReply{Sequence: a.Sequence, Err: err})
}

func (d *Dispatcher) applySaved(records []provider.KeyedRecord) {
	for _, r := range records {
		if err := d.catalog.Progress(r); err != nil {
			d.logger.Warn("record not understood", zap.String("key", r.Key), zap.Error(err))
		}
	}
}

// listMachines reads the platform's list of machines. A failure must not look like an
// empty list: tasks on a worker that doesn't answer would count as ended.
func (d *Dispatcher) listMachines(ctx context.Context) cell.Input {
	if d.platform.Machines == nil {
		return cell.ListMachinesReply{Err: fault.New(fault.Unavailable, "the site has no list of machines")}
	}
	sent := d.clock()
	machines, err := d.platform.Machines.List(ctx)
	return cell.ListMachinesReply{Machines: machines, Sent: sent, Err: err}
}

// advise requests the adviser's tickets for a step.
func (d *Dispatcher) advise(ctx context.Context, a cell.Advise) cell.Input {
	reply := cell.AdviseReply{Job: a.Job, Round: a.Round, Step: a.Step, Hosts: a.Hosts, Sent: d.clock()}
	if d.platform.Adviser == nil {
		reply.Err = fault.New(fault.Unavailable, "the site has no adviser")
		return reply
	}
	reply.Tickets, reply.Valid, reply.Err = d.platform.Adviser.Advise(ctx, job.StepName(a.Job, a.Round, a.Step), a.Hosts)
	return reply
}

// upkeep starts a machine's upkeep.
func (d *Dispatcher) upkeep(ctx context.Context, a cell.Upkeep) cell.Input {
	reply := cell.UpkeepReply{Machine: a.Order.Machine, Wave: a.Order.Wave}
	if d.platform.Machines == nil {
		reply.Err = fault.New(fault.Unavailable, "the site has no machines")
		return reply
	}
	reply.Err = d.platform.Machines.Upkeep(ctx, a.Order)
	return reply
}

// reportWave reports the progress of a wave to the operators, and retries until it is
// acknowledged.
func (d *Dispatcher) reportWave(a cell.ReportWave) {
	ctx := d.tomb.Context(context.Background())
	for ctx.Err() == nil && d.platform.Machines != nil {
		callCtx, cancel := context.WithTimeout(ctx, saveTimeout)
		err := d.platform.Machines.Report(callCtx, a.Number, a.Completed)
		cancel()
		if err == nil {
			return
		}
		d.logger.Warn("reporting a wave of upkeep failed", zap.Int("wave", a.Number), zap.Error(err))
		wait(ctx, saveTimeout)
	}
}

// deleteJobs deletes the accept and cancel records of jobs in all streams. After an error the
// cell repeats it and keeps the progress, so that no stream still has a job without progress.
func (d *Dispatcher) deleteJobs(ctx context.Context, a cell.Forget) cell.Input {
	return cell.ForgetReply{IDs: a.IDs, Err: d.deleteRecords(ctx, a.IDs, catalog.DropRecords)}
}

// deleteRecords appends the deletions of each job's records to the streams that may have them.
func (d *Dispatcher) deleteRecords(ctx context.Context, ids []string, deletions func(id string) []provider.KeyedRecord) error {
	if err := d.deleteIn(ctx, catalog.Accepts, ids, deletions); err != nil {
		return err
	}
	return d.deleteIn(ctx, catalog.Aggregated, d.possiblyAggregated(ids), deletions)
}

func (d *Dispatcher) deleteIn(ctx context.Context, stream string, ids []string, deletions func(id string) []provider.KeyedRecord) error {
	if len(ids) == 0 {
		return nil
	}
	var records []provider.KeyedRecord
	for _, id := range ids {
		records = append(records, deletions(id)...)
	}
	return d.platform.Store.Append(ctx, stream, nil, records)
}

// logEvent writes a decision of the cell to the log.
func (d *Dispatcher) logEvent(e cell.LogEvent) {
	fields := make([]zap.Field, 0, len(e.Fields)/2+1)
	for i := 0; i+1 < len(e.Fields); i += 2 {
		fields = append(fields, zap.Any(e.Fields[i].(string), e.Fields[i+1]))
	}
	d.logger.Info(e.Event, fields...)
}
