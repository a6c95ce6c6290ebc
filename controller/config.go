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
	republishAfter  = 2 * time.Second // before a record that wasn't read back is appended again
	maxPublications = 16              // waiting at one instance
)

// configPublisher appends records to the configuration stream and tracks those
// that aren't read back yet.
type configPublisher struct {
	pending         []*publication
	inFlight        bool
	lastRestatement time.Time

	restateDue      bool   // a newer record made the last restatement stale
	decodedRevision uint64 // revision of the manifest in use
}

// publication is a record that waits to be read back. A restatement answers no
// command.
type publication struct {
	id        uint64
	isCommand bool
	data      []byte
	expiresAt time.Time
	attempted bool      // appended at least once
	retryAt   time.Time // earliest time of the next append
}

func newConfigPublisher() *configPublisher {
	return &configPublisher{}
}

// handleApply publishes a configuration. The command is answered once the
// record is read back.
func (c *Controller) handleApply(now time.Time, in Apply) {
	if c.leaving {
		c.emit(Answer{ID: in.ID, Err: fault.New(fault.Leaving, "instance %s is shutting down", c.self.ID)})
		return
	}
	if c.config.decodedRevision != c.revisions.Current().Number {
		c.emit(Answer{ID: in.ID, Err: fault.New(fault.Conflict, "revision %d in force was published by a newer program and can't be decoded by this one", c.revisions.Current().Number)})
		return
	}
	m, err := manifest.Parse("manifest", in.Manifest)
	if err == nil && c.manifest != nil {
		err = m.AssignZones(c.manifest)
	}
	if err != nil {
		c.emit(Answer{ID: in.ID, Err: fault.New(fault.Invalid, "%s", err)})
		return
	}
	if !c.revisions.Known() && !in.Anew {
		c.emit(Answer{ID: in.ID, Err: fault.New(fault.Unavailable, "the configuration in force isn't known until the configuration stream is read")})
		return
	}
	if current := c.revisions.Current(); in.Base != current.Number {
		c.emit(Answer{ID: in.ID, Err: fault.New(fault.Conflict, "replaces revision %d, in force is %d by %q", in.Base, current.Number, current.Author)})
		return
	}
	data, err := c.encodePublish(in, m)
	if err != nil {
		c.emit(Answer{ID: in.ID, Err: err})
		return
	}
	if len(c.config.pending) >= maxPublications {
		c.emit(Answer{ID: in.ID, Err: fault.New(fault.Unavailable, "too many publications: %d are waiting for the log service", len(c.config.pending))})
		return
	}
	c.config.pending = append(c.config.pending, &publication{id: in.ID, isCommand: true, data: data, expiresAt: now.Add(c.timing.CommandTimeout)})
	c.flushAppends(now)
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
		publish.Next = c.revisions.Next()
	}
	return revision.Encode(revision.Record{Publish: publish})
}

// nextAppend returns the record to append now, if any.
func (p *configPublisher) nextAppend(now time.Time) ([]byte, bool) {
	if p.inFlight || len(p.pending) == 0 || now.Before(p.pending[0].retryAt) {
		return nil, false
	}
	p.inFlight = true
	p.pending[0].attempted = true
	p.pending[0].retryAt = now.Add(republishAfter)
	return p.pending[0].data, true
}

// handleAppended ends the append in flight. Whatever the result, the record is
// appended again until it is read back.
func (p *configPublisher) handleAppended() {
	p.inFlight = false
}

// expirePublications drops the publications that the log didn't accept in time
// and fails their commands.
func (p *configPublisher) expirePublications(c *Controller, now time.Time) {
	var kept []*publication
	for _, pub := range p.pending {
		if now.Before(pub.expiresAt) {
			kept = append(kept, pub)
			continue
		}
		if !pub.isCommand {
			continue
		}
		err := fault.New(fault.Unavailable, "the log service accepted no record in time")
		if pub.attempted {
			err = fault.New(fault.MayHaveRun, "the log service didn't answer; see the manifest in force before applying again")
		}
		c.emit(Answer{ID: pub.id, Err: err})
	}
	p.pending = kept
}

