package admission

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

//go:generate go tool stringer -type=Discipline,ticketState -output=strings.go

// Ticket represents one request at the gate.
type Ticket struct {
	Request  Request
	Admitted bool         // holds a slot and may start
	Err      *fault.Error // set when Expire refuses the ticket

	service      *service
	state        ticketState
	waitingSince time.Time
	expiry       time.Time // from then on it can't finish by its deadline
	heapIndex    int
}

// notInHeap is the heapIndex of a ticket that isn't in the heap.
const notInHeap = -1

// ticketState is the lifecycle state of a ticket.
type ticketState int

// States of a ticket.
const (
	offered ticketState = iota
	waiting
	admitted
	ended
)

// expiryHeap is a heap of the waiting tickets, ordered by expiry.
type expiryHeap []*Ticket

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.heapIndex = notInHeap
	return t
}
