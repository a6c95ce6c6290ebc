package zone

import (
	"slices"
	"strings"

	"github.com/dogwoodladder/dogwoodladder/chart"
	"github.com/dogwoodladder/dogwoodladder/record"
)

// add makes a submitted task known and queues it.
func (s *State) add(r record.Task) *task {
	s.serial++
	t := &task{
		id: r.ID, job: r.Job, command: r.Command, need: r.Need, duration: r.Duration, urgent: r.Urgent, declared: r.Declared,
		group: s.group(r.Group), serial: s.serial, submitted: s.now, attempt: 1, state: taskChart.Initial(),
	}
	t.group.Submitted++
	s.insert(t)
	return t
}

// insert puts a task with all its fields set where its state says.
func (s *State) insert(t *task) {
	s.tasks[t.id] = t
	s.bytes += t.size()
	t.group.tasks++
	if ended(t.state) {
		s.ended = append(s.ended, t)
		s.endedBytes += t.size()
		return
	}
	s.link(t)
	s.enter(t)
}

// move takes a task to a state, and into the escrow of owner unless nil.
func (s *State) move(t *task, next chart.State, owner *run) {
	s.leave(t)
	t.state = next
	t.owner = owner
	if ended(next) {
		s.end(t)
		return
	}
	s.enter(t)
}

func (s *State) leave(t *task) {
	t.group.count(t.state, t.need, -1)
	if t.state == stateQueued {
		s.queue.remove(t)
	}
	if inEscrow(t.state) {
		t.owner.escrow.remove(t)
		t.owner.used = t.owner.used.Sub(t.need)
	}
}

func (s *State) enter(t *task) {
	t.group.count(t.state, t.need, 1)
	if t.state == stateQueued {
		s.queue.insert(t)
	}
	if inEscrow(t.state) {
		t.owner.escrow.insert(t)
		t.owner.used = t.owner.used.Add(t.need)
	}
}

func (s *State) end(t *task) {
	s.unlink(t)
	s.unblame(t)
	s.bytes -= t.size()
	t.command = ""
	t.checkpoint = ""
	t.serial = 0
	t.ended = s.now
	if t.state == stateDone {
		t.group.Done++
	} else {
		t.group.Cancelled++
	}
	s.bytes += t.size()
	s.endedBytes += t.size()
	s.ended = append(s.ended, t)
}

// forget drops the ended task that is kept longest.
func (s *State) forget() {
	s.drop(0)
}

// drop forgets the ended task at an index.
func (s *State) drop(i int) {
	t := s.ended[i]
	if i == 0 {
		s.ended[0] = nil
		s.ended = s.ended[1:]
	} else {
		s.ended = slices.Delete(s.ended, i, i+1)
	}
	delete(s.tasks, t.id)
	s.bytes -= t.size()
	s.endedBytes -= t.size()
	t.group.tasks--
	if t.group.unused() {
		delete(s.groups, t.group.name)
	}
}

// live returns the number of tasks that haven't ended.
func (s *State) live() int {
	return len(s.tasks) - len(s.ended)
}

// roomFor reports whether what is known of live tasks may grow by n bytes.
func (s *State) roomFor(n int) bool {
	return s.bytes-s.endedBytes+n <= s.settings.MaxBytes+maxGrowth
}

func (s *State) setWorker(t *task, id string) {
	if w := s.workers[id]; w != nil {
		id = w.id // share the bytes
	}
	if len(id) > maxName || !s.roomFor(len(id)) {
		return
	}
	s.bytes += len(id) - len(t.worker)
	t.worker = id
}

func (s *State) setCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" || len(checkpoint) > maxCheckpoint || !s.roomFor(len(checkpoint)) {
		return
	}
	s.bytes += len(checkpoint) - len(t.checkpoint)
	t.checkpoint = checkpoint
}

func (s *State) setNote(t *task, note string) {
	if len(note) > maxNote {
		note = strings.ToValidUTF8(strings.Clone(note[:maxNote]), "")
	}
	if !s.roomFor(len(note)) {
		return
	}
	s.bytes += len(note) - len(t.note)
	t.note = note
}

// link adds a task to the ring of its job.
func (s *State) link(t *task) {
	if t.job == "" {
		return
	}
	first := s.jobs[t.job]
	if first == nil {
		t.before, t.after = t, t
		s.jobs[t.job] = t
		return
	}
	t.before, t.after = first.before, first
	first.before.after = t
	first.before = t
}

func (s *State) unlink(t *task) {
	if t.job == "" {
		return
	}
	if t.after == t {
		delete(s.jobs, t.job)
	} else if s.jobs[t.job] == t {
		s.jobs[t.job] = t.after
	}
	t.before.after = t.after
	t.after.before = t.before
	t.before, t.after = nil, nil
}

// ofJob returns the tasks of a job that haven't ended, in the order of
// submission.
func (s *State) ofJob(job string) []*task {
	first := s.jobs[job]
	if first == nil {
		return nil
	}
	tasks := []*task{first}
	for t := first.after; t != first; t = t.after {
		tasks = append(tasks, t)
	}
	return tasks
}
