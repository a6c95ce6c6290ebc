package demo

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/daemon"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/setting"
)

// timing is shorter than a daemon's default timing, so that each failure is
// detected and repaired within seconds.
var timing = setting.Timing{
	HeartbeatInterval: 100 * time.Millisecond,
	SuspicionTimeout:  600 * time.Millisecond,
	Lease:             1500 * time.Millisecond,
	TaskLease:         4 * time.Second,
	MaxDrift:          50 * time.Millisecond,
	MaxIsolation:      10 * time.Second,
	TailInterval:      50 * time.Millisecond,
	AppendInterval:    50 * time.Millisecond,
	SnapshotInterval:  5 * time.Second,
	DrainTimeout:      2 * time.Second,
}

// instance is an entry instance that runs in this process.
type instance struct {
	id        string
	zone      string
	addresses daemon.Addresses
	operator  *operator
	cancel    context.CancelFunc
	kill      func()
	stopped   atomic.Bool
	ended     chan struct{}
	err       error // set when ended is closed
}

func startInstance(s *site, id, zone string) (*instance, error) {
	settings := s.settings(id, zone)
	d := daemon.New(settings, daemon.WithLogger(s.logger.With(zap.String("instance", id))))
	addresses, err := d.Listen()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	in := &instance{
		id:        id,
		zone:      zone,
		addresses: addresses,
		operator:  newOperator(addresses.Operator),
		cancel:    cancel,
		kill:      d.Kill,
		ended:     make(chan struct{}),
	}
	go func() {
		defer close(in.ended)
		in.err = d.Run(ctx)
	}()
	return in, nil
}

func (s *site) settings(id, zone string) setting.Settings {
	freePort := netip.MustParseAddrPort(loopback)
	settings := setting.Default()
	settings.Instance = id
	settings.AvailabilityZone = zone
	settings.CallerAddress = freePort
	settings.PeerAddress = freePort
	settings.OperatorAddress = freePort
	settings.LogAddress = s.logAddr
	settings.ListAddress = s.listAddr
	settings.Timing = timing
	return settings
}

// listEntry returns the instance's entry in the instance list.
func (i *instance) listEntry(status provider.Status) provider.Instance {
	return provider.Instance{
		ID:               i.id,
		Role:             provider.RoleEntry,
		AvailabilityZone: i.zone,
		Address:          i.addresses.Peer,
		Caller:           i.addresses.Caller,
		Status:           status,
	}
}

// stop starts a planned stop and doesn't wait for its end.
func (i *instance) stop() {
	i.stopped.Store(true)
	i.cancel()
}

func (i *instance) isStopped() bool {
	return i.stopped.Load()
}
