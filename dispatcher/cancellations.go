package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Bounds of the cancellations of jobs that aren't on record.
const (
	// maxUnmatchedCancellations is the number from which no further ones are accepted. Those in
	// flight are added to it. They are read with the jobs at each full load.
	maxUnmatchedCancellations = 8192
	cancellationCheckInterval = 10 * time.Second
	// maxDeletedCancellations is the most that are deleted by one write. In each
	// cell.Timing.CancellationRetention it suffices for maxUnmatchedCancellations.
	maxDeletedCancellations = 1024
)

// Cancel puts the cancellation of a job on record, unless the job has ended. It returns
// fault.NotFound for a job that isn't on record, once its cancellation is: should a write of the
// job still be carried out, no task of it starts. After fault.Overloaded, as too many such
// cancellations are kept, the job may still run.
func (d *Dispatcher) Cancel(ctx context.Context, id string) error {
	a, err := d.lookUp(ctx, id)
	if err != nil || a.State.Final() {
		return err
	}
	if !a.Known && !a.Cancelled && a.Full {
		d.counters.cancelsRejected.Add(1)
		return fault.New(fault.Overloaded, "job %s isn't on record, and too many cancellations of such jobs are kept", id).After(cancellationCheckInterval).Because(fault.Overload)
	}
	if !a.Cancelled {
		record := catalog.CancelRecord(id)
		stream, err := d.recordWriter.write(ctx, record)
		d.logger.Info("cancel", zap.String("job", id), zap.Bool("known", a.Known), zap.Stringer("state", a.State), zap.Error(err))
		if err != nil {
			return err
		}
		if err := d.applyRecord(stream, record); err != nil {
			return err
		}
	}
	if !a.Known {
		d.counters.cancelsUnmatched.Add(1)
		return fault.New(fault.NotFound, "no job %s", id)
	}
	return nil
}

// cancellations deletes the cancellations of jobs that have not come on record within
// cell.Timing.CancellationRetention. The control goroutine of the owner uses it.
type cancellations struct {
	d         *Dispatcher
	since     map[string]time.Duration // by job, when this owner first saw its cancellation
	checkedAt time.Duration
}

// reset begins the retention anew at a new owner.
func (c *cancellations) reset() {
	c.since = make(map[string]time.Duration)
	c.checkedAt = c.d.clock() - cancellationCheckInterval
}

// deleteOld deletes the old cancellations when a check is due. Those whose deletion fails are
// deleted by a later check. Only the cancellation is deleted: a job that has come on record
// meanwhile stays cancelled.
func (c *cancellations) deleteOld() {
	now := c.d.clock()
	if now-c.checkedAt < cancellationCheckInterval {
		return
	}
	c.checkedAt = now
	since := make(map[string]time.Duration)
	var old []string
	for _, id := range c.d.catalog.Unmatched() {
		seen, isKnown := c.since[id]
		if !isKnown {
			seen = now
		}
		since[id] = seen
		if now-seen >= c.d.timing.CancellationRetention && len(old) < maxDeletedCancellations {
			old = append(old, id)
		}
	}
	c.since = since
	if len(old) == 0 {
		return
	}
	c.d.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(c.d.tomb.Context(context.Background()), orderTimeout)
		defer cancel()
		err := c.d.deleteRecords(ctx, old, func(id string) []provider.KeyedRecord {
			return []provider.KeyedRecord{catalog.CancelDeletion(id)}
		})
		c.d.logger.Info("cancellations deleted", zap.Int("cancellations", len(old)), zap.Error(err))
		return nil
	})
}
