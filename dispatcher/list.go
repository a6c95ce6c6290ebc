package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// hostList holds the control goroutine's state of the list of workers, which an
// instance reads only while it owns the cell.
type hostList struct {
	newest        *provider.HostList // possibly read in an earlier term; nil before the first
	ownerSince    time.Duration      // when this instance became owner
	awaitingFresh bool               // since then no list has been fresh enough to start tasks
}

// WithListReader sets a function that reads the whole list of workers and passes it to
// SetHosts before it returns. It is called once the cell is claimed. Without it
// the first tasks of a new owner wait for the next periodic read of the list.
func WithListReader(f func(context.Context) error) Option {
	return func(d *Dispatcher) { d.readList = f }
}

// SetHosts replaces the platform's list of workers. It is called after each successful
// read of the whole list. AsOf is on the clock of WithClock.
func (d *Dispatcher) SetHosts(list provider.HostList) {
	d.counters.listAsOf.Store(int64(list.AsOf))
	replace(d.hostListUpdates, list)
}

// handleHostList stores a list and passes it to the cell, if this instance owns one.
func (d *Dispatcher) handleHostList(list provider.HostList) {
	d.hostList.newest = &list
	if d.cell == nil {
		return
	}
	d.logFirstFreshList(&list)
	d.step(cell.WorkerList{List: list})
}

// applyNewestList passes the newest list to the cell of a new owner.
func (d *Dispatcher) applyNewestList() {
	d.hostList.ownerSince = d.clock()
	d.hostList.awaitingFresh = true
	if d.hostList.newest != nil {
		d.handleHostList(*d.hostList.newest)
	}
}

// logFirstFreshList logs the first list of workers that is fresh enough for a new owner
// to start tasks.
func (d *Dispatcher) logFirstFreshList(list *provider.HostList) {
	if !d.hostList.awaitingFresh || d.hostList.ownerSince-list.AsOf >= d.timing.MaxListAge {
		return
	}
	d.hostList.awaitingFresh = false
	draining := 0
	for _, h := range list.Hosts {
		if h.Draining {
			draining++
		}
	}
	d.logger.Info("list of workers", zap.Uint64("term", d.term), zap.Int("listed", len(list.Hosts)), zap.Int("draining", draining),
		zap.Duration("after", d.clock()-d.hostList.ownerSince), zap.Duration("list_age", d.clock()-list.AsOf))
}

// listPrefetchTimeout is how long a claim waits for the list of workers. It usually
// takes less than 10 ms to read.
const listPrefetchTimeout = 250 * time.Millisecond

// prefetchList reads the list of workers before the new owner calls its workers. The owner
// asks each worker for its running tasks, and a read of the list beside hundreds of such
// calls would be slow, while no task starts without the list. A claim succeeds without
// it, since running tasks have to be kept running. The channel is closed when the list
// was read or listPrefetchTimeout is over.
func (d *Dispatcher) prefetchList(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	ctx, cancel := context.WithTimeout(ctx, listPrefetchTimeout)
	d.tomb.Go(func() error {
		defer close(done)
		defer cancel()
		if err := d.readList(ctx); err != nil {
			d.logger.Warn("reading the list of workers failed", zap.Error(err))
		}
		return nil
	})
	return done
}
