package mixed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The bounds are those that the measurement is to meet on the mean of all
// seeds; here one seed and a shorter run guard against a relapse.
func TestPolicyMeetsItsBounds(t *testing.T) {
	is := is.New(t)
	s := normal(Bureau(), 1)
	s.Duration = 40 * time.Minute
	b := New()
	results := map[string]Result{}
	for _, name := range []string{nameSplit, nameEvict, namePolicy, nameOracle} {
		results[name] = b.play(name, s)
	}
	policy := results[namePolicy]
	is.True(mean(ratios(policy.Tails, results[nameSplit].Tails)) <= 1.10)
	is.True(policy.Work >= 0.85*results[nameOracle].Work)
	is.True(5*policy.Evictions <= results[nameEvict].Evictions)
	is.Equal(policy.Killed, 0)
}

// Symptom: tasks run out of memory, or workers stand idle.
// Sequence: declared sizes are off by up to four times.
// Cause: declared sizes are taken as they are.
func TestWrongSizesAreCorrected(t *testing.T) {
	is := is.New(t)
	s := normal(Bureau(), 2)
	s.Wrong = 4
	s.Duration = 40 * time.Minute
	b := New()
	policy, fit := b.play(namePolicy, s), b.play(nameBestFit, s)
	is.Equal(policy.Killed, 0)
	is.True(policy.Work >= 0.85*b.play(nameOracle, s).Work)
	is.True(policy.Work > fit.Work)
}

func TestSilenceIsSurvived(t *testing.T) {
	is := is.New(t)
	s := normal(Bureau(), 1)
	s.Silent = true
	s.Duration = 40 * time.Minute
	b := New()
	policy, split := b.play(namePolicy, s), b.play(nameSplit, s)
	is.True(mean(ratios(policy.Tails, split.Tails)) <= 1.15)
}
