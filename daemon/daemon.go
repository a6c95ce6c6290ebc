// Package daemon assembles one instance: the controller on one goroutine,
// the gateway's traffic on many, and the adapters between them and the
// platform, the workers and the other instances.
//
// Usage:
//
//	d, err := daemon.New(settings, daemon.WithLogger(logger))
//	err = d.Run(ctx) // returns after ctx is done and the workers are handed over
//
// All goroutines run under one tomb: when one of them fails, the whole process
// stops with that error instead of running with a part missing.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/dogwoodladder/dogwoodladder/client"
	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/gateway"
	"github.com/dogwoodladder/dogwoodladder/ingress"
	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/peer"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/setting"
)

// Intervals, bounds and buffer sizes that aren't settings.
const (
	tickInterval      = 100 * time.Millisecond
	listInterval      = time.Second
	freeSlotsInterval = 500 * time.Millisecond
	commandTimeout    = 5 * time.Second
	inputBuffer       = 1024
)

// Daemon is one instance. Run may be called only once.
type Daemon struct {
	settings      setting.Settings
	logger        *zap.Logger
	log           provider.Log
	list          provider.List
	workerClients sync.Map // address to provider.Worker
	mesh          *peer.Mesh
	gateway       *gateway.Gateway
	control       *controller.Controller
	self          controller.Self

	tomb        tomb.Tomb
	inputs      chan controlOp
	nextOffsets [2]atomic.Uint64 // next offset to read of the zone stream and the configuration stream
	answers     sync.Map         // command ID to chan controller.Answer
	lastID      atomic.Uint64
	left        chan struct{} // closed when the controller has handed everything over
	leftOnce    sync.Once
	addrs       Addresses
	listeners   []net.Listener
	counters    counters
	clients     *ingress.Pool
}

// Addresses are the listen addresses of an instance, host:port each.
type Addresses struct {
	Caller   string
	Peer     string
	Operator string
}

