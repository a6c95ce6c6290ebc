//go:build review

package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"
)

// maintenanceTime is how long an upkeep takes.
const maintenanceTime = 2 * time.Second

// Cloud is a stand-in for the platform's interface to the machines.
type Cloud struct {
	Address  string
	OnUpkeep func(holder, machine string, begun bool) // called after an order was executed and before it is answered; may be nil
	fleet    *Fleet
	waves    map[int][]string
}

// OpenCloud starts the interface. The waves are the machines that each asks for.
func OpenCloud(f *Fleet, waves map[int][]string) (*Cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Cloud{Address: l.Addr().String(), fleet: f, waves: waves}
	go func() { _ = http.Serve(l, c) }()
	return c, nil
}

func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /api/machines":
		c.list(w)
	case "POST /api/machine-upkeep":
		c.upkeep(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (c *Cloud) list(w http.ResponseWriter) {
	f := c.fleet
	f.mu.Lock()
	rows := []map[string]any{}
	for _, m := range f.Machines {
		row := map[string]any{
			"machine": m.Name, "pool": f.Service, "state": m.state, "zone": m.Zone, "labels": m.Labels,
			"capacity": map[string]any{"cpu": m.Cores, "memMb": m.Memory, "gpus": 0},
		}
		if m.worker != nil {
			row["id"] = m.worker.ID
		}
		rows = append(rows, row)
	}
	f.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "nextToken": nil})
}

func (c *Cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder, token := r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token")
	f := c.fleet
	f.mu.Lock()
	var m *Machine
	for _, other := range f.Machines {
		if other.Name == o.Machine {
			m = other
		}
	}
	status, reason, begins := http.StatusOK, "", false
	switch {
	case m == nil:
		status = http.StatusBadRequest
	case !slices.Contains(c.waves[o.Wave], o.Machine):
		status, reason = http.StatusConflict, "wave"
	case m.done[o.Wave] && m.state == "up": // already done
	case m.state != "up":
		status, reason = http.StatusConflict, "busy"
	default:
		begins = true
		m.done[o.Wave] = true
	}
	f.mu.Unlock()
	if begins {
		m.Down("upkeep")
		time.AfterFunc(maintenanceTime, m.Up)
	}
	f.record.Printf("upkeep of machine %s for wave %d ordered by %s with token %s: %d %s, begins: %v", o.Machine, o.Wave, holder, token, status, reason, begins)
	if c.OnUpkeep != nil && status == http.StatusOK {
		c.OnUpkeep(holder, o.Machine, begins)
	}
	w.WriteHeader(status)
	if reason != "" {
		fmt.Fprintf(w, `{"reason":%q}`, reason)
	}
}
