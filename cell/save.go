package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

// saver holds what is to be written and what is being written. One write is
// under way at a time; it is repeated as it was until it is answered, so that
// a lost answer changes nothing.
type saver struct {
	jobs    map[*jobState]struct{}
	dropped []string           // jobs whose progress goes
	hosts   map[string]*worker // to put on record, nil to drop, by ID
	waves   map[int]catalog.Wave
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
	jobs    []change
	workers []*worker // put on record
	seen    []acknowledgement
	leaving bool
}

// change is a job of which a write has all changes up to a number.
type change struct {
	job    *jobState
	number uint64
}

// acknowledgement is the highest end of a worker that a write covers.
type acknowledgement struct {
	worker *worker
	ended  uint64
}

// inOrder returns the jobs to write, by ID.
func (s *saver) inOrder() []*jobState {
	jobs := slices.Collect(maps.Keys(s.jobs))
	slices.SortFunc(jobs, func(a, b *jobState) int { return cmp.Compare(a.job.ID, b.job.ID) })
	return jobs
}

func newSaver(now time.Duration, first uint64) saver {
	return saver{
		jobs:    make(map[*jobState]struct{}),
		hosts:   make(map[string]*worker),
		waiting: make(map[*worker]struct{}),
		waves:   make(map[int]catalog.Wave),
		next:    first,
		contact: now,
		begun:   -time.Hour,
	}
}

func (s *saver) dirty(j *jobState) {
	s.jobs[j] = struct{}{}
	j.changes++
}

// drop has a job's progress dropped.
func (s *saver) drop(id string) {
	s.dropped = append(s.dropped, id)
}

// register puts a worker on record.
func (s *saver) register(w *worker) {
	s.hosts[w.host.ID] = w
}

// unregister drops a worker's record.
func (s *saver) unregister(w *worker) {
	s.hosts[w.host.ID] = nil
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
	return s.batch != nil || len(s.jobs) > 0 || len(s.hosts) > 0 || len(s.waves) > 0 || len(s.dropped) > 0
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
	b := &batch{save: Save{Term: c.self.Term, Sequence: s.next}, leaving: s.leaving}
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
	for _, j := range s.inOrder() {
		r, err := catalog.ProgressRecord(j.job.ID, j.progress)
		if err != nil {
			return nil, err
		}
		b.save.Records = append(b.save.Records, r)
		b.jobs = append(b.jobs, change{job: j, number: j.changes})
		if j.progress.Claimed && !j.claimed {
			b.claimed = append(b.claimed, j)
		}
	}
	for id, w := range inOrder(s.hosts) {
		r, err := catalog.HostRecord(id, w.record())
		if err != nil {
			return nil, err
		}
		b.save.Records = append(b.save.Records, r)
		if w != nil {
			b.workers = append(b.workers, w)
		}
	}
	if err := c.addCrashed(b); err != nil {
		return nil, err
	}
	for _, id := range s.dropped {
		b.save.Records = append(b.save.Records, catalog.DropProgress(id))
	}
	s.dropped = nil
	for n, w := range inOrder(s.waves) {
		r, err := catalog.WaveRecord(n, w)
		if err != nil {
			return nil, err
		}
		b.save.Records = append(b.save.Records, r)
	}
	clear(s.waves)
	if err := c.addLearned(b); err != nil {
		return nil, err
	}
	if err := c.addBacklog(b); err != nil {
		return nil, err
	}
	for w := range s.waiting {
		b.seen = append(b.seen, acknowledgement{worker: w, ended: w.ended})
	}
	slices.SortFunc(b.seen, func(x, y acknowledgement) int { return cmp.Compare(x.worker.host.ID, y.worker.host.ID) })
	clear(s.jobs)
	clear(s.hosts)
	clear(s.waiting)
	return b, nil
}

// addCrashed tells the owners that follow which crashed workers the survey found. It
// goes with the write that takes these off the record.
func (c *Cell) addCrashed(b *batch) error {
	if !c.survey.untold {
		return nil
	}
	c.survey.untold = false
	r, err := catalog.CrashedRecord(c.survey.crashed)
	if err != nil {
		return err
	}
	b.save.Records = append(b.save.Records, r)
	return nil
}

// addLearned adds what was learned to a write now and then, so that a
// successor needn't learn it at the expense of serving tasks.
func (c *Cell) addLearned(b *batch) error {
	if c.now-c.learnedAt < learnedEvery {
		return nil
	}
	c.learnedAt = c.now
	data, err := c.pressure.Encode()
	if err != nil {
		return err
	}
	b.save.Records = append(b.save.Records, catalog.LearnedRecord(data))
	return nil
}

// learnedEvery is the time between two records of what was learned.
const learnedEvery = 2 * time.Second

// addBacklog tells the other instances by how much this owner doesn't keep up and
// which pools are full, and when neither is so any more.
func (c *Cell) addBacklog(b *batch) error {
	if c.now-c.toldAt < c.timing.Beat {
		return nil
	}
	backlog := c.backlog()
	if backlog == nil && !c.toldBacklog {
		return nil
	}
	c.toldAt = c.now
	c.toldBacklog = backlog != nil
	record, err := catalog.BacklogRecord(c.self.Term, backlog)
	if err != nil {
		return err
	}
	b.save.Records = append(b.save.Records, record)
	return nil
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
	for _, ch := range b.jobs {
		if ch.job.startChange > ch.job.written {
			c.changed = true
		}
		ch.job.written = ch.number
	}
	for _, w := range b.workers {
		w.registered = true
		c.changed = true
	}
	for _, a := range b.seen {
		w := a.worker
		w.seen = max(w.seen, a.ended)
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
