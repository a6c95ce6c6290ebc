package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

// recordWriter collects the records to write and tracks the write in flight. There is at
// most one write in flight. It is retried unchanged until it is answered, so that a lost
// answer has no effect.
type recordWriter struct {
	dirtyJobs     map[*jobState]struct{} // jobs with unsaved progress
	droppedJobs   []string               // IDs of jobs whose progress is to be deleted
	dirtyHosts    map[string]*worker     // workers to put on record by ID, nil to delete the record
	dirtyWaves    map[int]catalog.Wave
	awaitingAck   map[*worker]struct{} // workers with ends to acknowledge after the next write
	batch         *batch
	nextSequence  uint64
	lastWriteAt   time.Duration // when the last write was first sent
	lastContact   time.Duration // when the last write that succeeded was sent
	leaving       bool          // no more tasks are started, and a write announces that the owner leaves
	leavingSince  time.Duration
	leaveRecorded bool // such a write has succeeded
}

// batch is a write in flight.
type batch struct {
	save     Save
	sentAt   time.Duration
	inFlight bool // sent, not answered
	retryAt  time.Duration
	claims   []*jobState // jobs whose claim it records
	jobs     []jobChange // jobs whose progress it records
	workers  []*worker   // workers that it records
	acks     []ack       // ends to acknowledge once it is written
	leaving  bool
}

// jobChange tells up to which change a write covers a job's progress.
type jobChange struct {
	job    *jobState
	number uint64
}

// ack is the highest end of a worker that a write covers.
type ack struct {
	worker *worker
	ended  uint64
}

// sortedJobs returns the jobs to write, by ID.
func (rw *recordWriter) sortedJobs() []*jobState {
	jobs := slices.Collect(maps.Keys(rw.dirtyJobs))
	slices.SortFunc(jobs, func(a, b *jobState) int { return cmp.Compare(a.job.ID, b.job.ID) })
	return jobs
}

func newRecordWriter(now time.Duration, first uint64) recordWriter {
	return recordWriter{
		dirtyJobs:    make(map[*jobState]struct{}),
		dirtyHosts:   make(map[string]*worker),
		awaitingAck:  make(map[*worker]struct{}),
		dirtyWaves:   make(map[int]catalog.Wave),
		nextSequence: first,
		lastContact:  now,
		lastWriteAt:  -time.Hour,
	}
}

// markDirty schedules a job's progress to be written.
func (rw *recordWriter) markDirty(j *jobState) {
	rw.dirtyJobs[j] = struct{}{}
	j.changeCount++
}

// dropProgress schedules the deletion of a job's progress.
func (rw *recordWriter) dropProgress(id string) {
	rw.droppedJobs = append(rw.droppedJobs, id)
}

// register schedules a worker to be put on record.
func (rw *recordWriter) register(w *worker) {
	rw.dirtyHosts[w.host.ID] = w
}

// unregister schedules the deletion of a worker's record.
func (rw *recordWriter) unregister(id string) {
	rw.dirtyHosts[id] = nil
}

// deferAck defers the acknowledgement of a worker's ends until the next write. It returns
// false if nothing has to be written before they are acknowledged.
func (rw *recordWriter) deferAck(w *worker) bool {
	if len(rw.dirtyJobs) == 0 && rw.batch == nil {
		return false
	}
	rw.awaitingAck[w] = struct{}{}
	return true
}

func (rw *recordWriter) hasPending() bool {
	return rw.batch != nil || len(rw.dirtyJobs) > 0 || len(rw.dirtyHosts) > 0 || len(rw.dirtyWaves) > 0 || len(rw.droppedJobs) > 0
}

