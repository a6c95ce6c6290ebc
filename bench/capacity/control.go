package capacity

import (
	"io"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/bench/batch"
)

// controlWindow is the virtual time over which a steady load is measured.
const controlWindow = 20 * time.Second

// growth is one quantity that is varied while the others stay as in a zone of
// the site.
type growth struct {
	name   string
	sizes  []float64
	resize func(s *batch.Size, x float64)
}

var growths = []growth{
	{"workers owned by an instance, with their tasks and replicas", []float64{7, 14, 28, 42}, func(s *batch.Size, x float64) {
		scaleLoad(s, x*float64(s.Instances)/float64(s.Workers))
	}},
	{"tasks running in the zone", []float64{415, 830, 1660, 2490}, func(s *batch.Size, x float64) { s.Tasks = int(x) }},
	{"starts/s in the zone", []float64{3.55, 7.1, 14.2, 21.3}, func(s *batch.Size, x float64) { s.StartsPerSecond = x }},
	{"instances of the zone, each with its workers", []float64{4, 8, 12, 16}, func(s *batch.Size, x float64) {
		scaleLoad(s, x/float64(s.Instances))
		s.Instances = int(x)
	}},
	{"tasks queued above their share", []float64{0, 2000, 4000, 8000}, func(s *batch.Size, x float64) { s.Queued = int(x) }},
	{"zones, each with 8 instances and 220 workers", []float64{1, 2, 3, 4}, func(s *batch.Size, x float64) {
		scaleLoad(s, x)
		s.AvailabilityZones = int(x)
		s.Instances *= int(x)
	}},
}

// scaleLoad multiplies the workers and their load, but not the instances.
func scaleLoad(s *batch.Size, x float64) {
	s.Workers = int(float64(s.Workers) * x)
	s.Replicas = int(float64(s.Replicas) * x)
	s.Tasks = int(float64(s.Tasks) * x)
	s.StartsPerSecond *= x
}

// control measures the controllers of one zone under its peak load.
func (b *Bench) control(w io.Writer) error {
	zone := b.size
	n := zone.AvailabilityZones
	zone.AvailabilityZones = 1
	zone.Instances /= n
	zone.Workers /= n
	zone.Replicas /= n
	zone.Tasks /= n
	zone.StartsPerSecond /= float64(n)
	var all []series
	for _, g := range growths {
		figures, err := b.measureSizes(zone, g)
		if err != nil {
			return err
		}
		all = append(all, g.series("Step, % of a core at an instance", figures, func(f batch.Figures) float64 { return 100 * f.MeanProcessor }))
		all = append(all, g.series("control bytes/s of an instance", figures, func(f batch.Figures) float64 { return f.Total }))
		all = append(all, g.series("appends/s of all instances", figures, func(f batch.Figures) float64 { return f.AppendsPerSecond }))
	}
	return seriesTable(w, "Control of one zone at its peak, by what grows", all)
}

func (g growth) series(value string, figures []batch.Figures, of func(batch.Figures) float64) series {
	s := series{grows: g.name, value: value, xs: g.sizes}
	for _, f := range figures {
		s.ys = append(s.ys, of(f))
	}
	return s
}

// measureSizes measures a steady load at each size of g, up to b.parallel of
// them concurrently.
func (b *Bench) measureSizes(zone batch.Size, g growth) ([]batch.Figures, error) {
	figures := make([]batch.Figures, len(g.sizes))
	errs := make([]error, len(g.sizes))
	slots := make(chan struct{}, max(b.parallel, 1))
	var running sync.WaitGroup
	for i, x := range g.sizes {
		size := zone
		g.resize(&size, x)
		slots <- struct{}{}
		running.Go(func() {
			figures[i], errs[i] = batch.New(batch.WithWindow(controlWindow)).Measure(size)
			<-slots
		})
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return figures, nil
}
