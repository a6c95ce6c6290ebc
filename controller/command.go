package controller

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/follower"
	"github.com/dogwoodladder/dogwoodladder/manifest"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// command waits for its record to be read back.
type command struct {
	id      uint64
	expires time.Time
}

// submit queues tasks. A task is accepted once the stream holds it.
func (c *Controller) submit(now time.Time, in Submit) {
	if err := c.mayWrite(now); err != nil {
		c.do(Answer{ID: in.ID, Err: err})
		return
	}
	if err := c.checkTasks(in.Tasks); err != nil {
		c.do(Answer{ID: in.ID, Err: err})
		return
	}
	c.await(now, in.ID, record.Record{Submit: &record.Submit{Tasks: in.Tasks}})
}

func (c *Controller) cancel(now time.Time, in Cancel) {
	if err := c.mayWrite(now); err != nil {
		c.do(Answer{ID: in.ID, Err: err})
		return
	}
	c.await(now, in.ID, record.Record{Cancel: &record.Cancel{Tasks: in.Tasks, Jobs: in.Jobs}})
}

// mayWrite refuses a command that has no chance of being recorded soon.
func (c *Controller) mayWrite(now time.Time) error {
	if c.leaving {
		return fault.New(fault.Leaving, "instance %s is shutting down", c.self.ID)
	}
	if !c.follow.Ready() || now.Sub(c.follow.Tail()) > c.timing.Command {
		return fault.New(fault.Unavailable, "the log service can't be reached")
	}
	return nil
}

func (c *Controller) checkTasks(tasks []record.Task) error {
	if len(tasks) == 0 {
		return fault.New(fault.Invalid, "no tasks")
	}
	for _, t := range tasks {
		if t.ID == "" || strings.Contains(t.ID, "/") {
			return fault.New(fault.Invalid, "task %q: the ID is empty or holds a slash, which is kept for declared jobs and replicas", t.ID)
		}
		if t.Need.IsZero() || t.Need.IsNegative() {
			return fault.New(fault.Invalid, "task %q: need %v", t.ID, t.Need)
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

// await writes a command's record and answers once it is read back.
func (c *Controller) await(now time.Time, id uint64, r record.Record) {
	sequence, err := c.out.Add(r)
	if err != nil {
		c.do(Answer{ID: id, Err: err})
		return
	}
	c.commands[sequence] = &command{id: id, expires: now.Add(c.timing.Command)}
	c.flush(now)
}

func (c *Controller) answerCommand(now time.Time, a follower.Applied) {
	cmd, ok := c.commands[a.Record.Sequence]
	if !ok {
		return
	}
	delete(c.commands, a.Record.Sequence)
	if err := refusedTask(a); err != nil {
		c.do(Answer{ID: cmd.id, Err: err})
		return
	}
	if a.Outcome.Effect == zone.Void && len(a.Outcome.Refused) == 0 {
		c.do(Answer{ID: cmd.id, Err: fault.New(fault.Conflict, "%s %s", a.Outcome.Reason, a.Outcome.Detail)})
		return
	}
	c.do(Answer{ID: cmd.id})
}

// refusedTask returns an error when the fold refused tasks of a submission,
// but for those that it knows already: a repeat is no mistake. Of a record
// that was taken in part the error doesn't say that nothing ran.
func refusedTask(a follower.Applied) error {
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
		return fault.New(fault.Conflict, "no task was taken: %s", strings.Join(refused, ", "))
	}
	return fault.New(fault.MayHaveRun, "not taken, unlike the others: %s", strings.Join(refused, ", "))
}

// expireCommands gives up on commands that the log didn't take in time. One
// whose record was never sent did not run; for the others nobody can tell.
func (c *Controller) expireCommands(now time.Time) {
	c.config.expire(c, now)
	for _, sequence := range c.pending() {
		cmd := c.commands[sequence]
		if now.Before(cmd.expires) {
			continue
		}
		delete(c.commands, sequence)
		if c.out.Withdraw(sequence) {
			c.do(Answer{ID: cmd.id, Err: fault.New(fault.Unavailable, "the log service took no record in time")})
			continue
		}
		c.do(Answer{ID: cmd.id, Err: fault.New(fault.MayHaveRun, "the log service didn't answer; repeating the same command is safe")})
	}
}

// failCommands gives up on all commands when a new run starts.
func (c *Controller) failCommands() {
	for _, sequence := range c.pending() {
		c.do(Answer{ID: c.commands[sequence].id, Err: fault.New(fault.MayHaveRun, "the instance was fenced")})
	}
}

func (c *Controller) pending() []uint64 {
	sequences := make([]uint64, 0, len(c.commands))
	for sequence := range c.commands {
		sequences = append(sequences, sequence)
	}
	sort.Slice(sequences, func(i, j int) bool { return sequences[i] < sequences[j] })
	return sequences
}
