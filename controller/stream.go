package controller

import (
	"fmt"
	"time"

	"github.com/dogwoodladder/dogwoodladder/follower"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

const (
	reproposeInterval = 3 * time.Second // before an idempotent proposal is made again
	maxSubmitTasks    = 200             // tasks in one Submit record

	parkAfter    = time.Minute      // queue time after which a task that can't run in this zone is parked
	recoverAfter = 10 * time.Second // before lost state is recovered
)

// NextOffset returns the offset from which to read a stream.
func (c *Controller) NextOffset(stream string) uint64 {
	if stream == ConfigStream {
		return c.revisions.Next()
	}
	return c.follower.Next()
}

func (c *Controller) handleRead(now time.Time, in Read) {
	if in.Stream == ConfigStream {
		c.handleConfigRead(now, in)
		return
	}
	if in.Err != nil && in.Page.Oldest <= c.follower.Next() {
		return
	}
	applied := c.follower.ApplyPage(now, in.Sent, in.Page)
	if c.State() == nil {
		c.handleUnappliedEntries(now, in.Page.Entries)
	}
	for _, a := range applied {
		c.handleApplied(now, a)
	}
	c.restartIfFenced(now)
	c.appendFirstRecord(now)
	c.recoverState(now)
	if len(applied) > 0 && c.follower.Ready() {
		c.startEscrowedTasks(now)
	}
	c.flushAppends(now)
}

// handleUnappliedEntries marks own records as read back while there is no
// state to apply them to. Otherwise the appender would wait for them, the
// recovery snapshot would wait behind them, and no instance would ever become
// ready. Their content is proposed again once there is a state.
func (c *Controller) handleUnappliedEntries(now time.Time, entries []provider.Entry) {
	for _, e := range entries {
		r, err := record.Decode(e.Data)
		if err != nil || r.Writer != c.writer() {
			continue
		}
		c.appender.HandleReadBack(now, r.Sequence)
		c.clearPendingEnds(r)
		c.clearPendingClaim(r)
		c.clearPendingOwn(r)
	}
}

// clearPendingOwn marks an Own record of this instance as no longer in flight.
func (c *Controller) clearPendingOwn(r record.Record) {
	if r.Own == nil {
		return
	}
	if w, ok := c.workers[r.Own.Worker]; ok && w.ownSequence == r.Sequence {
		w.ownSequence = 0
	}
}

// handleApplied acts on one applied record.
func (c *Controller) handleApplied(now time.Time, a follower.Applied) {
	if a.Record.Writer == c.writer() {
		c.appender.HandleReadBack(now, a.Record.Sequence)
		c.clearPendingEnds(a.Record)
		c.clearPendingClaim(a.Record)
		c.clearPendingOwn(a.Record)
		c.answerCommand(now, a)
	}
	if a.Outcome.Effect == zone.Void {
		c.logEvent(Debug, "void", "offset", a.Offset, "reason", a.Outcome.Reason.String(), "writer", a.Record.Writer.ID)
	}
	switch {
	case a.Record.Own != nil && a.Outcome.Effect == zone.Applied:
		c.handleOwnApplied(now, a.Record)
	case a.Record.Fence != nil && a.Outcome.Effect == zone.Applied:
		c.fencedAt[a.Record.Fence.Instance] = now
		c.logEvent(Info, "fenced", "instance", a.Record.Fence.Instance.ID, "offset", a.Offset)
	}
}

// clearPendingEnds marks an own record that ends attempts as read back: it
// took effect, or it is void and may be due again.
func (c *Controller) clearPendingEnds(r record.Record) {
	var task string
	switch {
	case r.Done != nil:
		task = r.Done.Attempt.Task
	case r.Evicted != nil:
		task = r.Evicted.Attempt.Task
	case r.Failed != nil:
		task = r.Failed.Attempt.Task
	}
	ids := []string{task}
	if r.Return != nil {
		ids = r.Return.Tasks
	}
	for _, id := range ids {
		if c.pendingEnds[id].sequence == r.Sequence {
			delete(c.pendingEnds, id)
		}
	}
}

// clearPendingClaim allows the tasks of a Claim that was read back to be
// claimed again, in case they were refused.
func (c *Controller) clearPendingClaim(r record.Record) {
	if r.Claim == nil {
		return
	}
	for _, id := range r.Claim.Tasks {
		delete(c.proposedAt, "claim/"+id)
	}
}

func (c *Controller) handleAppended(now time.Time, in Appended) {
	if in.Stream == ConfigStream {
		c.config.handleAppended()
		return
	}
	c.appender.HandleResult(now, in.Err)
	if in.Err != nil {
		c.logEvent(Warn, "append failed", "stream", in.Stream, "error", in.Err.Error(), "waiting", c.appender.PendingCount())
	}
}

// appendRecord queues a record for the zone stream and returns its sequence
// and whether it was accepted.
func (c *Controller) appendRecord(r record.Record) (uint64, bool) {
	sequence, err := c.appender.Add(r)
	if err != nil {
		c.logEvent(Warn, "record not queued for append", "error", err.Error())
		return 0, false
	}
	return sequence, true
}

func (c *Controller) flushAppends(now time.Time) {
	if batch, ok := c.appender.Next(now); ok {
		c.emit(Append{Stream: c.stream, Data: batch.Data})
	}
	if data, ok := c.config.nextAppend(now); ok {
		c.emit(Append{Stream: ConfigStream, Data: [][]byte{data}})
	}
}

// restartIfFenced starts a new incarnation when other instances have fenced
// this one. They do so when it was paused or cut off for so long that they
// took its tasks; from then on all its records are void, and the work that it
// starts would never be recorded. Under a new incarnation it holds nothing and
// takes part again.
func (c *Controller) restartIfFenced(now time.Time) {
	s := c.State()
	if s == nil || !s.Fenced(c.writer()) {
		return
	}
	c.logEvent(Warn, "fenced by others", "incarnation", c.self.Incarnation)
	for _, w := range c.workers {
		c.dropLease(now, w)
	}
	c.failCommands()
	c.startIncarnation(max(s.Incarnation(c.self.ID)+1, uint64(now.UnixMilli())))
	c.handleListed(now, c.instances)
}

// appendFirstRecord appends a Marker as an incarnation's first record. When an
// instance restarts under its ID, the tasks of its previous incarnation are
// settled only once the new one writes a record; without this they would wait
// while the instance is up and idle.
func (c *Controller) appendFirstRecord(now time.Time) {
	if c.follower.Ready() && c.appender.LastSequence() == 0 && !c.leaving {
		c.appendRecord(record.Record{Marker: &record.Marker{}})
	}
}

// recoverState appends a recovery snapshot when records expired unread and no
// snapshot is left. When another instance did so although this one still has
// the state, it appends a regular snapshot, which overrules the recovery.
func (c *Controller) recoverState(now time.Time) {
	switch {
	case c.follower.Ready() && c.follower.RecoveryPending():
		if c.allowProposal(now, "overrule") {
			c.appendSnapshot()
		}
	case c.follower.RecoveryPending():
		if c.allowProposal(now, "marker") {
			c.appendRecord(record.Record{Marker: &record.Marker{}})
		}
	default:
		c.appendRecoverySnapshot(now)
	}
}

func (c *Controller) appendRecoverySnapshot(now time.Time) {
	prior, lost := c.follower.StateLost()
	if !lost {
		c.stateLostAt = time.Time{}
		return
	}
	if c.stateLostAt.IsZero() {
		c.stateLostAt = now
	}
	if now.Sub(c.stateLostAt) < recoverAfter || !c.allowProposal(now, "recovery") {
		return // an instance that has the state appends a snapshot within this time
	}
	if prior == nil {
		prior = zone.New(c.self.AvailabilityZone)
	}
	prior.SkipTo(c.follower.Next())
	state, err := prior.Snapshot()
	if err != nil {
		c.logEvent(Warn, "snapshot failed", "error", err.Error())
		return
	}
	c.logEvent(Warn, "state lost", "next", c.follower.Next())
	c.appendRecord(record.Record{Version: prior.RecordVersion(), Snapshot: &record.Snapshot{At: c.follower.Next() - 1, State: state, Recovery: true}})
}

// proposeRecords appends the records that any instance of the zone may write.
// It does so only while it reads the log's tail: a record that waited through
// an outage, such as a fence of an instance that is back, would be out of date
// when appended.
func (c *Controller) proposeRecords(now time.Time) {
	if now.Sub(c.follower.TailReadAt()) > c.timing.SuspicionTimeout {
		clear(c.downSince)
		return
	}
	c.proposeFences(now)
	c.proposeLapses(now)
	if !c.isProposer() {
		return
	}
	c.proposeLimits(now)
	c.proposeJobs(now)
	c.proposeParks(now)
	c.proposeSnapshot(now)
}

// proposeFences fences the incarnations that own something and have been out
// of service for longer than the fence time.
func (c *Controller) proposeFences(now time.Time) {
	for writer := range c.State().ActiveOwners() {
		if c.isInService(writer) {
			delete(c.downSince, writer)
			continue
		}
		since, ok := c.downSince[writer]
		if !ok {
			c.downSince[writer] = now
			continue
		}
		if !c.isProposer() || now.Sub(since) < c.timing.FenceAfter || !c.allowProposal(now, "fence/"+writer.ID) {
			continue
		}
		c.logEvent(Info, "fence", "instance", writer.ID, "incarnation", writer.Incarnation)
		c.appendRecord(record.Record{Fence: &record.Fence{Instance: writer}})
	}
}

// isInService reports whether an incarnation needs no fence.
func (c *Controller) isInService(writer record.Writer) bool {
	return writer == c.writer() || c.State().Fenced(writer) || c.isAlive(writer)
}

// proposeLapses ends the wait for a fenced instance's workers that nobody
// could take over.
//
// A fenced owner may still reach a worker that no other instance reaches, and
// keep extending the leases of its tasks. If the tasks were queued again at
// once, they could run twice. The owner extends task leases for at most the
// isolation bound after it last read the log, and the last extension ends
// within taskEndBound, so after both the worker has stopped the tasks.
func (c *Controller) proposeLapses(now time.Time) {
	wait := c.timing.MaxIsolation + c.taskEndBound()
	for r := range c.State().Recoveries() {
		seen, ok := c.fencedAt[r.Instance]
		if !ok {
			c.fencedAt[r.Instance] = now
			continue
		}
		if now.Sub(seen) < wait || !c.isProposer() {
			continue
		}
		for _, id := range r.Pending {
			recorded, _ := c.State().Worker(id)
			if c.allowProposal(now, "lapse/"+id) {
				c.logEvent(Info, "lapse", "worker", id, "epoch", recorded.Epoch)
				c.appendRecord(record.Record{Lapse: &record.Lapse{Worker: id, Epoch: recorded.Epoch}})
			}
		}
	}
}

// hasCurrentManifest reports whether the manifest in use is the one in force.
// It is not when a newer program published one that this program can't decode.
func (c *Controller) hasCurrentManifest() bool {
	return c.manifest != nil && c.config.decodedRevision == c.revisions.Current().Number
}

func (c *Controller) proposeLimits(now time.Time) {
	if !c.hasCurrentManifest() || c.revisions.Current().Number <= c.State().Revision() || !c.allowProposal(now, "limits") {
		return
	}
	c.appendRecord(record.Record{Limits: &record.Limits{
		Revision: c.revisions.Current().Number,
		Groups:   c.manifest.Limits(c.self.AvailabilityZone),
	}})
}

// proposeJobs queues the tasks of declared jobs and cancels those of jobs that
// are no longer declared.
func (c *Controller) proposeJobs(now time.Time) {
	if !c.hasCurrentManifest() || c.revisions.Current().Number != c.State().Revision() || !c.allowProposal(now, "jobs") {
		return
	}
	declared := make(map[string]bool, len(c.declaredTasks))
	var missing []record.Task
	for _, t := range c.declaredTasks {
		declared[t.ID] = true
		known, ok := c.State().Task(t.ID)
		if !ok || !known.Declared && !known.Ended.IsZero() {
			missing = append(missing, t)
		}
	}
	for len(missing) > 0 {
		n := min(len(missing), maxSubmitTasks)
		c.appendRecord(record.Record{Submit: &record.Submit{Tasks: missing[:n]}})
		missing = missing[n:]
	}
	c.cancelUndeclared(declared)
}

// proposeParks parks queued tasks that can't run as declared, because they
// need more than any worker holds or than their group's limit. Otherwise they
// would stay queued forever without a visible reason. The status shows the
// reason of a parked task until the task is cancelled.
func (c *Controller) proposeParks(now time.Time) {
	if !c.allowAction(now, "parks") {
		return
	}
	for t := range c.State().QueuedTasks() {
		if now.Sub(t.Submitted) < parkAfter {
			continue
		}
		if reason := c.unplaceableReason(t); reason != "" && c.allowProposal(now, "park/"+t.ID) {
			c.logEvent(Info, "parked", "task", t.ID, "reason", reason)
			c.appendRecord(record.Record{Park: &record.Park{Task: t.ID, Reason: reason}})
		}
	}
}

// unplaceableReason returns why a task can't run in this zone, or "" if it
// can.
func (c *Controller) unplaceableReason(t zone.Task) string {
	limit := c.State().Group(t.Group).Limit
	if !t.Need.Fits(limit) {
		return fmt.Sprintf("needs %v, its group may hold %v", t.Need, limit)
	}
	workers := 0
	for _, in := range c.instances {
		if in.Role != provider.RoleWorker || in.AvailabilityZone != c.self.AvailabilityZone {
			continue
		}
		workers++
		if t.Need.Fits(in.Capacity) {
			return ""
		}
	}
	if workers == 0 {
		return ""
	}
	return fmt.Sprintf("needs %v, more than any of %d workers holds", t.Need, workers)
}

func (c *Controller) proposeSnapshot(now time.Time) {
	if c.lastSnapshot.IsZero() {
		c.lastSnapshot = now
	}
	if now.Sub(c.lastSnapshot) < c.timing.SnapshotInterval || c.follower.Next() == 0 {
		return
	}
	c.lastSnapshot = now
	if c.appender.IsSettled(c.snapshotSequence) { // a second waiting snapshot would only lengthen the backlog
		c.appendSnapshot()
	}
}

func (c *Controller) appendSnapshot() {
	state, err := c.State().Snapshot()
	if err != nil {
		c.logEvent(Warn, "snapshot failed", "error", err.Error())
		return
	}
	if sequence, ok := c.appendRecord(record.Record{Version: c.State().RecordVersion(), Snapshot: &record.Snapshot{At: c.follower.Next() - 1, State: state}}); ok {
		c.snapshotSequence = sequence
	}
}

// allowProposal reports whether a proposal is due, and if so marks it as made
// now. A proposal made before is due again after reproposeInterval, and only
// when no own records wait to be read back.
func (c *Controller) allowProposal(now time.Time, key string) bool {
	if _, ok := c.proposedAt[key]; ok && c.appender.PendingCount() > 0 {
		return false
	}
	return c.allowAction(now, key)
}

// allowAction reports whether an action is due because it wasn't done within
// reproposeInterval, and if so marks it as done now.
func (c *Controller) allowAction(now time.Time, key string) bool {
	if at, ok := c.proposedAt[key]; ok && now.Sub(at) < reproposeInterval {
		return false
	}
	c.proposedAt[key] = now
	return true
}
