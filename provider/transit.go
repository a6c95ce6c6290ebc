package provider

import "errors"

// ErrInTransit marks the error of an order without an answer that another instance may
// still pass on to its worker.
var ErrInTransit = errors.New("order may be in transit")
