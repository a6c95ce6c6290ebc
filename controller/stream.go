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
	repropose = 3 * time.Second // before an idempotent proposal is made again
	submitMax = 200             // tasks in one Submit record

	parkAfter    = time.Minute      // before a queued task that fits nowhere is parked
	recoverAfter = 10 * time.Second // before lost state is recovered
)

// Next returns the offset to read a stream from.
func (c *Controller) Next(stream string) uint64 {
	if stream == ConfigStream {
		return c.history.Next()
	}
	return c.follow.Next()
}

func (c *Controller) read(now time.Time, in Read) {
	if in.Stream == ConfigStream {
		c.readConfig(now, in)
		return
	}
	if in.Err != nil && in.Page.Oldest <= c.follow.Next() {
		return
	}
	applied := c.follow.Feed(now, in.Sent, in.Page)
	if c.State() == nil {
		c.passed(now, in.Page.Entries)
	}
	for _, a := range applied {
		c.folded(now, a)
	}
	c.checkFence(now)
	c.announce(now)
	c.recoverState(now)
	if len(applied) > 0 && c.follow.Ready() {
		c.startEscrow(now)
	}
	c.flush(now)
}

// passed takes note of own records that went by while there is no state to
// fold them into.
//
// What goes wrong: the appender waits for them to be read back, and the
// recovery snapshot that would bring a state waits behind them. One would
// notice that no instance ever gets ready. What they said is due again once
// there is a state.
func (c *Controller) passed(now time.Time, entries []provider.Entry) {
	for _, e := range entries {
		r, err := record.Decode(e.Data)
		if err != nil || r.Writer != c.writer() {
			continue
		}
		c.out.Folded(now, r.Sequence)
		c.forgetReport(r)
		c.forgetClaim(r)
		c.forgetOwn(r)
	}
}

// forgetOwn notes that an Own record of ours isn't under way any more.
func (c *Controller) forgetOwn(r record.Record) {
	if r.Own == nil {
		return
	}
	if h, ok := c.holdings[r.Own.Worker]; ok && h.recorded == r.Sequence {
		h.recorded = 0
	}
}

// folded follows up one record.
func (c *Controller) folded(now time.Time, a follower.Applied) {
	if a.Record.Writer == c.writer() {
		c.out.Folded(now, a.Record.Sequence)
		c.forgetReport(a.Record)
		c.forgetClaim(a.Record)
		c.forgetOwn(a.Record)
		c.answerCommand(now, a)
	}
	if a.Outcome.Effect == zone.Void {
		c.log(Debug, "void", "offset", a.Offset, "reason", a.Outcome.Reason.String(), "writer", a.Record.Writer.ID)
	}
	switch {
	case a.Record.Own != nil && a.Outcome.Effect == zone.Applied:
		c.ownFolded(now, a.Record)
	case a.Record.Fence != nil && a.Outcome.Effect == zone.Applied:
		c.fences[a.Record.Fence.Instance] = now
		c.log(Info, "fenced", "instance", a.Record.Fence.Instance.ID, "offset", a.Offset)
	}
}

// forgetReport forgets that a record of ours would end an attempt, once it
// was read back: it did, or it is void and may be due again.
func (c *Controller) forgetReport(r record.Record) {
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
		if c.reported[id].sequence == r.Sequence {
			delete(c.reported, id)
		}
	}
}

// forgetClaim makes the tasks of a claim that was read back due again, should
// they have been refused.
func (c *Controller) forgetClaim(r record.Record) {
	if r.Claim == nil {
		return
	}
	for _, id := range r.Claim.Tasks {
		delete(c.proposed, "claim/"+id)
	}
}

func (c *Controller) appended(now time.Time, in Appended) {
	if in.Stream == ConfigStream {
		c.config.answered()
		return
	}
	c.out.Answered(now, in.Err)
	if in.Err != nil {
		c.log(Warn, "append failed", "stream", in.Stream, "error", in.Err.Error(), "waiting", c.out.Waiting())
	}
}

// add puts a record in line and reports whether it could.
func (c *Controller) add(r record.Record) (uint64, bool) {
	sequence, err := c.out.Add(r)
	if err != nil {
		c.log(Warn, "record refused", "error", err.Error())
		return 0, false
	}
	return sequence, true
}

func (c *Controller) flush(now time.Time) {
	if batch, ok := c.out.Next(now); ok {
		c.do(Append{Stream: c.stream, Data: batch.Data})
	}
	if data, ok := c.config.nextAppend(now); ok {
		c.do(Append{Stream: ConfigStream, Data: [][]byte{data}})
	}
}

