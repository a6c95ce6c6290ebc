package balancer

//go:generate go tool stringer -type=Result,Choice,state -output=strings.go

import "time"

// Result tells how a request to a replica ended.
type Result int

// Results of a request.
const (
	OK      Result = iota // a whole answer
	Failed                // an answer that reports the server's own error
	Refused               // the connection or the request was refused: not run
	Lost                  // no whole answer: it may have run
)

// Choice tells how many replicas are compared.
type Choice int

// Choices of a replica.
const (
	Least      Choice = iota // the best of all, from a random start
	TwoChoices               // the better of two at random
)

// Option changes a Balancer.
type Option func(*Balancer)

// WithChoice sets how many replicas are compared, Least by default: a worker
// has one owner, so the counts are exact and the best of all is no herd.
func WithChoice(c Choice) Option {
	return func(b *Balancer) { b.choice = c }
}

// WithEjectedPart sets the largest part of replicas out of rotation for being
// slow or failing, a half by default, and of all with those that refuse, 0.9
// by default. Both are rounded down.
func WithEjectedPart(part, refusing float64) Option {
	return func(b *Balancer) { b.ejectedPart, b.refusedPart = part, refusing }
}

// WithSlowFactor sets how many times slower than its peers a replica must be
// to leave the rotation, 3 by default; zero turns this off.
func WithSlowFactor(factor float64) Option {
	return func(b *Balancer) { b.slowFactor = factor }
}

// WithFailures sets after how many failures in a row a replica leaves the
// rotation, 5 by default, and after how many refusals, 2 by default.
func WithFailures(failures, refusals int) Option {
	return func(b *Balancer) { b.failures, b.refusals = failures, refusals }
}

// WithHold sets how long a replica stays out of rotation before it is
// probed, 1 s by default, and the bound on that time, 30 s by default. The
// time doubles with each probe that fails.
func WithHold(first, longest time.Duration) Option {
	return func(b *Balancer) { b.hold, b.longestHold = first, longest }
}

// WithProbes sets how many probes must go well before a replica returns, 3
// by default.
func WithProbes(n int) Option {
	return func(b *Balancer) { b.probes = n }
}
