//go:build review

package kit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host and Prefix of the only queue.
const (
	Host   = "jobs.example"
	Prefix = "/run/"
)

// Step is a step of a job as a client sends it.
type Step struct {
	Count       int    `json:"count"`
	Processors  int64  `json:"cpu"`
	Memory      int64  `json:"memMb"`
	Estimate    int64  `json:"estimateMs"`
	DependsOn   []int  `json:"dependsOn,omitempty"`
	Constraints string `json:"constraints,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Checkpoints bool   `json:"checkpointing,omitempty"`
}

// Clients hands jobs in and asks for their states, as the clients of a deployment do.
type Clients struct {
	site   *Site
	record *Record
	client *http.Client

	mu       sync.Mutex
	accepted map[string]bool
	states   map[string]string
}

// NewClients returns Clients of a site.
func NewClients(s *Site) *Clients {
	return &Clients{
		site: s, record: s.Record, accepted: make(map[string]bool), states: make(map[string]string),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// PutConfig writes a configuration with one queue.
func PutConfig(s *Store, version int, service string, attempts int) {
	s.PutJSON("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "runs", "host": Host, "pathPrefix": Prefix, "kind": "unsafe", "timeoutMs": 3000, "sloMs": 1000,
			"priority": 0, "service": service, "maxAttempts": attempts, "stretch": 2.0}},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// NewID returns the ID of a new job.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// pick returns an instance in rotation.
func (c *Clients) pick() *Instance {
	var ready []*Instance
	for _, in := range c.site.Instances {
		if in.Ready() {
			ready = append(ready, in)
		}
	}
	if len(ready) == 0 {
		ready = c.site.Instances
	}
	return ready[rand.IntN(len(ready))]
}

func (c *Clients) call(method, path string, body []byte) (status int, answer []byte, retryAfter time.Duration) {
	in := c.pick()
	r, err := http.NewRequest(method, "http://"+in.Front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = Host
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(r)
	if err != nil {
		c.record.Printf("client: %s %s at %s: no answer", method, path, in.Name)
		return 0, nil, 0
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, 0
	}
	after, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	c.record.Printf("client: %s %s at %s: %d %s", method, path, in.Name, response.StatusCode, bytes.TrimSpace(answer))
	return response.StatusCode, answer, time.Duration(after) * time.Second
}

// Submit hands a job in, with up to four retries. It reports whether the job was accepted.
func (c *Clients) Submit(id string, steps []Step) bool {
	body, _ := json.Marshal(map[string]any{"spec": "job " + id, "phases": steps})
	for range 5 {
		status, _, after := c.call(http.MethodPost, Prefix+id, body)
		switch {
		case status >= 200 && status < 300:
			c.mu.Lock()
			c.accepted[id] = true
			c.mu.Unlock()
			return true
		case status == http.StatusNotFound || status == http.StatusBadRequest:
			return false
		}
		time.Sleep(max(after, 300*time.Millisecond))
	}
	return false
}

// State asks for a job's state. It is empty without a good answer.
func (c *Clients) State(id string) (state string, status int) {
	status, answer, _ := c.call(http.MethodGet, Prefix+id, nil)
	if status != http.StatusOK {
		return "", status
	}
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(answer, &body)
	c.mu.Lock()
	c.states[id] = body.State
	c.mu.Unlock()
	return body.State, status
}

// Accepted returns the number of accepted jobs and their last known states.
func (c *Clients) Accepted() (n int, states map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	states = make(map[string]int)
	for id := range c.accepted {
		states[c.states[id]]++
	}
	return len(c.accepted), states
}
