package limit

//go:generate go tool stringer -type=Algorithm -output=strings.go

// Algorithm tells how a Limit moves.
type Algorithm int

// Algorithms of a Limit.
const (
	Climb    Algorithm = iota // by trials of a lower or higher bound
	Gradient                  // by the ratio of the latency to the usual one
	AIMD                      // additive increase, multiplicative decrease
	Aim                       // towards a latency that is aimed at
	Off                       // not at all
)
