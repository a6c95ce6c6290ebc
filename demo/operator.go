package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"time"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/daemon"
	"github.com/dogwoodladder/dogwoodladder/record"
)

const (
	operatorTimeout = 10 * time.Second
	maxAnswerBytes  = 4 << 20
	applyWait       = 5 * time.Second
)

var inFlightPattern = regexp.MustCompile(`in_flight=([0-9]+)`)

// operator sends an operator's commands to one instance.
type operator struct {
	address string
	client  *http.Client
}

// refusal is the error response of an instance to a command.
type refusal struct {
	daemon.Failure
}

// status holds the fields of an instance's controller.Status that the demo uses.
type status struct {
	Ready    bool                     `json:"ready"`
	Revision uint64                   `json:"revision"`
	Groups   []controller.GroupStatus `json:"groups"`
	Workers  []struct {
		Owner string `json:"owner"`
	} `json:"workers"`
	Members []struct {
		State string `json:"state"`
	} `json:"members"`
}

// live returns the number of instances that the answering instance sees live.
func (s status) live() int {
	n := 0
	for _, m := range s.Members {
		if m.State == "live" {
			n++
		}
	}
	return n
}

func newOperator(address string) *operator {
	return &operator{
		address: address,
		client:  &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{}},
	}
}

// Error returns the message, and whether the command ran.
func (r refusal) Error() string {
	return r.Message + " (" + r.Ran + ")"
}

// apply publishes a manifest that replaces the revision base, or the one in force
// if base is empty.
func (o *operator) apply(ctx context.Context, author, base string, manifest []byte) (daemon.Applied, error) {
	query := url.Values{"file": {author + ".yaml"}, "wait": {applyWait.String()}}
	if base != "" {
		query.Set("base", base)
	}
	var applied daemon.Applied
	header := http.Header{"Dogwood-Author": {author}}
	err := o.do(ctx, http.MethodPost, "/apply?"+query.Encode(), header, manifest, &applied)
	return applied, err
}

func (o *operator) submit(ctx context.Context, tasks []record.Task) error {
	body, err := json.Marshal(daemon.Submission{Tasks: tasks})
	if err != nil {
		return err
	}
	return o.do(ctx, http.MethodPost, "/jobs", nil, body, nil)
}

func (o *operator) status(ctx context.Context) (status, error) {
	var s status
	err := o.do(ctx, http.MethodGet, "/status", nil, nil, &s)
	return s, err
}

// inFlight returns the number of requests in flight at the instance, read from
// its dump.
func (o *operator) inFlight(ctx context.Context) int {
	text, err := o.dump(ctx)
	if err != nil {
		return 0
	}
	match := inFlightPattern.FindSubmatch(text)
	if match == nil {
		return 0
	}
	n, _ := strconv.Atoi(string(match[1])) // the pattern matches digits only
	return n
}

func (o *operator) dump(ctx context.Context) ([]byte, error) {
	var text []byte
	err := o.do(ctx, http.MethodGet, "/dump", nil, nil, &text)
	return text, err
}

func (o *operator) do(ctx context.Context, method, path string, header http.Header, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := o.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	return decode(response.StatusCode, answer, into)
}

func decode(status int, answer []byte, into any) error {
	if status != http.StatusOK {
		var r refusal
		if err := json.Unmarshal(answer, &r.Failure); err != nil {
			return err
		}
		return r
	}
	switch into := into.(type) {
	case nil:
		return nil
	case *[]byte:
		*into = answer
		return nil
	default:
		return json.Unmarshal(answer, into)
	}
}
