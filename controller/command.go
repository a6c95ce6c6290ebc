package controller

import (
	"cmp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/follower"
	"github.com/dogwoodladder/dogwoodladder/manifest"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// command is an operator's or caller's command that is answered once its
// record is read back.
type command struct {
	id        uint64
	expiresAt time.Time
}

// handleSubmit queues tasks. A task is accepted once the stream holds it.
func (c *Controller) handleSubmit(now time.Time, in Submit) {
	if err := c.checkWritable(now); err != nil {
		c.emit(Answer{ID: in.ID, Err: err})
		return
	}
	if err := c.validateTasks(in.Tasks); err != nil {
		c.emit(Answer{ID: in.ID, Err: err})
		return
	}
	c.appendCommand(now, in.ID, record.Record{Submit: &record.Submit{Tasks: in.Tasks}})
}

func (c *Controller) handleCancel(now time.Time, in Cancel) {
	if err := c.checkWritable(now); err != nil {
		c.emit(Answer{ID: in.ID, Err: err})
		return
	}
	c.appendCommand(now, in.ID, record.Record{Cancel: &record.Cancel{Tasks: in.Tasks, Jobs: in.Jobs}})
}

// checkWritable rejects a command that has no chance of being recorded soon.
func (c *Controller) checkWritable(now time.Time) error {
	if c.leaving {
		return fault.New(fault.Leaving, "instance %s is shutting down", c.self.ID)
	}
	if !c.follower.Ready() || now.Sub(c.follower.TailReadAt()) > c.timing.CommandTimeout {
		return fault.New(fault.Unavailable, "the log service can't be reached")
	}
	return nil
}

func (c *Controller) validateTasks(tasks []record.Task) error {
	if len(tasks) == 0 {
		return fault.New(fault.Invalid, "no tasks")
	}
	for _, t := range tasks {
		if t.ID == "" || strings.Contains(t.ID, "/") {
			return fault.New(fault.Invalid, "task %q: the ID is empty or contains a slash, which is reserved for declared jobs and replicas", t.ID)
		}
		if t.Need.IsZero() || t.Need.IsNegative() {
			return fault.New(fault.Invalid, "task %q: invalid need %v", t.ID, t.Need)
		}
		if c.manifest == nil || !c.hasGroup(t.Group) {
			return fault.New(fault.NotFound, "task %q: no group %q", t.ID, t.Group)
		}
	}
	return nil
}

func (c *Controller) hasGroup(name string) bool {
	return slices.ContainsFunc(c.manifest.Groups, func(g manifest.Group) bool { return g.Name == name })
}

// appendCommand appends a command's record. The command is answered once the
// record is read back.
func (c *Controller) appendCommand(now time.Time, id uint64, r record.Record) {
	sequence, err := c.appender.Add(r)
	if err != nil {
		c.emit(Answer{ID: id, Err: err})
		return
	}
	c.commands[sequence] = &command{id: id, expiresAt: now.Add(c.timing.CommandTimeout)}
	c.flushAppends(now)
}

func (c *Controller) answerCommand(now time.Time, a follower.Applied) {
	cmd, ok := c.commands[a.Record.Sequence]
	if !ok {
		return
	}
	delete(c.commands, a.Record.Sequence)
	if err := cmp.Or(refusedTasksError(a), notCancelledError(a)); err != nil {
		c.emit(Answer{ID: cmd.id, Err: err})
		return
	}
	if a.Outcome.Effect == zone.Void && len(a.Outcome.Refused) == 0 {
		c.emit(Answer{ID: cmd.id, Err: fault.New(fault.Conflict, "%s %s", a.Outcome.Reason, a.Outcome.Detail)})
		return
	}
	c.emit(Answer{ID: cmd.id})
}

// refusedTasksError returns an error when applying a submission refused some
// of its tasks. Tasks that are already known don't count: a repeated
// submission is valid. When a part of the tasks was accepted, the error is of
// kind fault.MayHaveRun.
func refusedTasksError(a follower.Applied) error {
	if a.Record.Submit == nil {
		return nil
	}
	var refused []string
	for _, r := range a.Outcome.Refused {
		if r.Reason != zone.KnownTask {
			refused = append(refused, r.Task+" "+r.Reason.String())
		}
	}
	switch {
	case len(refused) == 0:
		return nil
	case a.Outcome.Effect == zone.Void:
		return fault.New(fault.Conflict, "no task was accepted: %s", strings.Join(refused, ", "))
	}
	return fault.New(fault.MayHaveRun, "only a part of the tasks was accepted, refused were: %s", strings.Join(refused, ", "))
}

// notCancelledError returns an error when applying a cancellation found no such task or job. A
// submission of it may still be under way, and would take effect.
func notCancelledError(a follower.Applied) error {
	if a.Record.Cancel == nil {
		return nil
	}
	var unknown []string
	for _, r := range a.Outcome.Refused {
		if r.Reason == zone.UnknownTask || r.Reason == zone.UnknownJob {
			unknown = append(unknown, strconv.Quote(r.Task))
		}
	}
	const hint = "a submission that is still under way would take effect: repeat it, and cancel again once it is answered"
	switch {
	case len(unknown) == 0:
		return nil
	case a.Outcome.Effect == zone.Void:
		return fault.New(fault.NotFound, "nothing was cancelled, not on record are %s; %s", strings.Join(unknown, ", "), hint)
	}
	return fault.New(fault.MayHaveRun, "only a part was cancelled, not on record are %s; %s", strings.Join(unknown, ", "), hint)
}

// expireCommands fails the commands that the log didn't accept in time. A
// command whose record was never sent did not run; for the others the outcome
// is unknown.
func (c *Controller) expireCommands(now time.Time) {
	c.config.expirePublications(c, now)
	for _, sequence := range c.pendingCommands() {
		cmd := c.commands[sequence]
		if now.Before(cmd.expiresAt) {
			continue
		}
		delete(c.commands, sequence)
		if c.appender.Withdraw(sequence) {
			c.emit(Answer{ID: cmd.id, Err: fault.New(fault.Unavailable, "the log service accepted no record in time")})
			continue
		}
		c.emit(Answer{ID: cmd.id, Err: fault.New(fault.MayHaveRun, "the log service didn't answer; repeating the same command is safe")})
	}
}

// failCommands fails all commands when a new incarnation starts.
func (c *Controller) failCommands() {
	for _, sequence := range c.pendingCommands() {
		c.emit(Answer{ID: c.commands[sequence].id, Err: fault.New(fault.MayHaveRun, "the instance was fenced")})
	}
}

// pendingCommands returns the record sequences of the waiting commands in
// order.
func (c *Controller) pendingCommands() []uint64 {
	sequences := make([]uint64, 0, len(c.commands))
	for sequence := range c.commands {
		sequences = append(sequences, sequence)
	}
	sort.Slice(sequences, func(i, j int) bool { return sequences[i] < sequences[j] })
	return sequences
}
