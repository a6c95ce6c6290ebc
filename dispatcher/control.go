package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Timeouts of calls. They are far above the usual duration of a call, a few
// milliseconds, and above that of a slow store, a quarter of a second.
const (
	orderTimeout    = 900 * time.Millisecond
	adviceTimeout   = 4 * time.Second        // an answer takes time for each worker in the request
	machinesTimeout = 600 * time.Millisecond // added to orderTimeout; the list may take several pages
	claimTimeout    = 1500 * time.Millisecond
	saveTimeout     = 1200 * time.Millisecond
)

// claimResult is the outcome of an attempt to claim the cell.
type claimResult struct {
	owner catalog.Owner
	err   error
}

// control is the event loop. Only its goroutine uses the election and the cell.
func (d *Dispatcher) control() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	leave := d.leaveRequested
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-ticker.C:
			d.tick()
		case in := <-d.inputs:
			d.step(in)
		case <-d.updated:
			d.applyUpdates()
		case c := <-d.claimResults:
			d.handleClaim(c)
		case waves := <-d.waveUpdates:
			d.waves = waves
			d.step(cell.WavesRequested{Waves: waves})
		case zones := <-d.cordonUpdates:
			d.cordonedZones = zones
			d.step(cell.ZonesCordoned{AvailabilityZones: zones})
		case term := <-d.yields:
			d.election.Yield(d.clock(), term)
		case list := <-d.hostListUpdates:
			d.handleHostList(list)
		case <-leave:
			leave = nil
			d.beginLeave()
		}
	}
}

func (d *Dispatcher) tick() {
	d.standbys.update(d.cell != nil || d.claiming)
	if d.cell != nil {
		d.step(cell.Tick{Wall: time.Now()})
		if d.cell != nil && d.cell.HasLeft() {
			d.relinquish("left")
		}
		d.standbys.keepRoster()
		d.standbys.yieldIfRejected()
		d.cancellations.deleteOld()
		return
	}
	if d.isLeaving() || !d.standbys.following.Load() || !d.observeOwner() {
		return
	}
	d.standbys.sendHeartbeat()
	if term, silent := d.standbys.silentOwner(); silent {
		d.election.AssumeSilence(d.clock(), term)
	}
	if !d.claiming && d.canClaim() && d.election.ShouldClaim(d.clock(), d.progress.Age()) {
		d.startClaim()
	}
}

// canClaim reports whether the streams of accepted jobs are readable. A new owner has to
// read them before its first heartbeat. An instance that claimed the cell while one of them
// fails, say for five seconds, would send no heartbeat and lose the cell to the next
// claim, possibly by a smaller instance with thousands of tasks waiting. The log then has
// two claims, the first without a line "owner". Waiting costs nothing, since no instance
// can become owner meanwhile.
//
// An instance that has just begun to follow the operators' stream again doesn't know yet
// which zones are cordoned.
func (d *Dispatcher) canClaim() bool {
	return !d.accepts.Failing() && d.knowsOperators()
}

// streamsLoaded reports whether all streams were read to their ends at least once.
func (d *Dispatcher) streamsLoaded() bool {
	return d.accepts.IsLoaded() && d.progress.IsLoaded()
}

// applyUpdates applies a new configuration and new records of the streams.
func (d *Dispatcher) applyUpdates() {
	if t := d.table.Load(); t != d.appliedTable {
		d.appliedTable = t
		d.step(cell.ConfigChanged{Table: t})
	}
	if d.cell != nil {
		for _, e := range d.catalog.TakeChanged() {
			d.step(cell.JobChanged{Entry: e})
		}
		return
	}
	d.observeOwner()
}

// observeOwner passes the recorded owner to the election, and reports whether the
// streams are loaded.
//
// It also runs on every tick. The notification of the last read at startup may be
// handled before that read is marked as done, and an empty store sends no further
// notification. Without the tick the cell would have no owner until a job arrives:
// in 1 of 20 starts with 12 processes on 8 processors there was no line "claim" for
// more than 20 s.
func (d *Dispatcher) observeOwner() bool {
	if !d.streamsLoaded() {
		return false
	}
	d.election.Observe(d.clock(), d.catalog.Owner())
	d.resumeRecordedClaim()
	return true
}

// resumeRecordedClaim resumes a claim of this process that is on record although it
// failed: its answer was lost, or the records written before it couldn't be read.
func (d *Dispatcher) resumeRecordedClaim() {
	owner := d.catalog.Owner()
	if d.claiming || owner.Nonce != d.nonce || owner.Term <= d.term || owner.Leaving || d.clock() < d.resumeClaimAt {
		return
	}
	d.resumeClaimAt = d.clock() + resumeClaimInterval
	d.claiming = true
	d.finishClaim(owner, d.readToEnd)
}

// resumeClaimInterval is the interval between two attempts to resume a recorded claim.
const resumeClaimInterval = 100 * time.Millisecond

// startClaim starts an attempt to become the cell's owner.
func (d *Dispatcher) startClaim() {
	d.claiming = true
	next := d.progress.Next() // before the earlier owner is read, so that the claim fails if that has changed since
	earlier := d.catalog.Owner()
	owner := catalog.Owner{
		Term:     d.election.Term(),
		Instance: d.instance,
		Nonce:    d.nonce,
		Sequence: rand.Uint64N(sequenceRange),
		Settled:  earlier.Leaving && earlier.Settled,

		RecordsStarts: earlier.RecordsStarts,
	}
	d.finishClaim(owner, func(ctx context.Context) error { return d.tryClaim(ctx, owner, next) })
}

