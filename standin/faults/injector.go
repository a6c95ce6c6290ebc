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
	faultsPath = "/faults"
	maxBody    = 64 << 10
	randomSeed = 1
)

// Injector holds the active faults and applies the common ones.
type Injector[F FaultSet] struct {
	now      func() time.Time
	onChange func(F)
	dead     chan struct{}

	mu          sync.Mutex
	current     F
	pausedUntil time.Time
	random      *rand.Rand
	conns       map[*conn]bool
}

// New returns an Injector with initial faults. Pauses are timed by the time
// source now.
func New[F FaultSet](initial F, now func() time.Time) *Injector[F] {
	i := &Injector[F]{
		now:    now,
		dead:   make(chan struct{}),
		random: rand.New(rand.NewPCG(randomSeed, randomSeed)),
		conns:  make(map[*conn]bool),
	}
	i.Set(initial)
	return i
}

// OnChange sets the function that is called with each new set of faults.
func (i *Injector[F]) OnChange(f func(F)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.onChange = f
}

// Get returns the active faults.
func (i *Injector[F]) Get() F {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current
}

// Set replaces the active faults.
func (i *Injector[F]) Set(f F) {
	i.set(f, nil)
}

// Dead returns a channel that is closed once the fault "dead" was set.
func (i *Injector[F]) Dead() <-chan struct{} {
	return i.dead
}

// set replaces the active faults and calls the OnChange function, outside the
// lock so that it may call Get. If f makes connections silent, the connection
// requester, which carries the PUT, stays open.
func (i *Injector[F]) set(f F, requester net.Conn) {
	if onChange := i.replace(f, requester); onChange != nil {
		onChange(f)
	}
}

func (i *Injector[F]) replace(f F, requester net.Conn) func(F) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.current = f
	common := f.Shared()
	i.pausedUntil = i.now().Add(time.Duration(common.Pause))
	if common.Silent {
		i.silenceConns(requester)
	}
	if common.Dead {
		i.markDead()
	}
	return i.onChange
}

func (i *Injector[F]) silenceConns(requester net.Conn) {
	for c := range i.conns {
		if net.Conn(c) != requester {
			c.silent.Store(true)
		}
	}
}

func (i *Injector[F]) markDead() {
	select {
	case <-i.dead:
	default:
		close(i.dead)
	}
}

func (i *Injector[F]) remainingPause() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.pausedUntil.Sub(i.now())
}

// drawsLoss decides at random, with the given probability, whether an answer is
// lost.
func (i *Injector[F]) drawsLoss(probability float64) bool {
	if probability <= 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.random.Float64() < probability
}

// serveFaults handles GET and PUT of /faults.
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
		wire.Refuse(w, fault.New(fault.Invalid, "method %s, want GET or PUT", r.Method))
		return
	}
	w.Header().Set("Content-Type", wire.TypeJSON)
	_ = json.NewEncoder(w).Encode(i.Get()) // fails if the reader has disconnected
}
