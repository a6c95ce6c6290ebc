package client

import (
	"context"
	"net/http"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

type worker struct {
	peer *peer
}

// NewWorker returns a client of the control interface of the worker at address.
func NewWorker(address string, opts ...Option) provider.Worker {
	return &worker{peer: newPeer(address, opts)}
}

func (w *worker) Acquire(ctx context.Context, request provider.LeaseRequest) (provider.Lease, error) {
	return w.lease(ctx, wire.PathAcquire, request)
}

func (w *worker) Renew(ctx context.Context, request provider.LeaseRequest) (provider.Lease, error) {
	return w.lease(ctx, wire.PathRenew, request)
}

func (w *worker) Release(ctx context.Context, epoch uint64) error {
	return w.post(ctx, wire.PathRelease, wire.Release{Epoch: epoch}, nil)
}

func (w *worker) Transfer(ctx context.Context, epoch uint64, to string) (provider.Lease, error) {
	return w.lease(ctx, wire.PathTransfer, wire.Transfer{Epoch: epoch, To: to})
}

func (w *worker) Start(ctx context.Context, epoch uint64, task provider.TaskSpec) error {
	return w.post(ctx, wire.PathStart, wire.Start{Epoch: epoch, Task: task}, nil)
}

func (w *worker) Stop(ctx context.Context, epoch uint64, task string, checkpoint bool) error {
	return w.post(ctx, wire.PathStop, wire.Stop{Epoch: epoch, Task: task, Checkpoint: checkpoint}, nil)
}

func (w *worker) Throttle(ctx context.Context, epoch uint64, task string, percent int) error {
	return w.post(ctx, wire.PathThrottle, wire.Throttle{Epoch: epoch, Task: task, Percent: percent}, nil)
}

func (w *worker) Acknowledge(ctx context.Context, epoch uint64, tasks []string) error {
	return w.post(ctx, wire.PathAcknowledge, wire.Acknowledge{Epoch: epoch, Tasks: tasks}, nil)
}

func (w *worker) Report(ctx context.Context) (provider.Report, error) {
	var report provider.Report
	err := w.peer.json(ctx, call{method: http.MethodGet, path: wire.PathReport}, nil, &report)
	return report, err
}

func (w *worker) lease(ctx context.Context, path string, in any) (provider.Lease, error) {
	var lease provider.Lease
	err := w.post(ctx, path, in, &lease)
	return lease, err
}

func (w *worker) post(ctx context.Context, path string, in, out any) error {
	return w.peer.json(ctx, call{method: http.MethodPost, path: path, hasEffect: true}, in, out)
}
