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
	tasksUntil time.Time // end of batch tasks' leases as extended by LeaseRequest.TaskExtension
}

func (l lease) inForce(now time.Time) bool {
	return now.Before(l.until)
}

// Acquire grants the lease with a new epoch, unless another holder's lease is in
// force.
func (w *Worker) Acquire(request provider.LeaseRequest) (provider.Lease, error) {
	if request.Holder == "" || len(request.Holder) > maxID {
		return provider.Lease{}, fault.New(fault.Invalid, "lease holder %q, want 1 to %d bytes", request.Holder, maxID)
	}
	if request.Worker != "" && request.Worker != w.id {
		return provider.Lease{}, fault.New(fault.Conflict, "request is for worker %s, this is %s", request.Worker, w.id)
	}
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if w.lease.inForce(now) && w.lease.holder != request.Holder {
		err := fault.New(fault.Conflict, "lease is held by %s", w.lease.holder)
		return provider.Lease{}, err.After(w.lease.until.Sub(now))
	}
	if err := checkLeaseTimes(request); err != nil {
		return provider.Lease{}, err
	}
	w.lease.holder = request.Holder
	w.lease.epoch = provider.NextEpoch(max(w.lease.epoch, request.AboveEpoch), w.incarnation)
	w.extendLease(request, now)
	return w.grantedLease(), nil
}

// Renew extends the lease if the request carries the epoch in force, which
// identifies the holder.
func (w *Worker) Renew(request provider.LeaseRequest) (provider.Lease, error) {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(request.Epoch, now); err != nil {
		return provider.Lease{}, err
	}
	if err := checkLeaseTimes(request); err != nil {
		return provider.Lease{}, err
	}
	w.extendLease(request, now)
	return w.grantedLease(), nil
}

// Release ends the lease. Batch tasks continue until their own leases end.
func (w *Worker) Release(epoch uint64) error {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(epoch, now); err != nil {
		return err
	}
	w.lease.until = now
	return nil
}

// Transfer hands over the lease to another holder with a new epoch.
func (w *Worker) Transfer(epoch uint64, to string) (provider.Lease, error) {
	if to == "" || len(to) > maxID {
		return provider.Lease{}, fault.New(fault.Invalid, "lease holder %q, want 1 to %d bytes", to, maxID)
	}
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(epoch, now); err != nil {
		return provider.Lease{}, err
	}
	w.lease.holder = to
	w.lease.epoch = provider.NextEpoch(w.lease.epoch, w.incarnation)
	w.lease.until = now.Add(w.lease.ttl)
	return w.grantedLease(), nil
}

// checkEpoch advances the worker's state to now and refuses an epoch that isn't in
// force.
//
// A holder may be paused between checking its lease and using it, and then two
// owners would start work on one worker. Only this check at the moment that a
// call takes effect prevents that.
func (w *Worker) checkEpoch(epoch uint64, now time.Time) error {
	w.advance(now)
	if epoch != w.lease.epoch || !w.lease.inForce(now) {
		return fault.New(fault.StaleEpoch, "epoch %d isn't in force", epoch)
	}
	return nil
}

func (w *Worker) extendLease(request provider.LeaseRequest, now time.Time) {
	w.lease.ttl = request.TTL
	w.lease.until = now.Add(request.TTL)
	if request.TaskExtension == 0 {
		return
	}
	w.lease.tasksUntil = later(w.lease.tasksUntil, now.Add(request.TaskExtension))
	for _, t := range w.tasks {
		t.leaseUntil = later(t.leaseUntil, w.lease.tasksUntil)
	}
}

func (w *Worker) grantedLease() provider.Lease {
	return provider.Lease{
		Epoch:    w.lease.epoch,
		TTL:      w.lease.ttl,
		Capacity: w.capacity,
		Slots:    w.slots,
		Tasks:    w.taskReports(),
	}
}

func checkLeaseTimes(request provider.LeaseRequest) error {
	if request.TTL <= 0 || request.TTL > MaxTTL {
		return fault.New(fault.Invalid, "lease TTL %v, want above 0 up to %v", request.TTL, MaxTTL)
	}
	if request.TaskExtension < 0 || request.TaskExtension > MaxTTL {
		return fault.New(fault.Invalid, "task lease TTL %v, want up to %v", request.TaskExtension, MaxTTL)
	}
	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
