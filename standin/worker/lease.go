package worker

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

type lease struct {
	holder     string
	epoch      uint64
	ttl        time.Duration
	until      time.Time
	tasksUntil time.Time // what LeaseRequest.Tasks extended batch tasks to
}

func (l lease) inForce(now time.Time) bool {
	return now.Before(l.until)
}

// Acquire grants the lease with a new epoch, unless another holder has it.
func (w *Worker) Acquire(request provider.LeaseRequest) (provider.Lease, error) {
	if request.Holder == "" || len(request.Holder) > maxID {
		return provider.Lease{}, fault.New(fault.Invalid, "lease holder %q", request.Holder)
	}
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	if w.lease.inForce(now) && w.lease.holder != request.Holder {
		err := fault.New(fault.Conflict, "lease is held by %s", w.lease.holder)
		return provider.Lease{}, err.After(w.lease.until.Sub(now))
	}
	if err := checkTimes(request); err != nil {
		return provider.Lease{}, err
	}
	w.lease.holder = request.Holder
	w.lease.epoch = max(w.lease.epoch, request.After) + 1
	w.extend(request, now)
	return w.granted(), nil
}

// Renew extends the lease whose epoch is in force; the epoch stands for the
// holder.
func (w *Worker) Renew(request provider.LeaseRequest) (provider.Lease, error) {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(request.Epoch, now); err != nil {
		return provider.Lease{}, err
	}
	if err := checkTimes(request); err != nil {
		return provider.Lease{}, err
	}
	w.extend(request, now)
	return w.granted(), nil
}

// Release ends the lease. Batch tasks go on until their own leases end.
func (w *Worker) Release(epoch uint64) error {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(epoch, now); err != nil {
		return err
	}
	w.lease.until = now
	return nil
}

// Transfer gives the lease to another holder with a new epoch.
func (w *Worker) Transfer(epoch uint64, to string) (provider.Lease, error) {
	if to == "" || len(to) > maxID {
		return provider.Lease{}, fault.New(fault.Invalid, "lease holder %q", to)
	}
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(epoch, now); err != nil {
		return provider.Lease{}, err
	}
	w.lease.holder = to
	w.lease.epoch++
	w.lease.until = now.Add(w.lease.ttl)
	return w.granted(), nil
}

// enter brings the worker up to now and refuses an epoch that isn't in
// force.
//
// A holder may be paused between checking its lease and using it; one would
// notice two owners starting work on one worker. Only this check, at the
// moment of effect, closes that gap.
func (w *Worker) enter(epoch uint64, now time.Time) error {
	w.settle(now)
	if epoch != w.lease.epoch || !w.lease.inForce(now) {
		return fault.New(fault.StaleEpoch, "epoch %d isn't in force", epoch)
	}
	return nil
}

func (w *Worker) extend(request provider.LeaseRequest, now time.Time) {
	w.lease.ttl = request.TTL
	w.lease.until = now.Add(request.TTL)
	if request.Tasks == 0 {
		return
	}
	w.lease.tasksUntil = later(w.lease.tasksUntil, now.Add(request.Tasks))
	for _, t := range w.tasks {
		t.until = later(t.until, w.lease.tasksUntil)
	}
}

func (w *Worker) granted() provider.Lease {
	return provider.Lease{
		Epoch:    w.lease.epoch,
		TTL:      w.lease.ttl,
		Capacity: w.capacity,
		Slots:    w.slots,
		Tasks:    w.running(),
	}
}

func checkTimes(request provider.LeaseRequest) error {
	if request.TTL <= 0 || request.TTL > MaxTTL {
		return fault.New(fault.Invalid, "lease for %v, want up to %v", request.TTL, MaxTTL)
	}
	if request.Tasks < 0 || request.Tasks > MaxTTL {
		return fault.New(fault.Invalid, "task lease for %v, want up to %v", request.Tasks, MaxTTL)
	}
	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
