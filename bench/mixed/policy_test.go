package mixed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The bounds are the targets of the full measurement, which takes the mean of
// all seeds. One seed and a shorter run are enough to detect a regression.
func TestPolicyMeetsItsBounds(t *testing.T) {
	is := is.New(t)
	s := normal(Bureau(), 1)
	s.Duration = 40 * time.Minute
	b := New()
	results := map[string]Result{}
	for _, name := range []string{nameNoColocation, nameEvict, namePolicy, nameOracle} {
		results[name] = b.runPolicy(name, s)
	}
	policy := results[namePolicy]
	is.True(mean(ratios(policy.Tails, results[nameNoColocation].Tails)) <= 1.10)
	is.True(policy.Work >= 0.85*results[nameOracle].Work)
	is.True(5*policy.Evictions <= results[nameEvict].Evictions)
	is.Equal(policy.Killed, 0)
}

// With declared sizes off by up to four times, a policy that trusts them runs
// tasks out of memory or leaves workers idle.
func TestWrongSizesAreCorrected(t *testing.T) {
	is := is.New(t)
	s := normal(Bureau(), 2)
	s.DeclarationError = 4
	s.Duration = 40 * time.Minute
	b := New()
	policy, fit := b.runPolicy(namePolicy, s), b.runPolicy(nameBestFit, s)
	is.Equal(policy.Killed, 0)
	is.True(policy.Work >= 0.85*b.runPolicy(nameOracle, s).Work)
	is.True(policy.Work > fit.Work)
}

func TestSilenceIsSurvived(t *testing.T) {
	is := is.New(t)
	s := normal(Bureau(), 1)
	s.SilentWorkers = true
	s.Duration = 40 * time.Minute
	b := New()
	policy, split := b.runPolicy(namePolicy, s), b.runPolicy(nameNoColocation, s)
	is.True(mean(ratios(policy.Tails, split.Tails)) <= 1.15)
}
