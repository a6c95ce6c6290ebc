package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// saver holds what is to be written and what is being written. One write is
// under way at a time; it is repeated as it was until it is answered, so that
// a lost answer changes nothing.
type saver struct {
	jobs    map[*jobState]struct{}
	hosts   map[string]*provider.Host
	waiting map[*worker]struct{} // with ends to acknowledge after the next write
	batch   *batch
	next    uint64        // sequence
	begun   time.Duration // when the last write was first sent
	contact time.Duration // when the last write that succeeded was sent
	leaving bool          // the next write says that the owner leaves
	left    bool          // and it is done
}

// batch is a write under way.
type batch struct {
	save    Save
	sent    time.Duration
	pending bool // sent, not answered
	retryAt time.Duration
	claimed []*jobState
	hosts   []string
	seen    map[*worker]uint64
	leaving bool
}

func newSaver(now time.Duration, first uint64) saver {
	return saver{
		jobs:    make(map[*jobState]struct{}),
		hosts:   make(map[string]*provider.Host),
		waiting: make(map[*worker]struct{}),
		next:    first,
		contact: now,
		begun:   -time.Hour,
	}
}

func (s *saver) dirty(j *jobState) {
	s.jobs[j] = struct{}{}
}

func (s *saver) host(id string, h *provider.Host) {
	s.hosts[id] = h
}

// wait has a worker's ends acknowledged after the next write. It reports
// false if there is nothing to write for them.
func (s *saver) wait(w *worker) bool {
	if len(s.jobs) == 0 && s.batch == nil {
		return false
	}
	s.waiting[w] = struct{}{}
	return true
}

func (s *saver) busy() bool {
	return s.batch != nil || len(s.jobs) > 0 || len(s.hosts) > 0
}

// save writes what has changed, and a heartbeat where nothing has.
func (c *Cell) save() {
	s := &c.saves
	if b := s.batch; b != nil {
		if !b.pending && c.now >= b.retryAt {
			c.send(b)
		}
		return
	}
	if c.now-s.begun < c.timing.SaveGap {
		return
	}
	if !s.busy() && len(s.waiting) == 0 && c.now-s.begun < c.timing.Beat && s.leaving == s.left {
		return
	}
	b, err := c.newBatch()
	if err != nil {
		c.depose(err.Error())
		return
	}
	s.batch = b
	s.begun = c.now
	c.send(b)
}

func (c *Cell) send(b *batch) {
	b.sent = c.now
	b.pending = true
	c.do(b.save)
}

func (c *Cell) newBatch() (*batch, error) {
	s := &c.saves
	b := &batch{save: Save{Term: c.self.Term, Sequence: s.next}, seen: make(map[*worker]uint64), leaving: s.leaving}
	s.next++
	c.beats++
	owner, err := catalog.OwnerRecord(catalog.Owner{
		Term:     c.self.Term,
		Instance: c.self.Instance,
		Nonce:    c.self.Nonce,
		Sequence: c.self.Sequence,
		Beat:     c.beats,
		Leaving:  s.leaving,
	})
	if err != nil {
		return nil, err
	}
	b.save.Records = append(b.save.Records, owner)
	for j := range s.jobs {
		r, err := catalog.ProgressRecord(j.job.ID, j.progress)
		if err != nil {
			return nil, err
		}
		b.save.Records = append(b.save.Records, r)
		if j.progress.Claimed && !j.claimed {
			b.claimed = append(b.claimed, j)
		}
	}
	for id, h := range s.hosts {
		r, err := catalog.HostRecord(id, h)
		if err != nil {
			return nil, err
		}
		b.save.Records = append(b.save.Records, r)
		b.hosts = append(b.hosts, id)
	}
	for w := range s.waiting {
		b.seen[w] = w.ended
	}
	clear(s.jobs)
	clear(s.hosts)
	clear(s.waiting)
	return b, nil
}

// saved takes the outcome of a write.
func (c *Cell) saved(in Saved) {
	s := &c.saves
	b := s.batch
	if b == nil || b.save.Sequence != in.Sequence {
		return
	}
	b.pending = false
	if fault.Is(in.Err, fault.StaleEpoch) || fault.Is(in.Err, fault.Conflict) {
		c.depose("the store has seen a higher term")
		return
	}
	if in.Err != nil {
		b.retryAt = c.now + c.timing.SaveRetry
		if c.now-s.contact > c.timing.Beat*2 {
			c.note("not saved", "sequence", in.Sequence, "since", c.now-s.contact, "err", in.Err)
		}
		return
	}
	s.batch = nil
	s.contact = b.sent
	s.left = b.leaving
	c.acknowledge(b)
}

func (c *Cell) acknowledge(b *batch) {
	for _, j := range b.claimed {
		j.claimed = true
		c.changed = true
	}
	for _, id := range b.hosts {
		if w := c.workers[id]; w != nil {
			w.registered = true
			c.changed = true
		}
	}
	for w, n := range b.seen {
		w.seen = max(w.seen, n)
		if w.lost || w.holding {
			continue
		}
		if w.ended > w.seen && c.saves.wait(w) {
			continue
		}
		c.hold(w)
	}
}

// Leave has the cell given up in an orderly way: its last write says so.
func (c *Cell) Leave() {
	c.saves.leaving = true
}

// Left reports whether that write is done.
func (c *Cell) Left() bool {
	return c.saves.left
}
