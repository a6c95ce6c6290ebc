package mixed

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Size is a user's set of workers.
type Size struct {
	Name     string
	Workers  int
	Rack     int // workers in a rack
	Capacity resource.Vector
}

// Mizani is 65 workers with 64 cores and 250 GB.
func Mizani() Size {
	return Size{"Mizani", 65, 11, resource.Vector{Processors: 64000, Memory: 250000}}
}

// Bureau is 50 workers with 32 cores and 125 GB.
func Bureau() Size {
	return Size{"Bureau", 50, 6, resource.Vector{Processors: 32000, Memory: 125000}}
}

// Scenario is what one run is made of.
type Scenario struct {
	Size     Size
	Seed     uint64
	Lag      time.Duration // of reports, give or take a fifth
	Noise    float64       // standard deviation of a report's logarithm
	Wrong    float64       // declared figures are off by up to this factor
	Wave     float64       // noisy arrivals in a wave, against those outside
	Demand   float64       // batch work that arrives, as a share of all cores
	Silent   bool          // a third of the workers stop reporting for a while
	Duration time.Duration
	Warmup   time.Duration // left out of the figures
}

// normal is the scenario that the sweeps vary.
func normal(size Size, seed uint64) Scenario {
	return Scenario{
		Size: size, Seed: seed,
		Lag: 15 * time.Second, Noise: 0.1, Wrong: 1.25, Wave: 3, Demand: 0.52,
		Duration: 80 * time.Minute, Warmup: 10 * time.Minute,
	}
}

const (
	waveEvery  = 20 * time.Minute
	waveLength = 5 * time.Minute
	muteFrom   = 25 * time.Minute
	muteTo     = 35 * time.Minute
	muteEach   = 3 // every third worker
)

func (s Scenario) wave(now time.Duration) float64 {
	if now%waveEvery < waveLength {
		return s.Wave
	}
	return 1
}

func (s Scenario) mute(now time.Duration, m *machine) bool {
	return s.Silent && m.index%muteEach == 0 && now >= muteFrom && now < muteTo
}
