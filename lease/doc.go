// Package lease tracks the worker leases of one holder: which leases it holds,
// until when each may be used, when each must be renewed, and whether the
// leases of batch tasks may be extended with it.
//
// Usage:
//
//	leases := lease.New(lease.WithHolder(id), lease.WithTTL(6*time.Second))
//	sent := now
//	answer, err := worker.Acquire(ctx, leases.AcquireRequest(id))
//	leases.RecordGrant(sent, id, answer)
//	...
//	if epoch, _, ok := leases.Valid(now, id); ok { worker.Start(ctx, epoch, task) }
//	for _, id := range leases.DueRenewals(now) {
//		request, ok := leases.RenewRequest(now, id, lastTail)
//	}
//
// A lease is valid from the time its request was sent, not from the arrival of
// the answer, for its TTL less the maximum clock drift. The worker counts from
// the time of the grant, which is later, so the holder stops first. Callers
// must check Valid just before each use; a use that passes the check and is
// then delayed by a pause is refused by the worker because of its epoch.
//
// The package does no I/O and reads no clock; times from a real clock must
// carry Go's monotonic reading. Memory is bounded by WithMaxWorkers workers of
// about 200 bytes.
package lease
