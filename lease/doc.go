// Package lease is the holder's book of worker leases: which it holds, until
// when each may be used, when each is to be renewed, and whether the leases of
// batch tasks may be extended with it.
//
// Usage:
//
//	book := lease.New(lease.WithHolder(id), lease.WithTTL(6*time.Second))
//	sent := now
//	answer, err := worker.Acquire(ctx, book.Acquire(id))
//	book.Granted(sent, id, answer)
//	...
//	if epoch, _, ok := book.Valid(now, id); ok { worker.Start(ctx, epoch, task) }
//	for _, id := range book.Due(now) {
//		request, ok := book.Renewal(now, id, lastTail)
//	}
//
// A lease is valid from when its request was sent, not from when the answer
// came, for its TTL less the drift. The worker counts from when it granted,
// which is later, so the holder stops first. Valid is to be asked just before
// each use; what a pause after that lets through, the worker refuses by the
// epoch.
//
// The package does no I/O and reads no clock; times must carry Go's monotonic
// reading where they come from a real clock. Memory is bounded by WithLimit
// workers of about 200 bytes.
package lease
