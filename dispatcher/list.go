package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// hostList is what the control goroutine knows of the list of workers, which an
// instance reads only while it owns the cell.
type hostList struct {
	newest  *provider.HostList // in whichever term it was read; nil before the first
	owned   time.Duration      // when this instance became owner
	awaited bool               // since then no list has come that tasks may be started by
}

// WithListReader sets what reads the list of workers to its end, and hands it to
// SetHosts before it returns. It is called once the cell is claimed. Without it
// the first tasks of a new owner wait until the list comes by itself.
func WithListReader(f func(context.Context) error) Option {
	return func(d *Dispatcher) { d.readList = f }
}

// SetHosts hands over the platform's list of workers, whole, after each good
// read of it. Its AsOf is on the clock of WithClock.
func (d *Dispatcher) SetHosts(list provider.HostList) {
	d.counters.listed.Store(int64(list.AsOf))
	replace(d.lists, list)
}

// takeList takes a list as it was read.
func (d *Dispatcher) takeList(list provider.HostList) {
	d.list.newest = &list
	if d.cell == nil {
		return
	}
	d.noteList(&list)
	d.step(cell.Hosts{List: list})
}

// giveList gives a new owner the newest list that there is.
func (d *Dispatcher) giveList() {
	d.list.owned = d.clock()
	d.list.awaited = true
	if d.list.newest != nil {
		d.takeList(*d.list.newest)
	}
}

// noteList logs the first list of workers that a new owner may start tasks by.
func (d *Dispatcher) noteList(list *provider.HostList) {
	if !d.list.awaited || d.list.owned-list.AsOf >= d.timing.ListAge {
		return
	}
	d.list.awaited = false
	draining := 0
	for _, h := range list.Hosts {
		if h.Draining {
			draining++
		}
	}
	d.logger.Info("list of workers", zap.Uint64("term", d.term), zap.Int("listed", len(list.Hosts)), zap.Int("draining", draining),
		zap.Duration("after", d.clock()-d.list.owned), zap.Duration("list_age", d.clock()-list.AsOf))
}

// listHeadStart is how long a claim waits for the list of workers. A calm store
// gives it within 10 ms.
const listHeadStart = 250 * time.Millisecond

// beginList reads the list of workers while nothing else is to be done. A new
// owner asks each of its workers what runs there, and a list that it reads beside
// hundreds of such calls comes late; no task starts before it. A claim doesn't fail for want of it: what runs has to be
// kept running. The channel is closed when the list was read or the time is over.
func (d *Dispatcher) beginList(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	ctx, cancel := context.WithTimeout(ctx, listHeadStart)
	d.tomb.Go(func() error {
		defer close(done)
		defer cancel()
		if err := d.readList(ctx); err != nil {
			d.logger.Warn("list of workers not read", zap.Error(err))
		}
		return nil
	})
	return done
}