// controlOp is an input or a function to process on the control goroutine.
// done, if set, is closed afterwards.
type controlOp struct {
	input controller.Input
	run   func(*controller.Controller)
	done  chan struct{}
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithLogger sets the logger of events; the default discards them.
func WithLogger(l *zap.Logger) Option {
	return func(d *Daemon) { d.logger = l }
}

// New returns a Daemon for the given settings.
func New(s setting.Settings, opts ...Option) *Daemon {
	d := &Daemon{
		settings: s,
		logger:   zap.NewNop(),
		inputs:   make(chan controlOp, inputBuffer),
		left:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.clients = newPool(s.Limits)
	d.log = client.NewLog(s.LogAddress.String())
	d.list = client.NewList(s.ListAddress.String(), client.WithLogger(d.logger))
	d.self = controller.Self{
		ID:               s.Instance,
		AvailabilityZone: s.AvailabilityZone,
		Incarnation:      uint64(time.Now().UnixMilli()),
		Address:          s.PeerAddress.String(),
	}
	return d
}

// Listen opens the listeners, so that the addresses are known before Run. It
// returns the same addresses when called again.
func (d *Daemon) Listen() (Addresses, error) {
	if d.listeners != nil {
		return d.addrs, nil
	}
	listeners, err := d.listen()
	if err != nil {
		return Addresses{}, err
	}
	d.listeners = listeners
	d.self.Address = d.addrs.Peer
	return d.addrs, nil
}

// Run serves until ctx is done, then hands over the workers and stops.
func (d *Daemon) Run(ctx context.Context) error {
	if _, err := d.Listen(); err != nil {
		return err
	}
	d.control = controller.New(d.self, controllerTiming(d.settings.Timing))
	d.gateway = gateway.New(
		gateway.WithLogger(d.logger),
		gateway.WithMaxBufferedBytes(min(maxBufferedBytes, d.settings.Limits.Memory/bufferedPart)),
	)
	d.mesh = d.newMesh()
	d.tomb.Go(func() error {
		d.tomb.Go(d.runControl)
		d.tomb.Go(func() error { return d.mesh.Run(d.tomb.Context(context.Background())) })
		d.tomb.Go(d.receiveMessages)
		d.tomb.Go(func() error { return d.followStream(0, controller.ZoneStream(d.self.AvailabilityZone)) })
		d.tomb.Go(func() error { return d.followStream(1, controller.ConfigStream) })
		d.tomb.Go(d.pollInstances)
		d.tomb.Go(d.pollFreeSlots)
		d.serve(d.listeners)
		return d.stopWhenDone(ctx)
	})
	return d.tomb.Wait()
}

func (d *Daemon) newMesh() *peer.Mesh {
	const missed = 3 // heartbeats missed before a link counts as silent
	beat := d.settings.Timing.HeartbeatInterval
	return peer.New(
		peer.WithSelf(member.Self{
			ID:               d.self.ID,
			AvailabilityZone: d.self.AvailabilityZone,
			Incarnation:      d.self.Incarnation,
		}),
		peer.WithSilenceTimeouts(missed*beat, missed*member.RemoteHeartbeatFactor*beat),
	)
}

// Kill stops all goroutines at once without a handover. Tests use it to
// simulate a crash of the process.
func (d *Daemon) Kill() {
	d.tomb.Kill(fault.New(fault.Internal, "killed"))
}

func controllerTiming(t setting.Timing) controller.Timing {
	return controller.Timing{
		HeartbeatInterval: t.HeartbeatInterval,
		SuspicionTimeout:  t.SuspicionTimeout,
		WorkerLease:       t.Lease,
		TaskLease:         t.TaskLease,
		MaxDrift:          t.MaxDrift,
		MaxIsolation:      t.MaxIsolation,
		AppendInterval:    t.AppendInterval,
		SnapshotInterval:  t.SnapshotInterval,
		FenceAfter:        2 * t.SuspicionTimeout,
		CommandTimeout:    commandTimeout,
	}
}

// stopWhenDone performs a planned stop once ctx is done: it accepts no new
// work, hands over the workers and finishes requests in flight, all within the
// drain time.
func (d *Daemon) stopWhenDone(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-d.tomb.Dying():
		return nil
	}
	d.logger.Info("leaving")
	d.enqueue(controller.Leave{})
	drain, cancel := context.WithTimeout(context.Background(), d.settings.Timing.DrainTimeout)
	defer cancel()
	if err := d.gateway.Drain(drain); err != nil {
		d.logger.Warn("drain cut short", zap.Error(err))
	}
	select {
	case <-d.left:
		d.logger.Info("left")
	case <-drain.Done():
		d.logger.Warn("handover cut short")
	case <-d.tomb.Dying():
	}
	d.tomb.Kill(nil)
	return nil
}

// listen opens the caller, peer and operator listeners, all or none.
func (d *Daemon) listen() ([]net.Listener, error) {
	var listeners []net.Listener
	for _, a := range []string{d.settings.CallerAddress.String(), d.settings.PeerAddress.String(), d.settings.OperatorAddress.String()} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, open := range listeners {
				open.Close()
			}
			return nil, fault.Wrap(fault.Invalid, err, "listen on %s", a)
		}
		listeners = append(listeners, l)
	}
	d.addrs = Addresses{
		Caller:   listeners[0].Addr().String(),
		Peer:     listeners[1].Addr().String(),
		Operator: listeners[2].Addr().String(),
	}
	return listeners, nil
}

// serve runs one server per listener, so that a flood of caller requests can't
// shut out peers or operators.
func (d *Daemon) serve(listeners []net.Listener) {
	handlers := []http.Handler{d.gateway.CallerHandler(), d.peerHandler(), d.operatorHandler()}
	for i, l := range listeners {
		server := d.gateway.Server(handlers[i])
		l = d.clients.Guard(l, server, listenerNames[i], listenerShares[i])
		d.tomb.Go(func() error {
			if err := server.Serve(l); err != http.ErrServerClosed {
				return err
			}
			return nil
		})
		d.tomb.Go(func() error {
			<-d.tomb.Dying()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if err := server.Shutdown(ctx); err != nil {
				return server.Close()
			}
			return nil
		})
	}
}

// peerHandler serves links and forwarded requests. It doesn't use a ServeMux,
// which would redirect a forwarded path that contains "//" or "..".
func (d *Daemon) peerHandler() http.Handler {
	forwards := d.gateway.PeerHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == peer.Path {
			d.mesh.ServeHTTP(w, r)
			return
		}
		forwards.ServeHTTP(w, r)
	})
}
