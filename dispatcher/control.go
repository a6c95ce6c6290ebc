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

// Time-outs of calls. They are far above a calm answer, a few milliseconds,
// and above that of a slow store, a quarter of a second.
const (
	orderTimeout    = 900 * time.Millisecond
	adviceTimeout   = 4 * time.Second        // an answer takes time for each worker named
	machinesTimeout = 600 * time.Millisecond // on top of orderTimeout; the list may come in pages
	claimTimeout    = 1500 * time.Millisecond
	saveTimeout     = 1200 * time.Millisecond
)

// claim is the outcome of a claim of the cell.
type claim struct {
	owner catalog.Owner
	err   error
}

// control is the goroutine that alone touches the election and the cell.
func (d *Dispatcher) control() error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	leave := d.leave
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-ticker.C:
			d.tick()
		case in := <-d.inputs:
			d.step(in)
		case <-d.woken:
			d.news()
		case c := <-d.claims:
			d.claimed(c)
		case waves := <-d.wavesIn:
			d.waves = waves
			d.step(cell.Waves{Waves: waves})
		case zones := <-d.cordonsIn:
			d.cordoned = zones
			d.step(cell.Cordoned{AvailabilityZones: zones})
		case list := <-d.lists:
			d.takeList(list)
		case <-leave:
			leave = nil
			d.beginLeave()
		}
	}
}

func (d *Dispatcher) tick() {
	if d.cell != nil {
		d.step(cell.Tick{Wall: time.Now()})
		if d.cell != nil && d.cell.Left() {
			d.drop("left")
		}
		return
	}
	if d.isLeaving() || !d.hearOwner() {
		return
	}
	if !d.claiming && d.mayClaim() && d.election.Stand(d.clock(), d.progress.Age()) {
		d.claim()
	}
}

// mayClaim reports whether a claim could be followed by what an owner has to read.
//
// What goes wrong without it: the stream of accepted jobs can't be read for five
// seconds, the owner falls silent meanwhile, and the largest instance claims the cell.
// It waits for its reads and is silent in its turn; when they are answered again, a
// small one has claimed the next term, with thousands of tasks waiting. It shows as two
// claims, the first without a line "owner". Nobody can own the cell meanwhile, so
// nothing is lost by waiting.
func (d *Dispatcher) mayClaim() bool {
	return !d.accepts.Failing()
}

// known reports whether both streams were read.
func (d *Dispatcher) known() bool {
	select {
	case <-d.accepts.Loaded():
	default:
		return false
	}
	select {
	case <-d.progress.Loaded():
		return true
	default:
		return false
	}
}

// news looks at what the streams brought.
func (d *Dispatcher) news() {
	if t := d.table.Load(); t != d.seen {
		d.seen = t
		d.step(cell.Configured{Table: t})
	}
	if d.cell != nil {
		for _, e := range d.catalog.Take() {
			d.step(cell.Arrived{Entry: e})
		}
		return
	}
	d.hearOwner()
}

// hearOwner takes note of who owns the cell, and reports whether that is known.
//
// What goes wrong if only news of the streams lead to it: the news of the last
// read at start-up may be handled before that read is marked as done, and an
// empty store brings no further ones. The cell stays without an owner until a job
// comes: no line "claim" for 20 s and more, in 1 of 20 starts with 12 processes on
// 8 processors. So each tick looks too.
func (d *Dispatcher) hearOwner() bool {
	if !d.known() {
		return false
	}
	d.election.Observe(d.clock(), d.catalog.Owner())
	d.settleClaim()
	return true
}

// settleClaim goes on with a claim that turns out to be on record, though its
// answer was lost or what was written before it couldn't be read.
func (d *Dispatcher) settleClaim() {
	owner := d.catalog.Owner()
	if d.claiming || owner.Nonce != d.nonce || owner.Term <= d.term || owner.Leaving || d.clock() < d.settleAfter {
		return
	}
	d.settleAfter = d.clock() + settleEvery
	d.claiming = true
	d.conclude(owner, d.readToEnd)
}

// settleEvery is the time between two tries to read what was written before a
// claim.
const settleEvery = 100 * time.Millisecond

// claim tries to become the cell's owner.
func (d *Dispatcher) claim() {
	d.claiming = true
	owner := catalog.Owner{
		Term:     d.election.Term(),
		Instance: d.instance,
		Nonce:    d.nonce,
		Sequence: rand.Uint64N(sequences),
	}
	next := d.progress.Next()
	d.conclude(owner, func(ctx context.Context) error { return d.tryClaim(ctx, owner, next) })
}

