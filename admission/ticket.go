package admission

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

//go:generate go tool stringer -type=Discipline,ticketState -output=strings.go

// Ticket stands for one request at the gate.
type Ticket struct {
	Request  Request
	Admitted bool         // it holds a slot and may go
	Err      *fault.Error // why Expire refused it

	service  *service
	state    ticketState
	since    time.Time // when it began to wait
	expiry   time.Time // from then on it can't finish
	position int       // in the heap of waiting tickets
}

// notWaiting is the position of a ticket outside the heap.
const notWaiting = -1

// ticketState tells where a ticket is.
type ticketState int

// States of a ticket.
const (
	offered ticketState = iota
	waiting
	admitted
	ended
)

// expiryHeap orders waiting tickets by expiry, for package heap.
type expiryHeap []*Ticket

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	t := x.(*Ticket)
	t.position = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.position = notWaiting
	return t
}
