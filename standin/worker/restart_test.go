package worker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

// Guards against an owner that takes the lease of another worker, whose process
// was started at the address that the instance list still names.
func TestAcquireOfAnotherWorker(t *testing.T) {
	w := worker.New("w1", worker.WithClock(newClock().now))
	tests := []struct {
		name, worker string
		refused      bool
	}{
		{"another", "w2", true},
		{"own", "w1", false},
		{"earlier version", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := w.Acquire(provider.LeaseRequest{Holder: "a", Worker: tt.worker, TTL: time.Second})
			is.Equal(fault.Is(err, fault.Conflict), tt.refused)
			is.Equal(err != nil, tt.refused)
		})
	}
}

// Guards against orders that a worker carries out although they are meant for
// its incarnation before a restart. b owned that one, and a, which hasn't heard
// of b's epoch, owns the next.
func TestOrdersToTheIncarnationBefore(t *testing.T) {
	is := is.New(t)
	c := newClock()
	before := worker.New("w", worker.WithClock(c.now), worker.WithIncarnation(1))
	known := acquire(t, before, "a", time.Second, 0)
	is.NoErr(before.Release(known.Epoch))
	late := acquire(t, before, "b", time.Second, 0)

	w := worker.New("w", worker.WithClock(c.now), worker.WithIncarnation(2))
	current, err := w.Acquire(provider.LeaseRequest{Holder: "a", AboveEpoch: known.Epoch, TTL: time.Second})
	is.NoErr(err)
	is.True(current.Epoch > known.Epoch)

	for _, order := range []struct {
		name string
		send func() error
	}{
		{"renew", func() error {
			_, err := w.Renew(provider.LeaseRequest{Holder: "b", Epoch: late.Epoch, TTL: time.Second})
			return err
		}},
		{"start", func() error { return w.Start(late.Epoch, batch("t", 1, "sleep 1s")) }},
		{"throttle", func() error { return w.Throttle(late.Epoch, "t", 50) }},
		{"stop", func() error { return w.Stop(late.Epoch, "t", false) }},
		{"acknowledge", func() error { return w.Acknowledge(late.Epoch, []string{"t"}) }},
		{"transfer", func() error {
			_, err := w.Transfer(late.Epoch, "c")
			return err
		}},
		{"release", func() error { return w.Release(late.Epoch) }},
	} {
		t.Run(order.name, func(t *testing.T) {
			is := is.New(t)
			is.True(fault.Is(order.send(), fault.StaleEpoch))
		})
	}
	is.NoErr(w.Start(current.Epoch, batch("t", 1, "sleep 1s")))
}
