//go:build review

package kit

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// StoreMode is what the store does with the calls of one instance.
type StoreMode int32

// Modes of the store.
const (
	StoreServes  StoreMode = iota
	StoreRefuses           // connections are reset, nothing is done
	StoreSilent            // calls get no answer, nothing is done
)

const (
	answerTime = 4 * time.Millisecond // of a call
	appendTime = 2 * time.Millisecond // of an append, one at a time for each topic
	pageItems  = 500
	recentSize = 5 // appends of a producer whose first answer is repeated
)

type storeRecord struct {
	key   string
	value []byte
}

// topic is a topic with a single partition.
type topic struct {
	records []storeRecord
	newest  map[string]int // by key, offset of its newest record
	changed chan struct{}
	turn    sync.Mutex // held during an append
	epoch   uint64
	seq     uint64
	recent  []recentAppend
}

type recentAppend struct {
	seq    uint64
	answer string
}

// Store is a stand-in for the platform's store, with keyed topics. Each instance has an address
// of its own for it, so that the store can treat instances differently.
type Store struct {
	record *Record
	mu     sync.Mutex
	topics map[string]*topic
	writer *Door // that last wrote under a condition
}

// LastWriter returns the access of the instance that last wrote under a condition.
func (s *Store) LastWriter() *Door {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer
}

// NewStore returns an empty Store.
func NewStore(r *Record) *Store {
	return &Store{record: r, topics: make(map[string]*topic)}
}

// Door is one instance's access to the store.
type Door struct {
	Address string
	mode    atomic.Int32
	changed chan struct{}
	mu      sync.Mutex
}

// SetMode changes what the store does with this instance's calls from now on, those in flight
// included.
func (d *Door) SetMode(m StoreMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode.Store(int32(m))
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Door) changes() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Mode returns the current mode.
func (d *Door) Mode() StoreMode { return StoreMode(d.mode.Load()) }

// Open opens the access of an instance.
func (s *Store) Open() (*Door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Door{Address: l.Addr().String(), changed: make(chan struct{})}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(d, w, r) }))
	}()
	return d, nil
}

// blocked handles a call while the store doesn't serve the instance. It reports whether it did.
func (d *Door) blocked(r *http.Request) bool {
	switch d.Mode() {
	case StoreRefuses:
		panic(http.ErrAbortHandler)
	case StoreSilent:
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return true
	}
	return false
}

func (s *Store) serve(d *Door, w http.ResponseWriter, r *http.Request) {
	if d.blocked(r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	if d.blocked(r) {
		return
	}
	q := r.URL.Query()
	name := q.Get("topic")
	if !strings.HasPrefix(name, "keyed.") || q.Get("part") != "0" {
		http.Error(w, "not a keyed topic", http.StatusBadRequest)
		return
	}
	var status int
	var answer []byte
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		if name == "keyed.op" || name == "keyed.servers" {
			http.Error(w, "read only", http.StatusForbidden)
			return
		}
		status, answer = s.append(d, name, r, body)
	case "GET /api/log-read":
		status, answer = s.read(d, name, r)
	case "GET /api/log-newest":
		status, answer = s.listNewest(name, q.Get("dependsOn"))
	default:
		http.NotFound(w, r)
		return
	}
	if d.blocked(r) {
		return // the answer is lost
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put writes a record like an operator or a worker. A nil value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([]storeRecord{{key, value}})
}

// PutJSON writes a value as JSON.
func (s *Store) PutJSON(name, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Put(name, key, data)
}

func (t *topic) add(records []storeRecord) {
	for _, r := range records {
		t.newest[r.key] = len(t.records)
		t.records = append(t.records, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func parseRecords(body []byte) ([]storeRecord, bool) {
	var records []storeRecord
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 || size > 262144 {
			return nil, false
		}
		content := body[4 : 4+size]
		n := int(content[0])
		if 1+n > size {
			return nil, false
		}
		records = append(records, storeRecord{string(content[1 : 1+n]), content[1+n:]})
		body = body[4+size:]
	}
	return records, true
}

func (s *Store) append(d *Door, name string, r *http.Request, body []byte) (int, []byte) {
	records, ok := parseRecords(body)
	if !ok || len(body) > 2<<20 {
		return http.StatusBadRequest, []byte("{}")
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	t.turn.Lock()
	defer t.turn.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseUint(q.Get("seq"), 10, 64)
	hasProducer := q.Get("producer") != ""
	if hasProducer && epoch == t.epoch {
		for _, a := range t.recent {
			if a.seq == seq {
				return http.StatusOK, []byte(a.answer)
			}
		}
	}
	if at := q.Get("asOf"); at != "" && at != strconv.Itoa(len(t.records)) {
		return http.StatusPreconditionFailed, fmt.Appendf(nil, `{"end":%d}`, len(t.records))
	}
	if hasProducer {
		switch {
		case epoch < t.epoch:
			return http.StatusConflict, []byte(`{"reason":"fenced"}`)
		case epoch == t.epoch && seq != t.seq+1:
			return http.StatusConflict, fmt.Appendf(nil, `{"reason":"seq","seq":%d}`, t.seq+1)
		case epoch > t.epoch:
			t.recent = nil
		}
		t.epoch, t.seq = epoch, seq
		s.writer = d
	}
	offset := len(t.records)
	t.add(records)
	answer := fmt.Sprintf(`{"offset":%d,"end":%d}`, offset, len(t.records))
	if hasProducer {
		t.recent = append(t.recent, recentAppend{seq, answer})
		if len(t.recent) > recentSize {
			t.recent = t.recent[1:]
		}
	}
	return http.StatusOK, []byte(answer)
}

func (s *Store) read(d *Door, name string, r *http.Request) (int, []byte) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	maxBytes := 1024 << 10
	if kb, err := strconv.Atoi(q.Get("maxKb")); err == nil {
		maxBytes = kb << 10
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		t := s.topic(name)
		if len(t.records) > from || ctx.Err() != nil {
			defer s.mu.Unlock()
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range t.records[min(from, len(t.records)):] {
				if len(out) > 16 && len(out)+len(rec.key)+len(rec.value) > maxBytes {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(out, rec.key...)
				out = append(out, rec.value...)
			}
			return http.StatusOK, out
		}
		changed := t.changed
		s.mu.Unlock()
		mode := d.changes()
		select {
		case <-changed:
		case <-mode:
			if d.Mode() != StoreServes {
				return 0, nil
			}
		case <-ctx.Done():
		}
	}
}

func (s *Store) listNewest(name, after string) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	var keys []string
	for k, i := range t.newest {
		if k > after && len(t.records[i].value) > 0 {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	more := false
	for _, k := range keys {
		if len(items) == pageItems {
			more = true
			break
		}
		i := t.newest[k]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(t.records[i].value), "offset": i})
	}
	data, _ := json.Marshal(map[string]any{"items": items, "hasMore": more, "end": len(t.records)})
	return http.StatusOK, data
}
