package peer

import (
	"maps"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// maxNames bounds the service names that one link has seen. A link that goes
// above it is made anew.
const maxNames = 4 * maxFree

// coarseness is how exact free slots are told: a change below an eighth isn't.
// Up to eight slots, and whether there are any, are exact. Under load the free
// slots of every service change all the time by a little.
const coarseness = 8

// beat is a heartbeat as sent: what changed since the one before on the same
// link. The sender's name is in its hello.
type beat struct {
	Sequence uint64       `cbor:"1,keyasint"`
	Leaving  bool         `cbor:"2,keyasint,omitempty"`
	Address  *string      `cbor:"3,keyasint,omitempty"`
	Revision *uint64      `cbor:"4,keyasint,omitempty"`
	Digest   *string      `cbor:"5,keyasint,omitempty"`
	Names    []string     `cbor:"6,keyasint,omitempty"` // numbered on from those sent before
	Free     map[uint]int `cbor:"7,keyasint,omitempty"` // by number
	Gone     []uint       `cbor:"8,keyasint,omitempty"` // numbers of services no longer there
}

// beatWriter turns heartbeats into beats of one link.
type beatWriter struct {
	numbers map[string]uint
	told    map[string]int // free slots as the reader has them
	last    Heartbeat
	begun   bool
}

func (w *beatWriter) write(h Heartbeat) (*beat, error) {
	b := &beat{Sequence: h.Sequence, Leaving: h.Leaving}
	if !w.begun || h.Address != w.last.Address {
		b.Address = &h.Address
	}
	if !w.begun || h.Revision != w.last.Revision {
		b.Revision = &h.Revision
	}
	if !w.begun || h.Digest != w.last.Digest {
		b.Digest = &h.Digest
	}
	w.writeFree(b, h.Free)
	if len(w.numbers) > maxNames {
		return nil, fault.New(fault.TooLarge, "more than %d service names on one link", maxNames)
	}
	w.last = h
	w.begun = true
	return b, nil
}

func (w *beatWriter) writeFree(b *beat, free map[string]int) {
	if w.numbers == nil {
		w.numbers = map[string]uint{}
		w.told = map[string]int{}
	}
	for _, name := range slices.Sorted(maps.Keys(free)) {
		told, known := w.told[name]
		if known && !significant(told, free[name]) {
			continue
		}
		if b.Free == nil {
			b.Free = map[uint]int{}
		}
		b.Free[w.number(b, name)] = free[name]
		w.told[name] = free[name]
	}
	for _, name := range slices.Sorted(maps.Keys(w.told)) {
		if _, still := free[name]; !still {
			b.Gone = append(b.Gone, w.numbers[name])
			delete(w.told, name)
		}
	}
}

// number returns the number of a service, and tells the reader a new one.
func (w *beatWriter) number(b *beat, name string) uint {
	n, known := w.numbers[name]
	if !known {
		n = uint(len(w.numbers))
		w.numbers[name] = n
		b.Names = append(b.Names, name)
	}
	return n
}

func significant(told, now int) bool {
	return told != now && max(told-now, now-told)*coarseness >= told
}

// beatReader turns the beats of one link back into heartbeats.
type beatReader struct {
	names []string
	last  Heartbeat
}

// read returns the heartbeat of a sender. Its map isn't shared.
func (r *beatReader) read(from hello, b *beat) (Heartbeat, error) {
	if len(r.names)+len(b.Names) > maxNames || len(r.last.Free)+len(b.Free) > maxFree+len(b.Gone) {
		return Heartbeat{}, fault.New(fault.TooLarge, "heartbeat with too many services")
	}
	for _, name := range b.Names {
		if len(name) > maxName {
			return Heartbeat{}, fault.New(fault.TooLarge, "service name of %d bytes", len(name))
		}
	}
	r.names = append(r.names, b.Names...)
	free, err := r.readFree(b)
	if err != nil {
		return Heartbeat{}, err
	}
	h := r.last
	h.ID = from.ID
	h.AvailabilityZone = from.AvailabilityZone
	h.Incarnation = from.Incarnation
	h.Sequence = b.Sequence
	h.Leaving = b.Leaving
	h.Free = free
	replace(&h.Address, b.Address)
	replace(&h.Revision, b.Revision)
	replace(&h.Digest, b.Digest)
	if len(h.Address) > maxName || len(h.Digest) > maxName {
		return Heartbeat{}, fault.New(fault.TooLarge, "heartbeat with a long address or digest")
	}
	r.last = h
	return h, nil
}

func (r *beatReader) readFree(b *beat) (map[string]int, error) {
	free := maps.Clone(r.last.Free)
	if free == nil && len(b.Free) > 0 {
		free = map[string]int{}
	}
	for _, n := range b.Gone {
		if n >= uint(len(r.names)) {
			return nil, fault.New(fault.Invalid, "unknown service number %d", n)
		}
		delete(free, r.names[n])
	}
	for n, slots := range b.Free {
		if n >= uint(len(r.names)) {
			return nil, fault.New(fault.Invalid, "unknown service number %d", n)
		}
		free[r.names[n]] = slots
	}
	return free, nil
}

func replace[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}
