package admission

import "time"

// Status is the state of one service in a dump.
type Status struct {
	Service  string        `json:"service"`
	Group    string        `json:"group"`
	InFlight int           `json:"inflight"`
	Waiting  int           `json:"waiting"`
	Limit    int           `json:"limit"`  // adaptive, and at most the replicas' slots
	Served   time.Duration `json:"served"` // mean service time
}

// Dump returns the services, sorted by name.
func (g *Gate) Dump() []Status {
	all := make([]Status, 0, len(g.services))
	for _, name := range sortedKeys(g.services) {
		s := g.services[name]
		all = append(all, Status{
			Service:  name,
			Group:    s.group.name,
			InFlight: s.inFlight,
			Waiting:  len(s.queue),
			Limit:    s.maxInFlight(),
			Served:   seconds(s.serviceTime.mean),
		})
	}
	return all
}
