//go:build review

// Package site holds small stand-ins of the users' platform for the cases of the third review:
// its store, its list of machines, its workers and a client. All of them run in one process and
// listen on loopback addresses.
package site

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Store is the platform's store, with keyed topics of one partition. It forgets nothing.
type Store struct {
	Address string

	down atomic.Bool // connections are reset, and nothing is done

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed with each record
}

// SetDown takes the store away or brings it back.
func (s *Store) SetDown(down bool) { s.down.Store(down) }

// guard resets the connections of requests while the store is away, also of those that wait.
func (s *Store) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.down.Load() {
			next(w, r)
			return
		}
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

type topic struct {
	records   [][]byte
	newest    map[string]entry
	producers map[string]*producer
}

type entry struct {
	value  []byte
	offset uint64
}

// producer is what a topic knows of a fenced writer.
type producer struct {
	epoch, seq uint64
	hasSeq     bool
	answers    map[uint64][]byte // of the last five appends, by sequence number
	order      []uint64
}

// NewStore starts a store.
func NewStore() (*Store, error) {
	s := &Store{topics: make(map[string]*topic), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.guard(s.append))
	mux.HandleFunc("GET /api/log-read", s.guard(s.read))
	mux.HandleFunc("GET /api/log-newest", s.guard(s.listNewest))
	address, err := serve(mux)
	s.Address = address
	return s, err
}

// serve serves on a free port of the loopback interface and returns its address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// Put writes a record as the operator or a worker does. Without a value the key is dropped.
func (s *Store) Put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	s.add(s.topic(topicName), append(content, value...))
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]entry), producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

func (s *Store) add(t *topic, content []byte) {
	offset := uint64(len(t.records))
	t.records = append(t.records, content)
	if len(content) > 0 && int(content[0]) < len(content) {
		key, value := string(content[1:1+content[0]]), content[1+content[0]:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = entry{value, offset}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) []byte {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
	return data
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	var records [][]byte
	for rest := body; len(rest) >= 4; {
		n := int(binary.BigEndian.Uint32(rest))
		if n > len(rest)-4 {
			http.Error(w, "record", http.StatusBadRequest)
			return
		}
		records = append(records, rest[4:4+n])
		rest = rest[4+n:]
	}
	if name := q.Get("topic"); name == "keyed.op" || name == "keyed.servers" {
		http.Error(w, name, http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	end := uint64(len(t.records))
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseUint(q.Get("seq"), 10, 64)
		p := t.producers[name]
		if p == nil {
			p = &producer{}
			t.producers[name] = p
		}
		if epoch < p.epoch {
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch == p.epoch && p.hasSeq {
			if answer := p.answers[seq]; answer != nil {
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write(answer)
				return
			}
			if seq != p.seq+1 {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1})
				return
			}
		}
		if as := q.Get("asOf"); as != "" && as != strconv.FormatUint(end, 10) {
			reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
			return
		}
		if epoch > p.epoch {
			p.epoch, p.answers, p.order = epoch, nil, nil
		}
		if p.answers == nil {
			p.answers = make(map[uint64][]byte)
		}
		p.seq, p.hasSeq = seq, true
		for _, content := range records {
			s.add(t, content)
		}
		p.answers[seq] = reply(w, http.StatusOK, map[string]any{"offset": end, "end": len(t.records)})
		if p.order = append(p.order, seq); len(p.order) > 5 {
			delete(p.answers, p.order[0])
			p.order = p.order[1:]
		}
		return
	}
	for _, content := range records {
		s.add(t, content)
	}
	reply(w, http.StatusOK, map[string]any{"offset": end, "end": len(t.records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	maxKB, _ := strconv.Atoi(q.Get("maxKb"))
	if maxKB <= 0 {
		maxKB = 1024
	}
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		changed := s.changed
		if from < uint64(len(t.records)) || waitMs == 0 {
			data := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			data = binary.BigEndian.AppendUint64(data, 0)
			for _, content := range t.records[min(from, uint64(len(t.records))):] {
				if len(data) > 16 && len(data)+4+len(content) > maxKB<<10 {
					break
				}
				data = binary.BigEndian.AppendUint32(data, uint32(len(content)))
				data = append(data, content...)
			}
			s.mu.Unlock()
			_, _ = w.Write(data)
			return
		}
		s.mu.Unlock()
		select {
		case <-time.After(50 * time.Millisecond):
			if s.down.Load() {
				s.guard(nil)(w, r)
				return
			}
		case <-changed:
		case <-deadline:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

// maxPage is how many records a page of the newest ones has.
const maxPage = 500

func (s *Store) listNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for k := range t.newest {
		if strings.Compare(k, q.Get("dependsOn")) > 0 {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxPage
	items := make([]map[string]any, 0, min(len(keys), maxPage))
	for _, k := range keys[:min(len(keys), maxPage)] {
		e := t.newest[k]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(e.value), "offset": e.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": len(t.records)})
}
