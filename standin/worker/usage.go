package worker

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

const (
	maxSamples   = 130  // intervals kept; a longer lag shows nothing
	maxLatencies = 1024 // of a replica in an interval
	tail         = 0.99
)

// sample is the usage of all tasks over the interval that ended at a time.
type sample struct {
	at    time.Time
	usage []provider.Usage
}

// traffic is what a service replica answered in the present interval.
type traffic struct {
	busy      int // requests in a slot now
	requests  int
	latencies []time.Duration
}

func (t *traffic) answered(latency time.Duration) {
	t.requests++
	if len(t.latencies) < maxLatencies {
		t.latencies = append(t.latencies, latency)
	}
}

func (t *traffic) p99() time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	slices.Sort(t.latencies)
	return t.latencies[int(float64(len(t.latencies)-1)*tail)]
}

func (w *Worker) sample(at time.Time) {
	s := sample{at: at}
	for _, t := range w.tasks {
		if t.state != provider.TaskRunning {
			continue
		}
		s.usage = append(s.usage, provider.Usage{
			Task:     t.spec.ID,
			Group:    t.spec.Group,
			Measured: at,
			Interval: w.interval,
			Used:     t.used(),
			Latency:  t.traffic.p99(),
			Requests: t.traffic.requests,
		})
		t.traffic.requests = 0
		t.traffic.latencies = t.traffic.latencies[:0]
	}
	w.sampled = at
	w.samples = append(w.samples, s)
	if len(w.samples) > maxSamples {
		w.samples = w.samples[1:]
	}
}

// skipSamples bounds the intervals to catch up after a long silence.
func (w *Worker) skipSamples(now time.Time) {
	if earliest := now.Add(-w.interval * maxSamples); w.sampled.Before(earliest) {
		w.sampled = earliest
	}
}

// usage returns the newest measurements made by a time.
func (w *Worker) usage(until time.Time) []provider.Usage {
	for _, s := range slices.Backward(w.samples) {
		if !s.at.After(until) {
			return s.usage
		}
	}
	return nil
}
