// Package resource represents amounts of resources: the need of a task, the
// capacity of a worker.
//
// Usage:
//
//	free := capacity.Sub(used)
//	if need.Fits(free) {
//		used = used.Add(need)
//	}
//
// Processors are counted in thousandths of a core, memory in mebibytes and
// accelerators in whole devices, so that sums are exact integers and every
// instance computes the same totals from the same records.
package resource

import "fmt"

// Vector is an amount of each kind of resource.
type Vector struct {
	Processors   int64 `cbor:"1,keyasint,omitempty" json:"processors"`   // thousandths of a core
	Memory       int64 `cbor:"2,keyasint,omitempty" json:"memory"`       // MiB
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators"` // devices
}

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	return Vector{v.Processors + o.Processors, v.Memory + o.Memory, v.Accelerators + o.Accelerators}
}

// Sub returns v - o; a component may become negative.
func (v Vector) Sub(o Vector) Vector {
	return Vector{v.Processors - o.Processors, v.Memory - o.Memory, v.Accelerators - o.Accelerators}
}

// Scale returns v times n.
func (v Vector) Scale(n int64) Vector {
	return Vector{v.Processors * n, v.Memory * n, v.Accelerators * n}
}

// Fits reports whether v is at most limit in every component.
func (v Vector) Fits(limit Vector) bool {
	return v.Processors <= limit.Processors && v.Memory <= limit.Memory && v.Accelerators <= limit.Accelerators
}

// IsZero reports whether every component is zero.
func (v Vector) IsZero() bool {
	return v == Vector{}
}

// IsNegative reports whether any component is below zero.
func (v Vector) IsNegative() bool {
	return v.Processors < 0 || v.Memory < 0 || v.Accelerators < 0
}

// MaxAmount is the largest amount of a resource that IsValid accepts. Sums of valid amounts,
// and their products with a number of tasks, can't overflow.
const MaxAmount = 1 << 40

// IsValid reports whether every component is between zero and MaxAmount.
func (v Vector) IsValid() bool {
	return !v.IsNegative() && v.Fits(Vector{Processors: MaxAmount, Memory: MaxAmount, Accelerators: MaxAmount})
}

// Dominant returns the largest fraction that v takes of any component of
// total. A component that is zero in total counts as 1 when v needs it.
func (v Vector) Dominant(total Vector) float64 {
	return max(
		fraction(v.Processors, total.Processors),
		fraction(v.Memory, total.Memory),
		fraction(v.Accelerators, total.Accelerators),
	)
}

// String returns v as key=value pairs.
func (v Vector) String() string {
	return fmt.Sprintf("processors=%dm memory=%dMiB accelerators=%d", v.Processors, v.Memory, v.Accelerators)
}

func fraction(part, whole int64) float64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
