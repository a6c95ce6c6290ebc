// Package instancelist is a stand-in of the platform's instance list, which
// shows changes with a lag.
//
// Usage:
//
//	list := instancelist.New(instancelist.WithLag(2 * time.Second))
//	list.Put(provider.Instance{ID: "w1", Role: provider.RoleWorker})
//	go list.Serve(ctx, listener)
//	instances, err := client.NewList(listener.Addr().String()).Instances(ctx)
//
// Requests:
//
//	GET    /instances       JSON []provider.Instance, ordered by ID
//	PUT    /instances/{id}  JSON provider.Instance
//	DELETE /instances/{id}
//	GET, PUT /faults        see package faults
package instancelist

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/standin/faults"
)

// Bounds.
const (
	MaxInstances      = 4096
	maxPendingChanges = 8192 // older changes show at once, whatever the lag
	maxID             = 200
)

// Faults are the faults of the instance list.
type Faults struct {
	faults.Common
	Lag   faults.Duration `json:"lag,omitempty"`   // added to the configured lag
	Stuck []string        `json:"stuck,omitempty"` // IDs whose entries don't change from now on
}

// Option configures a List.
type Option func(*List)

// List is the instance list.
type List struct {
	*faults.Injector[Faults]
	handler http.Handler
	now     func() time.Time
	lag     time.Duration
	initial Faults

	mu      sync.Mutex
	visible map[string]provider.Instance // entries that readers get
	pending []change                     // changes that readers don't get yet, oldest first
	listed  map[string]bool              // IDs with all changes applied
	stuck   map[string]bool
}

// change sets an entry, or removes it when instance is nil.
type change struct {
	at       time.Time
	id       string
	instance *provider.Instance
}

// New returns an empty list.
func New(opts ...Option) *List {
	l := &List{
		now:     time.Now,
		visible: make(map[string]provider.Instance),
		listed:  make(map[string]bool),
	}
	for _, opt := range opts {
		opt(l)
	}
	l.Injector = faults.New(l.initial, l.now)
	l.OnChange(l.setStuck)
	l.setStuck(l.initial)
	l.handler = l.Wrap(l.mux())
	return l
}

// WithClock sets the time source.
func WithClock(now func() time.Time) Option {
	return func(l *List) { l.now = now }
}

// WithLag sets the delay until readers get a change.
func WithLag(d time.Duration) Option {
	return func(l *List) { l.lag = d }
}

// WithFaults sets the faults in force from the start.
func WithFaults(f Faults) Option {
	return func(l *List) { l.initial = f }
}

// ServeHTTP answers one request.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.handler.ServeHTTP(w, r)
}

// Serve serves requests on listener until ctx ends or the fault "dead" is set.
func (l *List) Serve(ctx context.Context, listener net.Listener) error {
	return l.Injector.Serve(ctx, listener, l)
}

// Put adds or replaces an instance's entry.
func (l *List) Put(instance provider.Instance) error {
	if instance.ID == "" || len(instance.ID) > maxID {
		return fault.New(fault.Invalid, "instance ID %q, want 1 to %d bytes", instance.ID, maxID)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.listed[instance.ID] && len(l.listed) >= MaxInstances {
		return fault.New(fault.TooLarge, "more than %d instances", MaxInstances)
	}
	l.listed[instance.ID] = true
	l.addChange(change{at: l.now(), id: instance.ID, instance: &instance})
	return nil
}

// Delete removes an instance's entry.
func (l *List) Delete(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.listed[id] {
		return
	}
	delete(l.listed, id)
	l.addChange(change{at: l.now(), id: id})
}

// Instances returns the entries that readers get now, ordered by ID.
func (l *List) Instances() []provider.Instance {
	lag := l.lag + time.Duration(l.Get().Lag)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyUntil(l.now().Add(-lag))
	shown := make([]provider.Instance, 0, len(l.visible))
	for _, instance := range l.visible {
		shown = append(shown, instance)
	}
	slices.SortFunc(shown, byID)
	return shown
}

func (l *List) addChange(c change) {
	l.pending = append(l.pending, c)
	if len(l.pending) > maxPendingChanges {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
}

// applyUntil applies the pending changes up to a time, except those of stuck entries.
func (l *List) applyUntil(until time.Time) {
	kept := l.pending[:0]
	for _, c := range l.pending {
		if c.at.After(until) || l.stuck[c.id] {
			kept = append(kept, c)
			continue
		}
		l.apply(c)
	}
	l.pending = slices.Clip(kept)
}

func (l *List) apply(c change) {
	if c.instance == nil {
		delete(l.visible, c.id)
		return
	}
	l.visible[c.id] = *c.instance
}

func (l *List) setStuck(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stuck = make(map[string]bool)
	for _, id := range f.Stuck {
		l.stuck[id] = true
	}
}
