package demo

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/standin/faults"
	"github.com/dogwoodladder/dogwoodladder/standin/instancelist"
	"github.com/dogwoodladder/dogwoodladder/standin/logservice"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

const (
	loopback           = "127.0.0.1:0"
	workersPerZone     = 4
	instancesPerZone   = 2
	racks              = 2
	workerSlots        = 8
	listLag            = 300 * time.Millisecond
	checkpointInterval = 200 * time.Millisecond
)

// victim is the ID of the instance that is killed.
const victim = "e-ebene-2"

var (
	zones    = []string{"ebene", "kurasini"}
	capacity = resource.Vector{Processors: 8_000, Memory: 16 << 10} // of a worker
)

// server serves a listener until its context ends.
type server interface {
	Serve(context.Context, net.Listener) error
}

// site holds the platform's stand-ins and the entry instances.
type site struct {
	logger    *zap.Logger
	log       *logservice.Service
	logAddr   netip.AddrPort
	list      *instancelist.List
	listAddr  netip.AddrPort
	workers   []*siteWorker
	instances []*instance

	cancel context.CancelFunc
	served sync.WaitGroup
}

// siteWorker is a worker with its ID and zone.
type siteWorker struct {
	*worker.Worker
	id   string
	zone string
}

// newSite starts the stand-ins and the instances.
func newSite(ctx context.Context, logger *zap.Logger) (*site, error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &site{
		logger: logger,
		log:    logservice.New(),
		list:   instancelist.New(instancelist.WithLag(listLag)),
		cancel: cancel,
	}
	if err := s.start(ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) start(ctx context.Context) error {
	var err error
	if s.logAddr, err = s.serve(ctx, s.log); err != nil {
		return err
	}
	if s.listAddr, err = s.serve(ctx, s.list); err != nil {
		return err
	}
	for _, zone := range zones {
		if err := s.startWorkers(ctx, zone); err != nil {
			return err
		}
	}
	for _, zone := range zones {
		if err := s.startInstances(zone); err != nil {
			return err
		}
	}
	return nil
}

// serve runs a stand-in on a free port and returns its address.
func (s *site) serve(ctx context.Context, standin server) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.served.Go(func() {
		_ = standin.Serve(ctx, l) // ends with ctx
	})
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (s *site) startWorkers(ctx context.Context, zone string) error {
	for n := range workersPerZone {
		m := &siteWorker{id: fmt.Sprintf("w-%s-%d", zone, n+1), zone: zone}
		m.Worker = worker.New(m.id,
			worker.WithCapacity(capacity),
			worker.WithSlots(workerSlots),
			worker.WithCheckpoint(checkpointInterval))
		addr, err := s.serve(ctx, m)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, m)
		rack := fmt.Sprintf("r%d", n%racks+1)
		if err := s.list.Put(m.Instance(zone, rack, addr.String())); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) startInstances(zone string) error {
	for n := range instancesPerZone {
		id := fmt.Sprintf("e-%s-%d", zone, n+1)
		in, err := startInstance(s, id, zone)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, in)
		if err := s.list.Put(in.listEntry(provider.StatusLive)); err != nil {
			return err
		}
	}
	return nil
}

// close stops the running instances and the stand-ins, and waits for them.
func (s *site) close() {
	for _, in := range s.running() {
		in.stop()
	}
	for _, in := range s.instances {
		<-in.ended
	}
	s.cancel()
	s.served.Wait()
}

// running returns the instances that haven't been stopped or killed.
func (s *site) running() []*instance {
	var running []*instance
	for _, in := range s.instances {
		if !in.isStopped() {
			running = append(running, in)
		}
	}
	return running
}

// findInstance returns the instance called id.
func (s *site) findInstance(id string) *instance {
	for _, in := range s.instances {
		if in.id == id {
			return in
		}
	}
	return nil
}

// firstInstance returns the first running instance of a zone.
func (s *site) firstInstance(zone string) *instance {
	for _, in := range s.running() {
		if in.zone == zone {
			return in
		}
	}
	return nil
}

// lastInstance returns the last running instance of a zone.
func (s *site) lastInstance(zone string) *instance {
	var last *instance
	for _, in := range s.running() {
		if in.zone == zone {
			last = in
		}
	}
	return last
}

func (s *site) callerAddresses() []string {
	var addresses []string
	for _, in := range s.running() {
		addresses = append(addresses, in.addresses.Caller)
	}
	return addresses
}

// breakLog takes the log service down until the returned function is called.
func (s *site) breakLog() (repair func()) {
	s.log.Set(logservice.Faults{Common: faults.Common{Down: true}})
	return func() { s.log.Set(logservice.Faults{}) }
}

// ledger returns the merged ledgers of all workers of a zone, or of all workers
// if zone is empty.
func (s *site) ledger(zone string) worker.Ledger {
	var ledgers []worker.Ledger
	for _, m := range s.workers {
		if zone == "" || m.zone == zone {
			ledgers = append(ledgers, m.Ledger())
		}
	}
	return worker.Merge(ledgers...)
}
