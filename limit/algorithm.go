package limit

//go:generate go tool stringer -type=Algorithm -output=strings.go

// Algorithm is the method by which a Limit adjusts its bound.
type Algorithm int

// Algorithms of a Limit.
const (
	Climb    Algorithm = iota // hill climbing: trials of a lower or higher bound
	Gradient                  // by the ratio of the latency to its baseline
	AIMD                      // additive increase, multiplicative decrease
	Aim                       // towards a target latency
	Off                       // constant bound
)
