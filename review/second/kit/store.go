//go:build review

// Package kit holds stand-ins for the second review: the platform's store, workers and
// clients as PROTOCOL.md describes them, and the project's program as separate processes.
package kit

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings that the pages show.
const (
	RecordBytes  = 262144
	CallBytes    = 2097152
	storeAnswer  = 4 * time.Millisecond
	newestItems  = 500
	newestBytes  = 1 << 20
	keptRepeats  = 5
	defaultMaxKb = 1024
)

type storeRecord struct {
	key   string
	value []byte
}

type topic struct {
	records []storeRecord
	newest  map[string]int // offset of the newest record of each key
	epoch   uint64
	seq     uint64
	repeats []repeat
	changed chan struct{}
}

type repeat struct {
	epoch, seq uint64
	answer     string
}

// Fate tells what becomes of an append.
type Fate struct {
	Lose  bool          // no answer is sent
	Delay time.Duration // the append is carried out that much later
}

// Store is a stand-in for the platform's metadata store in the form of a log.
type Store struct {
	Address string
	// OnAppend decides the fate of an append by the system; nil leaves all alone.
	OnAppend func(topic string, keys []string) Fate
	// OnRefused is called for each append with a record or a call that is too large.
	OnRefused func(topic, reason string)

	mu     sync.Mutex
	topics map[string]*topic
	server *http.Server
}

// NewStore starts a store.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), topics: make(map[string]*topic)}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put writes a record like the operator or a worker.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([]storeRecord{{key, value}})
}

// Newest returns the newest value of a key, nil if there is none.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if i, ok := t.newest[key]; ok {
		return t.records[i].value
	}
	return nil
}

// End returns the offset of the next record of a topic.
func (s *Store) End(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).records)
}

func (t *topic) add(records []storeRecord) {
	for _, r := range records {
		t.newest[r.key] = len(t.records)
		t.records = append(t.records, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.append(w, r, name)
	case "GET /api/log-read":
		s.read(w, r, name)
	case "GET /api/log-newest":
		s.listNewest(w, r, name)
	case "POST /api/log-trim":
		fmt.Fprint(w, "{}")
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// parse parses the records of an append. It returns why they are refused, if they are.
func parse(body []byte) (records []storeRecord, refusal string) {
	if len(body) > CallBytes {
		return nil, fmt.Sprintf("call of %d bytes", len(body))
	}
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, "truncated"
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 {
			return nil, "truncated"
		}
		if size > RecordBytes {
			return nil, fmt.Sprintf("record %q of %d bytes", string(body[5:5+int(body[4])]), size)
		}
		content := body[4 : 4+size]
		k := int(content[0])
		if k+1 > size {
			return nil, "truncated"
		}
		records = append(records, storeRecord{string(content[1 : 1+k]), append([]byte(nil), content[1+k:]...)})
		body = body[4+size:]
	}
	return records, ""
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, refusal := parse(body)
	if refusal != "" {
		if s.OnRefused != nil {
			s.OnRefused(name, refusal)
		}
		w.WriteHeader(http.StatusBadRequest)
		fmt.Fprintf(w, `{"error":%q}`, refusal)
		return
	}
	var fate Fate
	if s.OnAppend != nil {
		var keys []string
		for _, rec := range records {
			keys = append(keys, rec.key)
		}
		fate = s.OnAppend(name, keys)
	}
	if fate.Delay > 0 {
		time.AfterFunc(fate.Delay, func() { s.apply(r, name, records) })
	}
	if fate.Lose || fate.Delay > 0 {
		if fate.Delay == 0 {
			s.apply(r, name, records)
		}
		select { // the connection returns nothing further
		case <-r.Context().Done():
		case <-time.After(30 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeAnswer)
	status, answer := s.apply(r, name, records)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer)
}

// apply carries an append out and returns its answer.
func (s *Store) apply(r *http.Request, name string, records []storeRecord) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	q := r.URL.Query()
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseUint(q.Get("seq"), 10, 64)
	fenced := q.Get("producer") != ""
	if fenced {
		for _, p := range t.repeats {
			if p.epoch == epoch && p.seq == seq {
				return http.StatusOK, p.answer
			}
		}
		if epoch < t.epoch {
			return http.StatusConflict, `{"reason":"fenced"}`
		}
		if epoch == t.epoch && seq != t.seq+1 {
			return http.StatusConflict, fmt.Sprintf(`{"reason":"seq","seq":%d}`, t.seq+1)
		}
	}
	if at := q.Get("asOf"); at != "" && at != strconv.Itoa(len(t.records)) {
		return http.StatusPreconditionFailed, fmt.Sprintf(`{"end":%d}`, len(t.records))
	}
	first := len(t.records)
	if len(records) > 0 {
		t.add(records)
	}
	answer := fmt.Sprintf(`{"offset":%d,"end":%d}`, first, len(t.records))
	if fenced {
		t.epoch, t.seq = epoch, seq
		t.repeats = append(t.repeats, repeat{epoch, seq, answer})
		if len(t.repeats) > keptRepeats {
			t.repeats = t.repeats[1:]
		}
	}
	return http.StatusOK, answer
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	maxKb, _ := strconv.Atoi(q.Get("maxKb"))
	if maxKb <= 0 {
		maxKb = defaultMaxKb
	}
	until := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; waiting; {
		s.mu.Lock()
		t := s.topic(name)
		n, changed := len(t.records), t.changed
		s.mu.Unlock()
		if n > from {
			break
		}
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(t.records); i++ {
		rec := t.records[i]
		size := 1 + len(rec.key) + len(rec.value)
		if i > from && len(out)+size > maxKb<<10 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(size))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	_, _ = w.Write(out)
}

func (s *Store) listNewest(w http.ResponseWriter, r *http.Request, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	after := r.URL.Query().Get("dependsOn")
	var keys []string
	for k, i := range t.newest {
		if k > after && len(t.records[i].value) > 0 {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	size, more := 0, false
	for _, k := range keys {
		i := t.newest[k]
		v := base64.StdEncoding.EncodeToString(t.records[i].value)
		if len(items) == newestItems || len(items) > 0 && size+len(v) > newestBytes {
			more = true
			break
		}
		size += len(v)
		items = append(items, map[string]any{"key": k, "value": v, "offset": i})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": more, "end": len(t.records)})
}

// Key returns the last part of a key that is divided by slashes.
func Key(key string) string { return key[strings.LastIndex(key, "/")+1:] }
