// Package instancelist is a stand-in of the platform's instance list, which
// shows what was true a while ago.
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
	MaxInstances = 4096
	maxPast      = 8192 // changes that the lag can hold back
	maxID        = 200
)

// Faults are the faults of the instance list.
type Faults struct {
	faults.Common
	Lag   faults.Duration `json:"lag,omitempty"`   // on top of the usual lag
	Stuck []string        `json:"stuck,omitempty"` // IDs whose entries don't change from now on
}

// Option changes a List.
type Option func(*List)

// List is the instance list.
type List struct {
	*faults.Injector[Faults]
	handler http.Handler
	now     func() time.Time
	lag     time.Duration
	initial Faults

	mu    sync.Mutex
	seen  map[string]provider.Instance // the changes that have shown
	past  []change                     // those that haven't, oldest first
	known map[string]bool              // IDs that are listed in truth
	stuck map[string]bool
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
		now:   time.Now,
		seen:  make(map[string]provider.Instance),
		known: make(map[string]bool),
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

// WithLag sets how long a change takes to show.
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

// Serve answers requests on listener until ctx ends.
func (l *List) Serve(ctx context.Context, listener net.Listener) error {
	return l.Injector.Serve(ctx, listener, l)
}

// Put lists an instance, or changes its entry.
func (l *List) Put(instance provider.Instance) error {
	if instance.ID == "" || len(instance.ID) > maxID {
		return fault.New(fault.Invalid, "instance ID %q", instance.ID)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known[instance.ID] && len(l.known) >= MaxInstances {
		return fault.New(fault.TooLarge, "more than %d instances", MaxInstances)
	}
	l.known[instance.ID] = true
	l.note(change{at: l.now(), id: instance.ID, instance: &instance})
	return nil
}

// Delete takes an instance off the list.
func (l *List) Delete(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known[id] {
		return
	}
	delete(l.known, id)
	l.note(change{at: l.now(), id: id})
}

// Instances returns what the list shows now, ordered by ID.
func (l *List) Instances() []provider.Instance {
	lag := l.lag + time.Duration(l.Get().Lag)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.show(l.now().Add(-lag))
	shown := make([]provider.Instance, 0, len(l.seen))
	for _, instance := range l.seen {
		shown = append(shown, instance)
	}
	slices.SortFunc(shown, byID)
	return shown
}

func (l *List) note(c change) {
	l.past = append(l.past, c)
	if len(l.past) > maxPast {
		l.apply(l.past[0])
		l.past = l.past[1:]
	}
}

// show lets the changes up to a time show, but for stuck entries.
func (l *List) show(until time.Time) {
	kept := l.past[:0]
	for _, c := range l.past {
		if c.at.After(until) || l.stuck[c.id] {
			kept = append(kept, c)
			continue
		}
		l.apply(c)
	}
	l.past = slices.Clip(kept)
}

func (l *List) apply(c change) {
	if c.instance == nil {
		delete(l.seen, c.id)
		return
	}
	l.seen[c.id] = *c.instance
}

func (l *List) setStuck(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stuck = make(map[string]bool)
	for _, id := range f.Stuck {
		l.stuck[id] = true
	}
}
