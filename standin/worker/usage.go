package worker

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

const (
	maxSamples   = 130  // intervals kept; with a longer lag reports show no usage
	maxLatencies = 1024 // of one replica in one interval
	tailQuantile = 0.99
)

// sample is the usage of all tasks over the interval that ended at a time.
type sample struct {
	at    time.Time
	usage []provider.Usage
}

// traffic holds the requests that a service replica is answering, and those
// answered in the current interval.
type traffic struct {
	busySlots int // requests in a slot now
	requests  int
	latencies []time.Duration
}

func (t *traffic) recordAnswer(latency time.Duration) {
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
	return t.latencies[int(float64(len(t.latencies)-1)*tailQuantile)]
}

func (w *Worker) takeSample(at time.Time) {
	s := sample{at: at}
	for _, t := range w.tasks {
		if t.state != provider.TaskRunning {
			continue
		}
		s.usage = append(s.usage, provider.Usage{
			Task:       t.spec.ID,
			Group:      t.spec.Group,
			MeasuredAt: at,
			Interval:   w.interval,
			Used:       t.used(),
			Latency:    t.traffic.p99(),
			Requests:   t.traffic.requests,
		})
		t.traffic.requests = 0
		t.traffic.latencies = t.traffic.latencies[:0]
	}
	w.lastSampleAt = at
	w.samples = append(w.samples, s)
	if len(w.samples) > maxSamples {
		w.samples = w.samples[1:]
	}
}

// skipOldSamples bounds the number of samples to make up for when the worker's state
// wasn't advanced for a long time.
func (w *Worker) skipOldSamples(now time.Time) {
	if earliest := now.Add(-w.interval * maxSamples); w.lastSampleAt.Before(earliest) {
		w.lastSampleAt = earliest
	}
}

// usageAt returns the newest measurements that were made at or before a time.
func (w *Worker) usageAt(until time.Time) []provider.Usage {
	for _, s := range slices.Backward(w.samples) {
		if !s.at.After(until) {
			return s.usage
		}
	}
	return nil
}
