package faults

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

const (
	path    = "/faults"
	maxBody = 64 << 10
	seed    = 1
)

// Injector holds the faults in force and applies the common ones.
type Injector[F Set] struct {
	now      func() time.Time
	onChange func(F)
	dead     chan struct{}

	mu      sync.Mutex
	current F
	resume  time.Time // end of a pause
	random  *rand.Rand
	open    map[*conn]bool
}

// New returns an injector with initial faults. The time source now times
// pauses.
func New[F Set](initial F, now func() time.Time) *Injector[F] {
	i := &Injector[F]{
		now:    now,
		dead:   make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, seed)),
		open:   make(map[*conn]bool),
	}
	i.Set(initial)
	return i
}

// OnChange calls f with each new set of faults.
func (i *Injector[F]) OnChange(f func(F)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.onChange = f
}

// Get returns the faults in force.
func (i *Injector[F]) Get() F {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current
}

// Set puts faults in force.
func (i *Injector[F]) Set(f F) {
	i.set(f, nil)
}

// Dead is closed once the fault of that name was set.
func (i *Injector[F]) Dead() <-chan struct{} {
	return i.dead
}

// set puts f in force and tells the stand-in, outside the lock so that it may
// ask for the faults again.
func (i *Injector[F]) set(f F, asker net.Conn) {
	if onChange := i.replace(f, asker); onChange != nil {
		onChange(f)
	}
}

func (i *Injector[F]) replace(f F, asker net.Conn) func(F) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.current = f
	common := f.Shared()
	i.resume = i.now().Add(time.Duration(common.Pause))
	if common.Silent {
		i.silence(asker)
	}
	if common.Dead {
		i.die()
	}
	return i.onChange
}

func (i *Injector[F]) silence(asker net.Conn) {
	for c := range i.open {
		if net.Conn(c) != asker {
			c.silent.Store(true)
		}
	}
}

func (i *Injector[F]) die() {
	select {
	case <-i.dead:
	default:
		close(i.dead)
	}
}

func (i *Injector[F]) pauseLeft() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.resume.Sub(i.now())
}

func (i *Injector[F]) loses(part float64) bool {
	if part <= 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.random.Float64() < part
}

// serveFaults answers GET and PUT of the faults themselves.
func (i *Injector[F]) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodPut:
		f, err := decode[F](http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			wire.Refuse(w, err)
			return
		}
		i.set(f, connOf(r))
	default:
		wire.Refuse(w, fault.New(fault.Invalid, "method %s", r.Method))
		return
	}
	w.Header().Set("Content-Type", wire.TypeJSON)
	_ = json.NewEncoder(w).Encode(i.Get()) // the reader may have gone
}