// checkFence starts a new run when the others have fenced this one.
//
// What goes wrong: this instance was paused or cut off for so long that the
// others gave it up and took its tasks. All its records are void from then
// on. One would notice work that is started and never recorded. Under a new
// incarnation it holds nothing and takes part again.
func (c *Controller) checkFence(now time.Time) {
	s := c.State()
	if s == nil || !s.Fenced(c.writer()) {
		return
	}
	c.log(Warn, "fenced by others", "incarnation", c.self.Incarnation)
	for _, h := range c.holdings {
		c.giveUp(now, h)
	}
	c.failCommands()
	c.begin(max(s.Incarnation(c.self.ID)+1, uint64(now.UnixMilli())))
	c.list(now, c.listed)
}

// announce writes a run's first record.
//
// What goes wrong: an instance restarts under its ID, and its earlier run's
// tasks are settled only once the new run writes something. One would notice
// them waiting although the instance is up and idle.
func (c *Controller) announce(now time.Time) {
	if c.follow.Ready() && c.out.Last() == 0 && !c.leaving {
		c.add(record.Record{Marker: &record.Marker{}})
	}
}

// recoverState writes a recovery snapshot when records expired unread and no
// snapshot is left, and a regular one when somebody else did so although this
// instance has the state.
func (c *Controller) recoverState(now time.Time) {
	switch {
	case c.follow.Ready() && c.follow.Contested():
		if c.once(now, "overrule") {
			c.writeSnapshot()
		}
	case c.follow.Contested():
		if c.once(now, "marker") {
			c.add(record.Record{Marker: &record.Marker{}})
		}
	default:
		c.writeRecovery(now)
	}
}

func (c *Controller) writeRecovery(now time.Time) {
	prior, lost := c.follow.Lost()
	if !lost {
		c.lostAt = time.Time{}
		return
	}
	if c.lostAt.IsZero() {
		c.lostAt = now
	}
	if now.Sub(c.lostAt) < recoverAfter || !c.once(now, "recovery") {
		return // whoever has the state writes a snapshot in time
	}
	if prior == nil {
		prior = zone.New(c.self.AvailabilityZone)
	}
	prior.SkipTo(c.follow.Next())
	state, err := prior.Snapshot()
	if err != nil {
		c.log(Warn, "snapshot failed", "error", err.Error())
		return
	}
	c.log(Warn, "state lost", "next", c.follow.Next())
	c.add(record.Record{Snapshot: &record.Snapshot{At: c.follow.Next() - 1, State: state, Recovery: true}})
}

// propose writes what any instance of the zone may write. It does so only
// while it reads the log's tail: what waited through an outage would be out
// of date when it is appended, such as a fence of an instance that is back.
func (c *Controller) propose(now time.Time) {
	if now.Sub(c.follow.Tail()) > c.timing.Suspicion {
		clear(c.missed)
		return
	}
	c.proposeFences(now)
	c.proposeLapses(now)
	if !c.proposer() {
		return
	}
	c.proposeLimits(now)
	c.proposeJobs(now)
	c.proposeParks(now)
	c.proposeSnapshot(now)
}

// proposeFences voids the records of runs that hold something and have been
// out of service for long.
func (c *Controller) proposeFences(now time.Time) {
	for w := range c.State().Owners() {
		if c.inService(w) {
			delete(c.missed, w)
			continue
		}
		since, ok := c.missed[w]
		if !ok {
			c.missed[w] = now
			continue
		}
		if !c.proposer() || now.Sub(since) < c.timing.Fence || !c.once(now, "fence/"+w.ID) {
			continue
		}
		c.log(Info, "fence", "instance", w.ID, "incarnation", w.Incarnation)
		c.add(record.Record{Fence: &record.Fence{Instance: w}})
	}
}

// inService reports whether a run of an instance needs no fence.
func (c *Controller) inService(w record.Writer) bool {
	return w == c.writer() || c.State().Fenced(w) || c.alive(w)
}