// conclude does what is left of a claim, and has its outcome taken.
func (d *Dispatcher) conclude(owner catalog.Owner, rest func(context.Context) error) {
	d.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), claimTimeout)
		defer cancel()
		d.claims <- claim{owner: owner, err: rest(ctx)}
		return nil
	})
}

// sequences is the range of a claim's first sequence. Two instances that
// claim the same term with the same sequence would both be told that they have
// it, the second as if it repeated the first one's write. Drawn at random from
// so many, that doesn't happen.
const sequences = 1 << 48

// tryClaim writes the owner's record under a new term, if nothing was written
// since this instance last read.
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

// readToEnd reads both streams to their ends. An owner that has set its term
// knows then what the last one wrote before it was fenced, and every job that
// has any progress: it would take that of others for left over, and drop it.
// The list of workers is read beside them.
func (d *Dispatcher) readToEnd(ctx context.Context) error {
	listed := d.beginList(ctx)
	defer func() { <-listed }()
	if err := d.progress.Refresh(ctx); err != nil {
		return fault.Wrap(fault.MayHaveRun, err, "read what was written before the claim")
	}
	if err := d.accepts.Refresh(ctx); err != nil {
		return fault.Wrap(fault.MayHaveRun, err, "read what was accepted before the claim")
	}
	return nil
}

// writerName is the fenced writer of the progress stream.
const writerName = "owner"

func (d *Dispatcher) claimed(c claim) {
	d.claiming = false
	d.logger.Info("claim", zap.Uint64("term", c.owner.Term), zap.Error(c.err))
	if c.err != nil {
		d.election.Failed(d.clock())
		return
	}
	d.own(c.owner)
}

// own begins to decide for the cell.
func (d *Dispatcher) own(owner catalog.Owner) {
	term := owner.Term
	self := cell.Self{Instance: d.instance, Nonce: d.nonce, Term: term, Sequence: owner.Sequence}
	owned, err := cell.New(self, d.timing, d.catalog, d.clock(), time.Now())
	if err != nil {
		d.logger.Error("cell not taken", zap.Uint64("term", term), zap.Error(err))
		d.election.Failed(d.clock())
		return
	}
	d.term = term
	d.cell = owned
	d.setOwning(true, ownerSpacing)
	d.counters.owned.Add(1)
	d.logger.Info("owner", zap.Uint64("term", term), zap.Int("jobs", d.catalog.Len()), zap.Int("workers", len(d.catalog.Hosts())))
	d.step(cell.Configured{Table: d.table.Load()})
	if len(d.cordoned) > 0 {
		d.step(cell.Cordoned{AvailabilityZones: d.cordoned})
	}
	d.giveList()
	d.step(cell.Waves{Waves: d.waves})
	if d.isLeaving() {
		d.cell.Leave() // the claim was under way when the stop began
	}
	d.step(cell.Tick{Wall: time.Now()})
}

func (d *Dispatcher) isLeaving() bool {
	select {
	case <-d.leave:
		return true
	default:
		return false
	}
}

func (d *Dispatcher) setOwning(owning bool, spacing time.Duration) {
	d.owning.Store(owning)
	d.accepts.SetSpacing(spacing)
	d.onOwning(owning)
}

// drop stops deciding.
func (d *Dispatcher) drop(reason string) {
	d.logger.Info("owner no more", zap.Uint64("term", d.term), zap.String("reason", reason))
	d.cell = nil
	d.setOwning(false, acceptsSpacing)
	d.election.Failed(d.clock())
	d.endLeave()
}

func (d *Dispatcher) beginLeave() {
	if d.cell == nil {
		d.endLeave()
		return
	}
	d.cell.Leave()
	d.step(cell.Tick{Wall: time.Now()})
}

// endLeave tells Leave that the cell is given up.
func (d *Dispatcher) endLeave() {
	if !d.isLeaving() {
		return
	}
	select {
	case <-d.left:
	default:
		close(d.left)
	}
}

func (d *Dispatcher) step(in cell.Input) {
	if d.cell == nil {
		return
	}
	for _, a := range d.cell.Step(d.clock(), in) {
		d.carryOut(a)
	}
}

// put hands an input to the control goroutine.
func (d *Dispatcher) put(in cell.Input) {
	select {
	case d.inputs <- in:
	case <-d.tomb.Dying():
	}
}
