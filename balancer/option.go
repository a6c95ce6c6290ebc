package balancer

//go:generate go tool stringer -type=Result,Choice,state -output=strings.go

import "time"

// Result is the result of a request to a replica.
type Result int

// Results of a request.
const (
	OK      Result = iota // a complete response
	Failed                // a response that reports an error of the server itself
	Refused               // the connection or the request was refused: not run
	Lost                  // no complete response: it may have run
)

// Choice determines how many replicas are compared.
type Choice int

// Choices of a replica.
const (
	Least      Choice = iota // the best of all, from a random start
	TwoChoices               // the better of two at random
)

// Option configures a Balancer.
type Option func(*Balancer)

// WithChoice sets how many replicas are compared, Least by default. A worker has
// one owner, so the counts of requests in flight are exact and Least causes no
// herding.
func WithChoice(c Choice) Option {
	return func(b *Balancer) { b.choice = c }
}

// WithMaxEjectedPart sets the maximum fraction of replicas that may be out of
// rotation when a slow or failing replica is ejected, 0.5 by default, and when a
// refusing one is, 0.9 by default. Both are rounded down to whole replicas.
func WithMaxEjectedPart(slowOrFailing, refusing float64) Option {
	return func(b *Balancer) { b.maxEjectedPart, b.maxRefusedPart = slowOrFailing, refusing }
}

// WithSlowFactor sets how many times slower than the median of its peers a
// replica must be to be ejected, 3 by default. Zero disables ejection for
// slowness.
func WithSlowFactor(factor float64) Option {
	return func(b *Balancer) { b.slowFactor = factor }
}

// WithFailures sets the numbers of consecutive failures and of consecutive
// refusals after which a replica is ejected, 5 and 2 by default.
func WithFailures(failures, refusals int) Option {
	return func(b *Balancer) { b.maxFailures, b.maxRefusals = failures, refusals }
}

// WithHold sets how long a replica stays ejected before it is probed, 1 s by
// default, and the maximum of that time, 30 s by default. The time doubles with
// each failed probe.
func WithHold(first, maximum time.Duration) Option {
	return func(b *Balancer) { b.hold, b.maxHold = first, maximum }
}

// WithProbes sets how many probes must succeed before a replica returns to the
// rotation, 3 by default.
func WithProbes(n int) Option {
	return func(b *Balancer) { b.probes = n }
}
