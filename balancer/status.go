package balancer

import "time"

// Status is the state of one replica in a dump.
type Status struct {
	Worker   string        `json:"worker"`
	State    string        `json:"state"`
	InFlight int           `json:"inflight"`
	Slots    int           `json:"slots"`
	Latency  time.Duration `json:"latency"`
	Failures float64       `json:"failures"` // moving average of the failure rate
}

// Dump returns the replicas in the table, sorted by worker.
func (b *Balancer) Dump() []Status {
	all := make([]Status, 0, len(b.order))
	for _, r := range b.order {
		all = append(all, Status{
			Worker:   r.backend.Worker,
			State:    r.state.String(),
			InFlight: r.inFlight,
			Slots:    r.backend.Slots,
			Latency:  time.Duration(r.latency * float64(time.Second)),
			Failures: r.failureRate,
		})
	}
	return all
}
