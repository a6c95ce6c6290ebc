//go:build review

package kit

import (
	"encoding/json"
	"net"
	"net/http"
)

// NewCloud starts a stand-in for the interface to the machines of the workers, which only
// lists them, and returns its address.
func (c *Case) NewCloud() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Exit(2, "interface to the machines: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(w http.ResponseWriter, _ *http.Request) {
		machines := []map[string]any{}
		at := map[string]int{} // index in machines by name
		c.mu.Lock()
		workers := append([]*Worker(nil), c.Workers...)
		c.mu.Unlock()
		for _, x := range workers {
			x.mu.Lock()
			m := map[string]any{"machine": x.machine(), "pool": x.o.Service, "state": "up", "zone": x.o.Zone, "labels": []string{x.o.Label, x.o.Rack},
				"capacity": map[string]any{"cpu": x.o.CPU, "memMb": x.o.Mem, "gpus": 0}, "id": x.o.ID}
			if x.isClosed {
				m["state"], m["id"] = "down", ""
			}
			x.mu.Unlock()
			if i, ok := at[x.machine()]; ok {
				machines[i] = m // a later life
				continue
			}
			at[x.machine()] = len(machines)
			machines = append(machines, m)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"machines": machines, "nextToken": ""})
	})
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String()
}
