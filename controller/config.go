package controller

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/manifest"
	"github.com/dogwoodladder/dogwoodladder/message"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/revision"
)

const (
	publishPatience = 2 * time.Second // before a record that wasn't read back is appended again
	maxPublications = 16              // that wait at one instance
)

// configuration is the writing and reading side of the configuration stream.
type configuration struct {
	pending  []*publication
	inFlight bool
	restated time.Time

	stale      bool   // a restatement was overtaken and is due again
	understood uint64 // revision of the manifest in use
}

// publication is a record that waits to be read back. A restatement has no
// command.
type publication struct {
	id      uint64
	command bool
	data    []byte
	expires time.Time
	tried   bool
	again   time.Time // not to be appended before
}

func newConfiguration() *configuration {
	return &configuration{}
}

// apply publishes a configuration. It is answered once read back.
func (c *Controller) apply(now time.Time, in Apply) {
	if c.leaving {
		c.do(Answer{ID: in.ID, Err: fault.New(fault.Leaving, "instance %s is shutting down", c.self.ID)})
		return
	}
	if c.config.understood != c.history.Current().Number {
		c.do(Answer{ID: in.ID, Err: fault.New(fault.Conflict, "revision %d in force is of a newer program", c.history.Current().Number)})
		return
	}
	m, err := manifest.Parse("manifest", in.Manifest)
	if err == nil && c.manifest != nil {
		err = m.Follow(c.manifest)
	}
	if err != nil {
		c.do(Answer{ID: in.ID, Err: fault.New(fault.Invalid, "%s", err)})
		return
	}
	if !c.history.Known() && !in.Anew {
		c.do(Answer{ID: in.ID, Err: fault.New(fault.Unavailable, "the configuration stream hasn't told yet what is in force")})
		return
	}
	if current := c.history.Current(); in.Base != current.Number {
		c.do(Answer{ID: in.ID, Err: fault.New(fault.Conflict, "replaces revision %d, in force is %d by %q", in.Base, current.Number, current.Author)})
		return
	}
	data, err := c.encodePublish(in, m)
	if err != nil {
		c.do(Answer{ID: in.ID, Err: err})
		return
	}
	if len(c.config.pending) >= maxPublications {
		c.do(Answer{ID: in.ID, Err: fault.New(fault.Unavailable, "%d publications wait for the log service", len(c.config.pending))})
		return
	}
	c.config.pending = append(c.config.pending, &publication{id: in.ID, command: true, data: data, expires: now.Add(c.timing.Command)})
	c.flush(now)
}

func (c *Controller) encodePublish(in Apply, m *manifest.Manifest) ([]byte, error) {
	text, err := m.Encode()
	if err != nil {
		return nil, err
	}
	publish := &revision.Publish{
		Base:     in.Base,
		Author:   in.Author,
		Key:      fmt.Sprintf("%s/%d/%d/%d", c.self.ID, c.self.Incarnation, in.ID, in.Base),
		Manifest: text,
	}
	if in.Anew {
		publish.Anew = true
		publish.Next = c.history.Next()
	}
	return revision.Encode(revision.Record{Publish: publish})
}

// nextAppend returns the record to append now, if there is one.
func (f *configuration) nextAppend(now time.Time) ([]byte, bool) {
	if f.inFlight || len(f.pending) == 0 || now.Before(f.pending[0].again) {
		return nil, false
	}
	f.inFlight = true
	f.pending[0].tried = true
	f.pending[0].again = now.Add(publishPatience)
	return f.pending[0].data, true
}

// answered takes note that the append call ended. Whatever its outcome, the
// record is appended again until it was read back.
func (f *configuration) answered() {
	f.inFlight = false
}

// expire gives up on publications that the log didn't take in time.
func (f *configuration) expire(c *Controller, now time.Time) {
	var kept []*publication
	for _, p := range f.pending {
		if now.Before(p.expires) {
			kept = append(kept, p)
			continue
		}
		if !p.command {
			continue
		}
		err := fault.New(fault.Unavailable, "the log service took no record in time")
		if p.tried {
			err = fault.New(fault.MayHaveRun, "the log service didn't answer; see the manifest in force before applying again")
		}
		c.do(Answer{ID: p.id, Err: err})
	}
	f.pending = kept
}

// readConfig folds a page of the configuration stream.
func (c *Controller) readConfig(now time.Time, in Read) {
	if in.Page.Oldest > c.history.Next() {
		c.history.Restart(in.Page.Oldest)
	}
	if in.Err != nil {
		return
	}
	before := c.history.Current().Number
	for _, e := range in.Page.Entries {
		c.takeConfig(e)
	}
	if c.history.Current().Number != before {
		c.configured()
	}
	c.restate(now)
	c.flush(now)
}

func (c *Controller) takeConfig(e provider.Entry) {
	outcome := c.history.Apply(e.Offset, e.Data)
	if len(c.config.pending) == 0 || !bytes.Equal(c.config.pending[0].data, e.Data) {
		return
	}
	p := c.config.pending[0]
	c.config.pending = c.config.pending[1:]
	if !p.command {
		c.config.stale = outcome.Kind == revision.Stale
		return
	}
	switch outcome.Kind {
	case revision.Published, revision.Repeated:
		c.do(Answer{ID: p.id, Revision: outcome.Winner.Number})
	default:
		c.do(Answer{ID: p.id, Err: fault.New(fault.Conflict, "%s", outcome)})
	}
}

// configured puts the newest configuration in force here.
func (c *Controller) configured() {
	current := c.history.Current()
	m, err := manifest.Decode(current.Manifest)
	if err != nil {
		c.log(Warn, "manifest not understood", "revision", current.Number, "error", err.Error())
		return
	}
	c.config.understood = current.Number
	c.jobs = m.Tasks(c.self.AvailabilityZone)
	c.manifest = m
	c.dirty = true
	c.log(Info, "configuration in force", "revision", current.Number, "author", current.Author)
}

// restate writes the configuration in force again before the log drops it.
func (c *Controller) restate(now time.Time) {
	if c.config.restated.IsZero() {
		c.config.restated = now
	}
	due := now.Sub(c.config.restated) >= c.timing.Snapshot || c.config.stale
	if c.manifest == nil || !c.proposer() || !due {
		return
	}
	c.config.restated = now
	c.config.stale = false
	r, ok := c.history.Restate()
	if !ok {
		return
	}
	data, err := revision.Encode(r)
	if err != nil {
		c.log(Warn, "configuration not stated again", "error", err.Error())
		return
	}
	c.config.pending = append(c.config.pending, &publication{data: data, expires: now.Add(c.timing.Command)})
}

// tell sends the configuration in force here to an instance that lacks it.
func (c *Controller) tell(in Asked) {
	current := c.history.Current()
	if c.manifest == nil || current.Number < in.Revision {
		return
	}
	c.do(Send{To: in.From, Message: message.Config{
		Revision: current.Number,
		Digest:   digest(current),
		Manifest: current.Manifest,
	}})
}

// offer takes a configuration from another instance, for when the log can't
// be reached from here.
func (c *Controller) offer(in Offered) {
	sum, err := strconv.ParseUint(in.Config.Digest, 16, 64)
	if err != nil {
		c.log(Warn, "configuration refused", "from", in.From, "error", err.Error())
		return
	}
	if c.history.Adopt(in.Config.Revision, sum, in.Config.Manifest) {
		c.configured()
	}
}

func digest(r revision.Revision) string {
	return strconv.FormatUint(r.Digest, 16)
}
