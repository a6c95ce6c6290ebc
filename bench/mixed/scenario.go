package mixed

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Size describes the workers of a site.
type Size struct {
	Name     string
	Workers  int
	Rack     int // workers per rack
	Capacity resource.Vector
}

// Mizani returns the size of a site with 65 workers of 64 cores and 250 GB.
func Mizani() Size {
	return Size{"Mizani", 65, 11, resource.Vector{Processors: 64000, Memory: 250000}}
}

// Bureau returns the size of a site with 50 workers of 32 cores and 125 GB.
func Bureau() Size {
	return Size{"Bureau", 50, 6, resource.Vector{Processors: 32000, Memory: 125000}}
}

// Scenario holds the parameters of one run.
type Scenario struct {
	Size             Size
	Seed             uint64
	Lag              time.Duration // of usage reports, varied by up to a fifth
	Noise            float64       // standard deviation of the logarithm of a reported value
	DeclarationError float64       // declared sizes and durations are off by up to this factor
	WaveFactor       float64       // factor on the arrivals of noisy tasks during a wave
	Demand           float64       // arriving batch work as a share of all cores
	SilentWorkers    bool          // a third of the workers stop reporting for a while
	Duration         time.Duration
	Warmup           time.Duration // excluded from the results
}

// normal is the scenario that the sweeps vary.
func normal(size Size, seed uint64) Scenario {
	return Scenario{
		Size: size, Seed: seed,
		Lag: 15 * time.Second, Noise: 0.1, DeclarationError: 1.25, WaveFactor: 3, Demand: 0.52,
		Duration: 80 * time.Minute, Warmup: 10 * time.Minute,
	}
}

const (
	waveInterval  = 20 * time.Minute
	waveLength    = 5 * time.Minute
	silentFrom    = 25 * time.Minute
	silentUntil   = 35 * time.Minute
	silentDivisor = 3 // every third worker stops reporting
)

func (s Scenario) arrivalFactor(now time.Duration) float64 {
	if now%waveInterval < waveLength {
		return s.WaveFactor
	}
	return 1
}

func (s Scenario) isSilent(now time.Duration, m *machine) bool {
	return s.SilentWorkers && m.index%silentDivisor == 0 && now >= silentFrom && now < silentUntil
}