// finishClaim runs the remaining steps of a claim in the background and sends the
// outcome to the control goroutine.
func (d *Dispatcher) finishClaim(owner catalog.Owner, complete func(context.Context) error) {
	d.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), claimTimeout)
		defer cancel()
		d.claimResults <- claimResult{owner: owner, err: complete(ctx)}
		return nil
	})
}

// sequenceRange is the range from which a claim's first sequence number is drawn at random.
// If two instances claimed the same term with the same sequence, the store would take
// the second claim for a retry of the first and acknowledge both. The range makes that
// practically impossible.
const sequenceRange = 1 << 48

// tryClaim writes the owner's record under a new term, provided that nothing was
// written since this instance's last read, and reads all streams to their ends.
func (d *Dispatcher) tryClaim(ctx context.Context, owner catalog.Owner, next uint64) error {
	record, err := catalog.OwnerRecord(owner)
	if err != nil {
		return err
	}
	writer := provider.Writer{Name: writerName, Term: owner.Term, Sequence: owner.Sequence}
	if err := d.platform.Store.Claim(ctx, catalog.Progress, writer, next, record); err != nil {
		return err
	}
	return d.readToEnd(ctx)
}

// readToEnd reads all streams to their ends and the list of workers beside them.
// Once the term is set, the previous owner is fenced, so that the new one sees its last
// writes. The new owner must also know every job that has progress, since it
// deletes progress without a job as orphaned.
func (d *Dispatcher) readToEnd(ctx context.Context) error {
	listRead := d.prefetchList(ctx)
	defer func() { <-listRead }()
	if err := d.progress.Refresh(ctx); err != nil {
		return fault.Wrap(fault.MayHaveRun, err, "read stream %s after the claim", catalog.Progress)
	}
	if err := d.accepts.Refresh(ctx); err != nil {
		return fault.Wrap(fault.MayHaveRun, err, "read the accepted jobs after the claim")
	}
	return nil
}

// writerName names the fenced writer of the progress stream.
const writerName = "owner"

func (d *Dispatcher) handleClaim(c claimResult) {
	d.claiming = false
	d.logger.Info("claim", zap.Uint64("term", c.owner.Term), zap.Error(c.err))
	if c.err != nil {
		d.election.DelayClaim(d.clock())
		return
	}
	d.becomeOwner(c.owner)
}

// becomeOwner creates the cell's state from the catalog and starts to act as its owner.
func (d *Dispatcher) becomeOwner(owner catalog.Owner) {
	term := owner.Term
	self := cell.Self{Instance: d.instance, Nonce: d.nonce, Term: term, Sequence: owner.Sequence, StoreSince: d.progress.UnbrokenSince(), Settled: owner.Settled, RecordsStarts: owner.RecordsStarts}
	c, err := cell.New(self, d.timing, d.catalog, d.clock(), time.Now(), cell.WithCopies(d.copies), cell.WithSharing(d.sharing))
	if err != nil {
		d.logger.Error("creating the cell's state failed", zap.Uint64("term", term), zap.Error(err))
		d.election.DelayClaim(d.clock())
		return
	}
	d.term = term
	d.cell = c
	d.onRecorded(d.countRecorded())
	d.setOwning(true, ownerSpacing)
	d.counters.owned.Add(1)
	d.logger.Info("owner", zap.Uint64("term", term), zap.Int("jobs", d.catalog.Len()), zap.Int("workers", len(d.catalog.Hosts())))
	if t := d.table.Load(); t != nil {
		d.step(cell.ConfigChanged{Table: t})
	}
	if len(d.cordonedZones) > 0 {
		d.step(cell.ZonesCordoned{AvailabilityZones: d.cordonedZones})
	}
	d.applyNewestList()
	d.step(cell.WavesRequested{Waves: d.waves})
	if d.isLeaving() {
		d.cell.BeginLeave() // Leave was called during the claim
	}
	d.step(cell.Tick{Wall: time.Now()})
}

// countRecorded returns the number of workers on record by availability zone.
func (d *Dispatcher) countRecorded() map[string]int {
	byZone := make(map[string]int)
	for _, h := range d.catalog.Hosts() {
		byZone[h.AvailabilityZone]++
	}
	return byZone
}

func (d *Dispatcher) isLeaving() bool {
	select {
	case <-d.leaveRequested:
		return true
	default:
		return false
	}
}

func (d *Dispatcher) setOwning(owning bool, spacing time.Duration) {
	d.owning.Store(owning)
	d.accepts.SetSpacing(spacing)
	d.standbys.setOwning(owning)
	d.cancellations.reset()
	d.onOwning(owning)
}

// relinquish gives up the ownership of the cell.
func (d *Dispatcher) relinquish(reason string) {
	d.logger.Info("owner no more", zap.Uint64("term", d.term), zap.String("reason", reason))
	d.cell = nil
	d.setOwning(false, acceptsSpacing)
	d.election.DelayClaim(d.clock())
	d.endLeave()
}

func (d *Dispatcher) beginLeave() {
	if d.cell == nil {
		d.endLeave()
		return
	}
	d.cell.BeginLeave()
	d.step(cell.Tick{Wall: time.Now()})
}

// endLeave unblocks Leave, if it was called.
func (d *Dispatcher) endLeave() {
	if !d.isLeaving() {
		return
	}
	select {
	case <-d.leaveDone:
	default:
		close(d.leaveDone)
	}
}

// step passes an input to the cell, if this instance owns it, and executes the actions
// that the cell returns.
func (d *Dispatcher) step(in cell.Input) {
	if d.cell == nil {
		return
	}
	for _, a := range d.cell.Step(d.clock(), in) {
		d.execute(a)
	}
}

// sendInput sends an input to the control goroutine.
func (d *Dispatcher) sendInput(in cell.Input) {
	select {
	case d.inputs <- in:
	case <-d.tomb.Dying():
	}
}
