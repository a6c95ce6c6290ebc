package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/dogwoodladder/dogwoodladder/daemon"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/manifest"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

const (
	requestTimeout = 90 * time.Second
	maxAnswerBytes = 64 << 20
)

// target holds the flags of commands that are sent to an operator listener.
type target struct {
	Operator string `required:"" placeholder:"IP:PORT" help:"Operator listener of any instance."`
}

type checkCmd struct {
	File string `arg:"" type:"existingfile" help:"Manifest file."`
}

// Run returns every problem in the manifest with its position.
func (c *checkCmd) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	m, err := manifest.Parse(c.File, data)
	if err != nil {
		return err
	}
	fmt.Printf("%s: ok zones=%d groups=%d services=%d jobs=%d\n",
		c.File, len(m.AvailabilityZones), len(m.Groups), len(m.Services), len(m.Jobs))
	return nil
}

type applyCmd struct {
	target
	File   string        `arg:"" type:"existingfile" help:"Manifest file."`
	Base   string        `help:"Revision that the file replaces; default: the one in force."`
	Wait   time.Duration `default:"12s" help:"How long to wait until it is in force everywhere."`
	Author string        `default:"operator" env:"USER" help:"Who publishes; shown to whoever loses a conflict."`
	Anew   bool          `help:"Start over: for a configuration stream that expired and can no longer tell what is in force."`
}

// Run publishes the manifest, and prints its revision and the instances where
// it isn't in force yet.
func (c *applyCmd) Run(ctx context.Context) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := manifest.Parse(c.File, data); err != nil {
		return err
	}
	query := url.Values{"file": {c.File}, "wait": {c.Wait.String()}}
	if c.Base != "" {
		query.Set("base", c.Base)
	}
	if c.Anew {
		query.Set("anew", "")
	}
	header := http.Header{"Dogwood-Author": {c.Author}}
	var a daemon.Applied
	if err := c.post(ctx, "/apply?"+query.Encode(), header, data, &a); err != nil {
		return err
	}
	fmt.Printf("revision=%d missing=%d\n", a.Revision, len(a.Missing))
	for _, id := range a.Missing {
		fmt.Printf("missing instance=%s\n", id)
	}
	return nil
}

type statusCmd struct {
	target
}

func (c *statusCmd) Run(ctx context.Context) error {
	return c.printAnswer(ctx, "/status")
}

type dumpCmd struct {
	target
}

func (c *dumpCmd) Run(ctx context.Context) error {
	return c.printAnswer(ctx, "/dump")
}

type submitCmd struct {
	target
	ID           string        `required:"" help:"Task ID; a repeat with the same ID changes nothing."`
	Group        string        `required:"" help:"Group that the task is charged to."`
	Zone         string        `help:"Zone that has to run it; an instance of another one refuses it. Task IDs are unique within a zone."`
	Count        int           `default:"1" help:"Number of tasks; above 1 their IDs get -0, -1 and so on."`
	Processors   float64       `default:"1" help:"Cores."`
	Memory       int64         `default:"512" help:"MiB."`
	Accelerators int64         `default:"0" help:"Devices."`
	Command      string        `help:"What the workers run."`
	Duration     time.Duration `help:"Expected run time."`
	Urgent       bool          `help:"Goes before other work of its group."`
}

func (c *submitCmd) Run(ctx context.Context) error {
	body, err := json.Marshal(daemon.Submission{AvailabilityZone: c.Zone, Tasks: c.tasks()})
	if err != nil {
		return err
	}
	if err := c.post(ctx, "/jobs", nil, body, nil); err != nil {
		return err
	}
	fmt.Printf("accepted tasks=%d\n", c.Count)
	return nil
}

func (c *submitCmd) tasks() []record.Task {
	const milli = 1000
	t := record.Task{
		ID:       c.ID,
		Job:      c.ID,
		Group:    c.Group,
		Need:     resource.Vector{Processors: int64(c.Processors * milli), Memory: c.Memory, Accelerators: c.Accelerators},
		Command:  c.Command,
		Duration: c.Duration,
		Urgent:   c.Urgent,
	}
	if c.Count == 1 {
		return []record.Task{t}
	}
	var tasks []record.Task
	for i := range c.Count {
		t.ID = c.ID + "-" + strconv.Itoa(i)
		tasks = append(tasks, t)
	}
	return tasks
}

type cancelCmd struct {
	target
	Tasks []string `arg:"" optional:"" help:"Task IDs."`
	Job   []string `help:"Job IDs."`
}

func (c *cancelCmd) Run(ctx context.Context) error {
	body, err := json.Marshal(daemon.Cancellation{Tasks: c.Tasks, Jobs: c.Job})
	if err != nil {
		return err
	}
	return c.post(ctx, "/cancel", nil, body, nil)
}

func (t *target) printAnswer(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Operator+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "request to the operator listener %s", t.Operator)
	}
	defer response.Body.Close()
	_, err = io.Copy(os.Stdout, io.LimitReader(response.Body, maxAnswerBytes))
	return err
}

func (t *target) post(ctx context.Context, path string, header http.Header, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Operator+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "request to the operator listener %s", t.Operator)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return refusalError(response, answer)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(answer, into)
}

// refusalError converts an error response to an error that states whether the
// command ran and when to retry.
func refusalError(response *http.Response, body []byte) error {
	var f daemon.Failure
	if err := json.Unmarshal(body, &f); err != nil {
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	text := f.Message + " (" + f.Ran
	if after := response.Header.Get("Retry-After"); after != "" {
		text += ", retry after " + after + " s"
	}
	return fmt.Errorf("%s)", text)
}
