package daemon

import (
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"time"

	"goji.io"
	"goji.io/pat"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/manifest"
	"github.com/dogwoodladder/dogwoodladder/record"
)

// Bounds on operators' requests.
const (
	maxManifestBytes = 1 << 20
	maxCommandBytes  = 4 << 20
	maxWait          = time.Minute
	waitPollInterval = 200 * time.Millisecond
)

// Submission is the body of POST /jobs.
type Submission struct {
	AvailabilityZone string        `json:"zone,omitempty"` // if set, instances of other zones refuse it; task IDs are unique within a zone
	Tasks            []record.Task `json:"tasks"`
}

// Cancellation is the body of POST /cancel.
type Cancellation struct {
	Tasks []string `json:"tasks,omitempty"`
	Jobs  []string `json:"jobs,omitempty"`
}

// Applied is the answer to POST /apply.
type Applied struct {
	Revision uint64   `json:"revision"`
	Missing  []string `json:"missing,omitempty"` // instances not known to have the revision in force
}

// Failure is the body of every error response.
type Failure struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
}

func (d *Daemon) operatorHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/apply"), d.serveApply)
	mux.HandleFunc(pat.Post("/jobs"), d.serveSubmit)
	mux.HandleFunc(pat.Post("/cancel"), d.serveCancel)
	mux.HandleFunc(pat.Get("/status"), d.serveStatus)
	mux.HandleFunc(pat.Get("/manifest"), d.serveManifest)
	mux.HandleFunc(pat.Get("/dump"), d.serveDump)
	mux.HandleFunc(pat.Get("/healthz"), d.serveHealth)
	mux.Handle(pat.Get("/debug/vars"), expvar.Handler())
	return mux
}

func (d *Daemon) serveApply(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(r, maxManifestBytes)
	if err != nil {
		refuse(w, err)
		return
	}
	if _, err := manifest.Parse(manifestName(r), body); err != nil {
		refuse(w, fault.New(fault.Invalid, "%s", err))
		return
	}
	base, err := d.baseRevision(r)
	if err != nil {
		refuse(w, err)
		return
	}
	a, err := d.command(func(id uint64) controller.Input {
		return controller.Apply{ID: id, Base: base, Author: r.Header.Get("Dogwood-Author"), Manifest: body, Anew: r.URL.Query().Has("anew")}
	})
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, Applied{Revision: a.Revision, Missing: d.awaitMissing(r, a.Revision)})
}

// baseRevision returns the revision that an apply request replaces: the one
// that its query names, or by default the one in force on this instance.
func (d *Daemon) baseRevision(r *http.Request) (uint64, error) {
	text := r.URL.Query().Get("base")
	if text == "" {
		var base uint64
		d.inspect(func(c *controller.Controller) { base = c.Revision() })
		return base, nil
	}
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.New(fault.Invalid, "base %q isn't a revision number", text)
	}
	return base, nil
}

// awaitMissing waits until a revision is in force on all instances, for at
// most the wait time in the request's query, and returns the instances that
// still lack it.
func (d *Daemon) awaitMissing(r *http.Request, revision uint64) []string {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = 0
	}
	end := time.Now().Add(min(wait, maxWait))
	for {
		var missing []string
		d.inspect(func(c *controller.Controller) { missing = c.InstancesWithout(revision) })
		if len(missing) == 0 || !time.Now().Before(end) {
			return missing
		}
		select {
		case <-time.After(waitPollInterval):
		case <-r.Context().Done():
			return missing
		}
	}
}

func (d *Daemon) serveSubmit(w http.ResponseWriter, r *http.Request) {
	var s Submission
	if err := decodeBody(r, &s); err != nil {
		refuse(w, err)
		return
	}
	if s.AvailabilityZone != "" && s.AvailabilityZone != d.self.AvailabilityZone {
		refuse(w, fault.New(fault.Invalid, "this instance is in zone %q, the submission is for zone %q", d.self.AvailabilityZone, s.AvailabilityZone))
		return
	}
	_, err := d.command(func(id uint64) controller.Input {
		return controller.Submit{ID: id, Tasks: s.Tasks}
	})
	replyOrRefuse(w, err)
}

func (d *Daemon) serveCancel(w http.ResponseWriter, r *http.Request) {
	var s Cancellation
	if err := decodeBody(r, &s); err != nil {
		refuse(w, err)
		return
	}
	_, err := d.command(func(id uint64) controller.Input {
		return controller.Cancel{ID: id, Tasks: s.Tasks, Jobs: s.Jobs}
	})
	replyOrRefuse(w, err)
}

// command passes a command to the controller and waits for its answer. The
// controller answers every command within commandTimeout.
func (d *Daemon) command(newInput func(id uint64) controller.Input) (controller.Answer, error) {
	id := d.lastID.Add(1)
	answerCh := newAnswerChannel()
	d.answers.Store(id, answerCh)
	d.enqueue(newInput(id))
	select {
	case a := <-answerCh:
		return a, a.Err
	case <-d.tomb.Dying():
		return controller.Answer{}, fault.New(fault.MayHaveRun, "the instance stopped before the command was answered")
	}
}

func newAnswerChannel() chan controller.Answer {
	return make(chan controller.Answer, 1)
}

func (d *Daemon) serveStatus(w http.ResponseWriter, r *http.Request) {
	var s controller.Status
	d.inspect(func(c *controller.Controller) { s = c.Status(time.Now()) })
	reply(w, s)
}

func (d *Daemon) serveManifest(w http.ResponseWriter, r *http.Request) {
	var text []byte
	var revision uint64
	d.inspect(func(c *controller.Controller) { text, revision = c.Manifest() })
	w.Header().Set("Dogwood-Revision", strconv.FormatUint(revision, 10))
	w.Header().Set("Content-Type", "application/yaml")
	w.Write(text)
}

func (d *Daemon) serveDump(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	io.WriteString(w, d.Dump())
}

func (d *Daemon) serveHealth(w http.ResponseWriter, r *http.Request) {
	io.WriteString(w, "ok\n")
}

// Dump returns the whole state of the controller and the gateway as readable
// text.
func (d *Daemon) Dump() string {
	var text string
	d.inspect(func(c *controller.Controller) { text = c.Dump(time.Now()) })
	return text + "\n# traffic\n" + d.gateway.Dump()
}

func manifestName(r *http.Request) string {
	if name := r.URL.Query().Get("file"); name != "" {
		return name
	}
	return "manifest"
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if fault.Is(err, fault.Overloaded) {
		return nil, err
	}
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "read body")
	}
	if int64(len(body)) > limit {
		return nil, fault.New(fault.TooLarge, "body above %d bytes", limit)
	}
	return body, nil
}

func decodeBody(r *http.Request, into any) error {
	body, err := readBody(r, maxCommandBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fault.Wrap(fault.Invalid, err, "decode body")
	}
	return nil
}

func replyOrRefuse(w http.ResponseWriter, err error) {
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, struct{}{})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}