// writeRecords writes the changed records, or a heartbeat if there are none. It retries a
// write that failed.
func (c *Cell) writeRecords() {
	rw := &c.writer
	if b := rw.batch; b != nil {
		if !b.inFlight && c.now >= b.retryAt {
			c.sendBatch(b)
		}
		return
	}
	if c.now-rw.lastWriteAt < c.timing.MinSaveInterval {
		return
	}
	if !rw.hasPending() && len(rw.awaitingAck) == 0 && c.now-rw.lastWriteAt < c.timing.HeartbeatInterval && c.mayAnnounceLeave() == rw.leaveRecorded {
		return
	}
	b, err := c.newBatch()
	if err != nil {
		c.depose(err.Error())
		return
	}
	rw.batch = b
	rw.lastWriteAt = c.now
	c.sendBatch(b)
}

func (c *Cell) sendBatch(b *batch) {
	b.sentAt = c.now
	b.inFlight = true
	c.emit(b.save)
}

func (c *Cell) newBatch() (*batch, error) {
	rw := &c.writer
	b := &batch{save: Save{Term: c.self.Term, Sequence: rw.nextSequence}, leaving: c.mayAnnounceLeave()}
	rw.nextSequence++
	c.heartbeats++
	owner, err := catalog.OwnerRecord(catalog.Owner{
		Term:       c.self.Term,
		Instance:   c.self.Instance,
		Nonce:      c.self.Nonce,
		Sequence:   c.self.Sequence,
		Heartbeats: c.heartbeats,
		Leaving:    b.leaving,
		Settled:    b.leaving && c.startsSettled(),

		RecordsStarts: c.recordsStarts,
	})
	if err != nil {
		return nil, err
	}
	b.save.Records = append(b.save.Records, owner)
	for _, j := range rw.sortedJobs() {
		r, err := catalog.ProgressRecord(j.job.ID, j.progress)
		if err != nil {
			return nil, err
		}
		b.save.Records = append(b.save.Records, r)
		b.jobs = append(b.jobs, jobChange{job: j, number: j.changeCount})
		if j.progress.Claimed && !j.claimRecorded {
			b.claims = append(b.claims, j)
		}
	}
	for id, w := range inOrder(rw.dirtyHosts) {
		r, err := catalog.HostRecord(id, w.hostRecord())
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
	for _, id := range rw.droppedJobs {
		b.save.Records = append(b.save.Records, catalog.ProgressDeletion(id))
	}
	rw.droppedJobs = nil
	for n, w := range inOrder(rw.dirtyWaves) {
		r, err := catalog.WaveRecord(n, w)
		if err != nil {
			return nil, err
		}
		b.save.Records = append(b.save.Records, r)
	}
	clear(rw.dirtyWaves)
	if err := c.addLearned(b); err != nil {
		return nil, err
	}
	if err := c.addBacklog(b); err != nil {
		return nil, err
	}
	for w := range rw.awaitingAck {
		b.acks = append(b.acks, ack{worker: w, ended: w.handledEnd})
	}
	slices.SortFunc(b.acks, func(x, y ack) int { return cmp.Compare(x.worker.host.ID, y.worker.host.ID) })
	clear(rw.dirtyJobs)
	clear(rw.dirtyHosts)
	clear(rw.awaitingAck)
	return b, nil
}

// addCrashed adds the crashed workers that the survey found to a write, for later owners.
// It is the same write that deletes the records of these workers.
func (c *Cell) addCrashed(b *batch) error {
	if !c.survey.crashedUnsaved {
		return nil
	}
	c.survey.crashedUnsaved = false
	r, err := catalog.CrashedRecord(c.survey.crashed)
	if err != nil {
		return err
	}
	b.save.Records = append(b.save.Records, r)
	return nil
}

// addLearned adds the learned interference weights to a write every learnedInterval, so
// that a successor needn't learn them again at the expense of serving tasks.
func (c *Cell) addLearned(b *batch) error {
	if c.now-c.lastLearnedAt < learnedInterval {
		return nil
	}
	c.lastLearnedAt = c.now
	data, err := c.pressure.Encode()
	if err != nil {
		return err
	}
	b.save.Records = append(b.save.Records, catalog.LearnedRecord(data))
	return nil
}

// learnedInterval is the time between two records of the learned weights.
const learnedInterval = 2 * time.Second

// addBacklog adds the owner's backlog and its full pools to a write for the other
// instances. Once there is none any more, it adds an empty backlog.
func (c *Cell) addBacklog(b *batch) error {
	if c.now-c.lastBacklogAt < c.timing.HeartbeatInterval {
		return nil
	}
	backlog := c.backlog()
	if backlog == nil && !c.backlogReported {
		return nil
	}
	c.lastBacklogAt = c.now
	c.backlogReported = backlog != nil
	record, err := catalog.BacklogRecord(c.self.Term, backlog)
	if err != nil {
		return err
	}
	b.save.Records = append(b.save.Records, record)
	return nil
}

// handleSaveReply handles the outcome of a write.
func (c *Cell) handleSaveReply(in SaveReply) {
	rw := &c.writer
	b := rw.batch
	if b == nil || b.save.Sequence != in.Sequence {
		return
	}
	b.inFlight = false
	if fault.Is(in.Err, fault.StaleEpoch) || fault.Is(in.Err, fault.Conflict) {
		c.depose("the store has seen a higher term")
		return
	}
	if in.Err != nil {
		b.retryAt = c.now + c.timing.SaveRetryInterval
		if c.now-rw.lastContact > c.timing.HeartbeatInterval*2 {
			c.logEvent("not saved", "sequence", in.Sequence, "since", c.now-rw.lastContact, "err", in.Err)
		}
		return
	}
	rw.batch = nil
	rw.lastContact = b.sentAt
	rw.leaveRecorded = b.leaving
	c.completeBatch(b)
}

// completeBatch applies a successful write: it marks records as saved and acknowledges the
// ends that were waiting for it.
func (c *Cell) completeBatch(b *batch) {
	for _, j := range b.claims {
		j.claimRecorded = true
		c.needsDispatch = true
	}
	for _, ch := range b.jobs {
		if ch.job.lastStartChange > ch.job.savedChanges {
			c.needsDispatch = true
		}
		ch.job.savedChanges = ch.number
	}
	for _, w := range b.workers {
		w.registered = true
		c.needsDispatch = true
	}
	for _, a := range b.acks {
		w := a.worker
		w.recordedEnd = max(w.recordedEnd, a.ended)
		if w.lost || w.holdInFlight {
			continue
		}
		if w.handledEnd > w.recordedEnd && c.writer.deferAck(w) {
			continue
		}
		c.sendHold(w)
	}
}

// BeginLeave gives the cell up in an orderly way: no more tasks are started, and a write
// announces it once the starts under way have an outcome, or settleTimeout has passed. A
// successor of an owner whose starts are settled needn't wait for them.
func (c *Cell) BeginLeave() {
	if !c.writer.leaving {
		c.writer.leaving = true
		c.writer.leavingSince = c.now
	}
}

// settleTimeout is how long an owner that leaves waits for the outcomes of its starts. They
// usually take milliseconds.
const settleTimeout = 200 * time.Millisecond

// mayAnnounceLeave reports whether the next write may announce that the owner leaves.
func (c *Cell) mayAnnounceLeave() bool {
	rw := &c.writer
	return rw.leaving && (rw.leaveRecorded || c.startsSettled() || c.now-rw.leavingSince >= settleTimeout)
}

// startsSettled reports whether no start can be carried out any more at any incarnation.
func (c *Cell) startsSettled() bool {
	if len(c.strays.tasks) > 0 || len(c.unresolvedStarts) > 0 || !c.survey.done {
		return false
	}
	for _, w := range c.workers {
		for _, r := range w.runs {
			if !r.listed && !r.accepted {
				return false
			}
		}
	}
	return true
}

// HasLeft reports whether the write that announces the leave has succeeded.
func (c *Cell) HasLeft() bool {
	return c.writer.leaveRecorded
}
