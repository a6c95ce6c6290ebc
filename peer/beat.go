package peer

import (
	"maps"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// maxNames bounds the service names sent on one connection. A connection that
// exceeds it is closed and replaced.
const maxNames = 4 * maxFree

// freeSlotPrecision is the inverse of the relative change in free slots below which no
// update is sent: less than an eighth. Up to eight slots, and whether there are
// any, are exact. Under load the free slots of every service change constantly
// by small amounts.
const freeSlotPrecision = 8

// beat is the delta encoding of a heartbeat against the previous one on the
// same connection. The sender's identity is in its hello.
type beat struct {
	Sequence uint64       `cbor:"1,keyasint"`
	Leaving  bool         `cbor:"2,keyasint,omitempty"`
	Address  *string      `cbor:"3,keyasint,omitempty"`
	Revision *uint64      `cbor:"4,keyasint,omitempty"`
	Digest   *string      `cbor:"5,keyasint,omitempty"`
	Names    []string     `cbor:"6,keyasint,omitempty"` // new names, numbered consecutively after those sent before
	Free     map[uint]int `cbor:"7,keyasint,omitempty"` // by number
	Gone     []uint       `cbor:"8,keyasint,omitempty"` // numbers of removed services
}

// beatWriter encodes the heartbeats of one connection as beats.
type beatWriter struct {
	numbers  map[string]uint
	sentFree map[string]int // free slots that the reader has
	last     Heartbeat
	hasLast  bool
}

func (w *beatWriter) write(h Heartbeat) (*beat, error) {
	b := &beat{Sequence: h.Sequence, Leaving: h.Leaving}
	if !w.hasLast || h.Address != w.last.Address {
		b.Address = &h.Address
	}
	if !w.hasLast || h.Revision != w.last.Revision {
		b.Revision = &h.Revision
	}
	if !w.hasLast || h.Digest != w.last.Digest {
		b.Digest = &h.Digest
	}
	w.writeFree(b, h.Free)
	if len(w.numbers) > maxNames {
		return nil, fault.New(fault.TooLarge, "more than %d service names on one link", maxNames)
	}
	w.last = h
	w.hasLast = true
	return b, nil
}

func (w *beatWriter) writeFree(b *beat, free map[string]int) {
	if w.numbers == nil {
		w.numbers = map[string]uint{}
		w.sentFree = map[string]int{}
	}
	for _, name := range slices.Sorted(maps.Keys(free)) {
		told, known := w.sentFree[name]
		if known && !isSignificant(told, free[name]) {
			continue
		}
		if b.Free == nil {
			b.Free = map[uint]int{}
		}
		b.Free[w.number(b, name)] = free[name]
		w.sentFree[name] = free[name]
	}
	for _, name := range slices.Sorted(maps.Keys(w.sentFree)) {
		if _, still := free[name]; !still {
			b.Gone = append(b.Gone, w.numbers[name])
			delete(w.sentFree, name)
		}
	}
}

// number returns the number of a service, and adds a new name to the beat.
func (w *beatWriter) number(b *beat, name string) uint {
	n, known := w.numbers[name]
	if !known {
		n = uint(len(w.numbers))
		w.numbers[name] = n
		b.Names = append(b.Names, name)
	}
	return n
}

func isSignificant(told, now int) bool {
	return told != now && max(told-now, now-told)*freeSlotPrecision >= told
}

// beatReader decodes the beats of one connection.
type beatReader struct {
	names []string
	last  Heartbeat
}

// read returns the heartbeat of a sender. Its map isn't shared.
func (r *beatReader) read(from hello, b *beat) (Heartbeat, error) {
	if len(r.names)+len(b.Names) > maxNames || len(r.last.Free)+len(b.Free) > maxFree+len(b.Gone) {
		return Heartbeat{}, fault.New(fault.TooLarge, "heartbeat exceeds %d services or %d service names on one link", maxFree, maxNames)
	}
	for _, name := range b.Names {
		if len(name) > maxName {
			return Heartbeat{}, fault.New(fault.TooLarge, "service name of %d bytes, limit %d", len(name), maxName)
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
	setIfPresent(&h.Address, b.Address)
	setIfPresent(&h.Revision, b.Revision)
	setIfPresent(&h.Digest, b.Digest)
	if len(h.Address) > maxName || len(h.Digest) > maxName {
		return Heartbeat{}, fault.New(fault.TooLarge, "heartbeat address of %d or digest of %d bytes, limit %d", len(h.Address), len(h.Digest), maxName)
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

func setIfPresent[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}
