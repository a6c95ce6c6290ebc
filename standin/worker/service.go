package worker

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"goji.io/pattern"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/standin/answer"
)

// MaxRequest bounds the body of a request to a replica.
const MaxRequest = 16 << 20

// serviceRequest is a parsed request to a replica.
type serviceRequest struct {
	service string
	epoch   uint64
	id      string
	key     string
	shape   answerShape
	sum     uint64 // checksum of the body
}

func (w *Worker) serveService(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.HeaderRequest)
	rw.Header().Set(wire.HeaderRequest, id)
	w.countInFlight(id, 1)
	defer w.countInFlight(id, -1)
	request, err := parseService(rw, r)
	if err != nil {
		wire.Refuse(rw, err)
		return
	}
	fails := w.Get().Fail
	t, slowdown, err := w.admit(request)
	if err != nil {
		wire.Refuse(rw, err)
		return
	}
	start := time.Now()
	time.Sleep(time.Duration(float64(request.shape.work) * slowdown))
	w.finishRequest(t, time.Since(start))
	time.Sleep(request.shape.delay)
	if fails {
		request.shape.status = http.StatusInternalServerError
	}
	writeAnswer(rw, request)
}

// countInFlight adds n to the number of requests in flight with an ID.
func (w *Worker) countInFlight(id string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight[id] += n
	if w.inFlight[id] == 0 {
		delete(w.inFlight, id)
	}
}

// serveHealth answers a probe, and states whether the request that the probe
// names is in flight here.
func (w *Worker) serveHealth(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	running := w.inFlight[r.Header.Get(wire.HeaderRequest)] > 0
	w.mu.Unlock()
	rw.Header().Set(wire.HeaderRunning, strconv.FormatBool(running))
	rw.WriteHeader(http.StatusNoContent)
}

// admit reserves a slot and returns the replica with its current slowdown. Every
// refusal happens before the request is counted in the ledger.
func (w *Worker) admit(request serviceRequest) (*task, float64, error) {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(request.epoch, now); err != nil {
		return nil, 0, err
	}
	t, err := w.freeReplica(request.service)
	if err != nil {
		return nil, 0, err
	}
	t.traffic.busySlots++
	w.busySlots++
	w.ledger.recordRequest(request.id, request.key, request.shape.nonce)
	return t, w.slowdown(t.spec.Group), nil
}

func (w *Worker) finishRequest(t *task, latency time.Duration) {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.busySlots--
	t.traffic.busySlots--
	t.traffic.recordAnswer(latency)
}

// freeReplica returns the replica of a service with the most free slots.
func (w *Worker) freeReplica(service string) (*task, error) {
	var best *task
	free := 0
	for _, t := range w.tasks {
		if !isReplicaOf(t, service) {
			continue
		}
		if n := w.maxSlots(t) - t.traffic.busySlots; best == nil || n > free {
			best, free = t, n
		}
	}
	if best == nil {
		return nil, fault.New(fault.NotFound, "no replica of service %q", service)
	}
	if free <= 0 || w.busySlots >= w.slots {
		return nil, fault.New(fault.Overloaded, "no free slot")
	}
	return best, nil
}

func (w *Worker) maxSlots(t *task) int {
	if t.spec.Slots == 0 {
		return w.slots
	}
	return t.spec.Slots
}

// slowdown returns the factor by which the running batch tasks slow down a
// service of a group. The tasks' slowdowns add up, each in proportion to the
// task's speed.
func (w *Worker) slowdown(group string) float64 {
	factor := 1.0
	for _, t := range w.tasks {
		if !t.isBatch() || t.state != provider.TaskRunning {
			continue
		}
		if pair, ok := w.interference[group][t.spec.Group]; ok {
			factor += (pair - 1) * float64(t.percent) / fullSpeed
		}
	}
	return factor
}

func isReplicaOf(t *task, service string) bool {
	name, _, _ := strings.Cut(t.spec.ID, "/")
	return !t.isBatch() && t.state == provider.TaskRunning && name == service
}

func parseService(rw http.ResponseWriter, r *http.Request) (serviceRequest, error) {
	service, err := serviceName(r)
	if err != nil {
		return serviceRequest{}, err
	}
	epoch, err := strconv.ParseUint(r.Header.Get(wire.HeaderEpoch), 10, 64)
	if err != nil {
		return serviceRequest{}, fault.New(fault.Invalid, "header %s %q", wire.HeaderEpoch, r.Header.Get(wire.HeaderEpoch))
	}
	if err := checkDeadline(r.Header.Get(wire.HeaderDeadline)); err != nil {
		return serviceRequest{}, err
	}
	s, err := parseShape(r.URL.Query())
	if err != nil {
		return serviceRequest{}, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, MaxRequest))
	if err != nil {
		return serviceRequest{}, wire.BodyError(err)
	}
	return serviceRequest{
		service: service,
		epoch:   epoch,
		id:      r.Header.Get(wire.HeaderRequest),
		key:     r.Header.Get(wire.HeaderIdempotencyKey),
		shape:   s,
		sum:     answer.Sum(body),
	}, nil
}

func serviceName(r *http.Request) (string, error) {
	rest := strings.TrimPrefix(pattern.Path(r.Context()), "/")
	escaped, _, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(escaped)
	if err != nil || service == "" {
		return "", fault.New(fault.Invalid, "no service name in path %q", r.URL.Path)
	}
	return service, nil
}

func checkDeadline(header string) error {
	if header == "" {
		return nil
	}
	remainingMs, err := strconv.ParseInt(header, 10, 64)
	if err != nil {
		return fault.New(fault.Invalid, "header %s %q", wire.HeaderDeadline, header)
	}
	if remainingMs <= 0 {
		return fault.New(fault.DeadlinePassed, "deadline passed, %d ms left", remainingMs)
	}
	return nil
}

func writeAnswer(rw http.ResponseWriter, request serviceRequest) {
	body := answer.Answer{
		Nonce:   request.shape.nonce,
		Request: request.sum,
		Size:    request.shape.size,
	}.Bytes()
	rw.Header().Set("Content-Type", "text/plain")
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(request.shape.status)
	if !request.shape.truncate {
		_, _ = rw.Write(body) // fails if the caller has disconnected
		return
	}
	_, _ = rw.Write(body[:len(body)/2])
	_ = http.NewResponseController(rw).Flush()
	panic(http.ErrAbortHandler)
}
