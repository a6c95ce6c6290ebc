package limit

//go:generate go tool stringer -type=Algorithm -output=strings.go

// Algorithm tells how a Limit moves.
type Algorithm int

// Algorithms of a Limit.
const (
	Gradient Algorithm = iota // by the ratio of measured to uncongested latency
	AIMD                      // additive increase, multiplicative decrease
	Off                       // not at all
)