// proposeLapses ends the wait for workers that nobody could take over.
//
// What goes wrong: a fenced owner may still reach a worker that nobody else
// reaches, and go on extending the leases of the tasks there. One would
// notice the same task running twice after it was queued again. The owner
// extends them for no longer than the isolation bound after it last read the
// log, and the last extension ends as taskEnd says, so after both the worker
// has stopped the tasks.
func (c *Controller) proposeLapses(now time.Time) {
	wait := c.timing.Isolation + c.taskEnd()
	for r := range c.State().Recoveries() {
		seen, ok := c.fences[r.Instance]
		if !ok {
			c.fences[r.Instance] = now
			continue
		}
		if now.Sub(seen) < wait || !c.proposer() {
			continue
		}
		for _, id := range r.Pending {
			w, _ := c.State().Worker(id)
			if c.once(now, "lapse/"+id) {
				c.log(Info, "lapse", "worker", id, "epoch", w.Epoch)
				c.add(record.Record{Lapse: &record.Lapse{Worker: id, Epoch: w.Epoch}})
			}
		}
	}
}

// understands reports whether the manifest in use is the one in force.
func (c *Controller) understands() bool {
	return c.manifest != nil && c.config.understood == c.history.Current().Number
}

func (c *Controller) proposeLimits(now time.Time) {
	if !c.understands() || c.history.Current().Number <= c.State().Revision() || !c.once(now, "limits") {
		return
	}
	c.add(record.Record{Limits: &record.Limits{
		Revision: c.history.Current().Number,
		Groups:   c.manifest.Limits(c.self.AvailabilityZone),
	}})
}

// proposeJobs queues the tasks of declared jobs and cancels those of jobs
// that are declared no more.
func (c *Controller) proposeJobs(now time.Time) {
	if !c.understands() || c.history.Current().Number != c.State().Revision() || !c.once(now, "jobs") {
		return
	}
	declared := make(map[string]bool, len(c.jobs))
	var missing []record.Task
	for _, t := range c.jobs {
		declared[t.ID] = true
		known, ok := c.State().Task(t.ID)
		if !ok || !known.Declared && !known.Ended.IsZero() {
			missing = append(missing, t)
		}
	}
	for len(missing) > 0 {
		n := min(len(missing), submitMax)
		c.add(record.Record{Submit: &record.Submit{Tasks: missing[:n]}})
		missing = missing[n:]
	}
	c.cancelUndeclared(declared)
}

// proposeParks sets aside queued tasks that can't run as declared.
//
// What goes wrong: a task needs more than any worker holds, or than its
// group's limit, and stays queued for ever. One would notice it waiting beside
// idle workers, with no reason shown. Parked, it shows the reason in the
// status until it is cancelled.
func (c *Controller) proposeParks(now time.Time) {
	if !c.due(now, "parks") {
		return
	}
	for t := range c.State().Queued() {
		if now.Sub(t.Submitted) < parkAfter {
			continue
		}
		if reason := c.misfit(t); reason != "" && c.once(now, "park/"+t.ID) {
			c.log(Info, "parked", "task", t.ID, "reason", reason)
			c.add(record.Record{Park: &record.Park{Task: t.ID, Reason: reason}})
		}
	}
}

// misfit returns why a task can't run in this zone, or nothing.
func (c *Controller) misfit(t zone.Task) string {
	limit := c.State().Group(t.Group).Limit
	if !t.Need.Fits(limit) {
		return fmt.Sprintf("needs %v, its group may hold %v", t.Need, limit)
	}
	workers := 0
	for _, in := range c.listed {
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
	if c.snapshotAt.IsZero() {
		c.snapshotAt = now
	}
	if now.Sub(c.snapshotAt) < c.timing.Snapshot || c.follow.Next() == 0 {
		return
	}
	c.snapshotAt = now
	if c.out.Settled(c.snapshot) { // else the last one still waits, and another would only lengthen the line
		c.writeSnapshot()
	}
}

func (c *Controller) writeSnapshot() {
	state, err := c.State().Snapshot()
	if err != nil {
		c.log(Warn, "snapshot failed", "error", err.Error())
		return
	}
	if sequence, ok := c.add(record.Record{Snapshot: &record.Snapshot{At: c.follow.Next() - 1, State: state}}); ok {
		c.snapshot = sequence
	}
}

// once reports whether a proposal is due: not made yet, or long ago and no
// longer in line.
func (c *Controller) once(now time.Time, key string) bool {
	if _, ok := c.proposed[key]; ok && c.out.Waiting() > 0 {
		return false
	}
	return c.due(now, key)
}

// due reports whether something wasn't done lately, and notes that it is
// done now.
func (c *Controller) due(now time.Time, key string) bool {
	if at, ok := c.proposed[key]; ok && now.Sub(at) < repropose {
		return false
	}
	c.proposed[key] = now
	return true
}
