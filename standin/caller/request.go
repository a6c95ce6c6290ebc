package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/standin/answer"
)

// request is one request over all of its tries.
type request struct {
	id         string
	due        time.Time
	method     string
	key        string
	body       []byte
	firstEntry int // index of the entry instance for the first try
}

// result is the outcome of one try.
type result struct {
	outcome    Outcome
	kind       string // name of the fault or the status, if the answer gave one
	retryAfter time.Duration
}

// retryable reports whether a request with this result may be sent again. A
// refusal without a Retry-After is final.
func (r result) retryable(idempotent bool) bool {
	switch r.outcome {
	case Unsent:
		return true
	case Refused:
		return r.retryAfter > 0
	case MayHaveRun, Truncated:
		return idempotent
	default:
		return false
	}
}

func (r request) idempotent() bool {
	return r.method == http.MethodGet || r.key != ""
}

func (c *Caller) newRequest(n int, due time.Time, random *rand.Rand) request {
	r := request{
		id:         fmt.Sprintf("c%d-%d", c.seed, n),
		due:        due,
		method:     http.MethodPost,
		firstEntry: random.IntN(len(c.entries)),
	}
	write := random.Float64() < c.writeFraction
	keyed := random.IntN(2) == 0
	switch {
	case write:
	case keyed:
		r.key = r.id
	default:
		r.method = http.MethodGet
		return r
	}
	r.body = bytes.Repeat([]byte(r.id), c.bodySize/len(r.id)+1)[:c.bodySize]
	return r
}

// sendWithRetries sends a request until its outcome is final or its tries are used up.
func (c *Caller) sendWithRetries(r request) {
	var last result
	for try := range c.maxTries {
		nonce := r.id + "-" + strconv.Itoa(try)
		last = c.send(r, nonce, c.entries[(r.firstEntry+try)%len(c.entries)])
		c.recorder.recordTry(Try{Request: r.id, Nonce: nonce, Idempotent: r.idempotent(), Outcome: last.outcome}, last.kind)
		if !last.retryable(r.idempotent()) || try == c.maxTries-1 {
			break
		}
		time.Sleep(min(max(last.retryAfter, defaultRetryAfter), maxRetryAfter))
	}
	c.recorder.recordEnd(last.outcome, time.Since(r.due))
}

func (c *Caller) send(r request, nonce, entry string) result {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var connections atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connections.Add(1) },
	})
	response, err := c.client.Do(c.httpRequest(ctx, r, nonce, entry))
	if err != nil && connections.Load() == 0 {
		return result{outcome: Unsent}
	}
	if err != nil {
		return result{outcome: MayHaveRun}
	}
	defer response.Body.Close()
	expected := answer.Answer{Nonce: nonce, Request: answer.Sum(r.body), Size: c.answerSize}
	got := classifyAnswer(response, expected)
	// The transport repeats an idempotent request by itself when a reused
	// connection breaks. A refusal of the second send says nothing about the
	// first one, so the request counts as one that may have run.
	if got.outcome == Refused && connections.Load() > 1 {
		got.outcome = MayHaveRun
	}
	return got
}

func (c *Caller) httpRequest(ctx context.Context, r request, nonce, entry string) *http.Request {
	query := url.Values{"nonce": {nonce}, "work": {c.work.String()}, "size": {strconv.Itoa(c.answerSize)}}
	target := url.URL{Scheme: "http", Host: entry, Path: wire.PathServices + c.service + "/run", RawQuery: query.Encode()}
	request := &http.Request{
		Method:        r.method,
		URL:           &target,
		Header:        make(http.Header),
		Body:          io.NopCloser(bytes.NewReader(r.body)),
		ContentLength: int64(len(r.body)),
	}
	if len(r.body) == 0 {
		request.Body = http.NoBody
	}
	if r.key != "" {
		request.Header.Set(wire.HeaderIdempotencyKey, r.key)
	}
	return request.WithContext(ctx)
}

// classifyAnswer determines the outcome of an answer. An answer without the fault
// header comes from the service itself.
func classifyAnswer(response *http.Response, expected answer.Answer) result {
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(len(expected.Bytes()))+wire.MaxRefusalBytes))
	if name := response.Header.Get(wire.HeaderFault); name != "" {
		return refusalResult(name, response.Header)
	}
	check := expected.Check(body)
	switch {
	case err != nil:
		return result{outcome: Truncated}
	case response.StatusCode/100 != 2:
		return errorStatusResult(response.StatusCode, check)
	case check == nil:
		return result{outcome: Answered}
	case fault.Is(check, fault.Truncated):
		return result{outcome: Truncated}
	default:
		return result{outcome: Foreign}
	}
}

// errorStatusResult returns the result for an error status of the service itself, or, if
// the body isn't the expected answer, of an unknown intermediary.
func errorStatusResult(status int, check error) result {
	if check == nil {
		return result{outcome: Failed, kind: strconv.Itoa(status)}
	}
	return result{outcome: MayHaveRun, kind: strconv.Itoa(status)}
}

func refusalResult(name string, header http.Header) result {
	kind, ok := wire.ParseKind(name)
	if !ok {
		return result{outcome: MayHaveRun, kind: "unknown"}
	}
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil {
		seconds = 0
	}
	return result{outcome: outcomeOf(kind), kind: name, retryAfter: time.Duration(seconds) * time.Second}
}
