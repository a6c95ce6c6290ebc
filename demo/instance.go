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

// timing is that of a daemon scaled down, so that each failure is noticed
// and repaired within seconds.
var timing = setting.Timing{
	Heartbeat: 100 * time.Millisecond,
	Suspicion: 600 * time.Millisecond,
	Lease:     1500 * time.Millisecond,
	Task:      4 * time.Second,
	Drift:     50 * time.Millisecond,
	Isolation: 10 * time.Second,
	Tail:      50 * time.Millisecond,
	Append:    50 * time.Millisecond,
	Snapshot:  5 * time.Second,
	Drain:     2 * time.Second,
}

// instance is an entry instance under way.
type instance struct {
	id        string
	zone      string
	addresses daemon.Addresses
	operator  *operator
	cancel    context.CancelFunc
	kill      func()
	stopped   atomic.Bool
	ended     chan struct{}
	err       error // once ended
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
	any := netip.MustParseAddrPort(loopback)
	settings := setting.Default()
	settings.Instance = id
	settings.AvailabilityZone = zone
	settings.Caller = any
	settings.Peer = any
	settings.Operator = any
	settings.Log = s.logAddr
	settings.List = s.listAddr
	settings.Timing = timing
	return settings
}

// listed returns the instance's line in the instance list.
func (i *instance) listed(status provider.Status) provider.Instance {
	return provider.Instance{
		ID:               i.id,
		Role:             provider.RoleEntry,
		AvailabilityZone: i.zone,
		Address:          i.addresses.Peer,
		Caller:           i.addresses.Caller,
		Status:           status,
	}
}

// stop starts a planned stop.
func (i *instance) stop() {
	i.stopped.Store(true)
	i.cancel()
}

func (i *instance) isStopped() bool {
	return i.stopped.Load()
}