// handleConfigRead applies a page of the configuration stream.
func (c *Controller) handleConfigRead(now time.Time, in Read) {
	if in.Page.Oldest > c.revisions.Next() {
		c.revisions.RestartAt(in.Page.Oldest)
	}
	if in.Err != nil {
		return
	}
	before := c.revisions.Current().Number
	for _, e := range in.Page.Entries {
		c.applyConfigEntry(e)
	}
	if c.revisions.Current().Number != before {
		c.activateConfig()
	}
	c.restateConfig(now)
	c.flushAppends(now)
}

func (c *Controller) applyConfigEntry(e provider.Entry) {
	outcome := c.revisions.Apply(e.Offset, e.Data)
	if len(c.config.pending) == 0 || !bytes.Equal(c.config.pending[0].data, e.Data) {
		return
	}
	pub := c.config.pending[0]
	c.config.pending = c.config.pending[1:]
	if !pub.isCommand {
		c.config.restateDue = outcome.Kind == revision.Stale
		return
	}
	switch outcome.Kind {
	case revision.Published, revision.Repeated:
		c.emit(Answer{ID: pub.id, Revision: outcome.InForce.Number})
	default:
		c.emit(Answer{ID: pub.id, Err: fault.New(fault.Conflict, "%s", outcome)})
	}
}

// activateConfig puts the newest configuration in force on this instance.
func (c *Controller) activateConfig() {
	current := c.revisions.Current()
	m, err := manifest.Decode(current.Manifest)
	if err != nil {
		c.logEvent(Warn, "manifest could not be decoded", "revision", current.Number, "error", err.Error())
		return
	}
	c.config.decodedRevision = current.Number
	c.declaredTasks = m.Tasks(c.self.AvailabilityZone)
	c.manifest = m
	c.routesDirty = true
	c.logEvent(Info, "configuration in force", "revision", current.Number, "author", current.Author)
}

// restateConfig appends the configuration in force again before the log's
// retention drops it.
func (c *Controller) restateConfig(now time.Time) {
	if c.config.lastRestatement.IsZero() {
		c.config.lastRestatement = now
	}
	due := now.Sub(c.config.lastRestatement) >= c.timing.SnapshotInterval || c.config.restateDue
	if c.manifest == nil || !c.isProposer() || !due {
		return
	}
	c.config.lastRestatement = now
	c.config.restateDue = false
	r, ok := c.revisions.Restate()
	if !ok {
		return
	}
	data, err := revision.Encode(r)
	if err != nil {
		c.logEvent(Warn, "configuration could not be restated", "error", err.Error())
		return
	}
	c.config.pending = append(c.config.pending, &publication{data: data, expiresAt: now.Add(c.timing.CommandTimeout)})
}

// handleConfigRequest sends the configuration in force here to an instance
// that lacks it.
func (c *Controller) handleConfigRequest(in Asked) {
	current := c.revisions.Current()
	if c.manifest == nil || current.Number < in.Revision {
		return
	}
	c.emit(Send{To: in.From, Message: message.Config{
		Revision: current.Number,
		Digest:   formatDigest(current),
		Manifest: current.Manifest,
	}})
}

// handleConfigOffer adopts a configuration sent by another instance, for when
// this one can't reach the log.
func (c *Controller) handleConfigOffer(in Offered) {
	sum, err := strconv.ParseUint(in.Config.Digest, 16, 64)
	if err != nil {
		c.logEvent(Warn, "configuration offer with an invalid digest", "from", in.From, "error", err.Error())
		return
	}
	if c.revisions.Adopt(in.Config.Revision, sum, in.Config.Manifest) {
		c.activateConfig()
	}
}

func formatDigest(r revision.Revision) string {
	return strconv.FormatUint(r.Digest, 16)
}
