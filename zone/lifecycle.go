package zone

import (
	"slices"
	"strings"

	"github.com/dogwoodladder/dogwoodladder/chart"
	"github.com/dogwoodladder/dogwoodladder/record"
)

// addTask adds a submitted task and queues it.
func (s *State) addTask(r record.Task) *task {
	s.serial++
	t := &task{
		id: r.ID, job: r.Job, command: r.Command, need: r.Need, duration: r.Duration, urgent: r.Urgent, declared: r.Declared,
		group: s.ensureGroup(r.Group), serial: s.serial, submittedAt: s.now, attempt: 1, state: taskChart.Initial(),
	}
	t.group.Submitted++
	s.insertTask(t)
	return t
}

// insertTask adds a complete task to the indexes that its state belongs to.
func (s *State) insertTask(t *task) {
	s.tasks[t.id] = t
	s.bytes += t.encodedSize()
	t.group.taskCount++
	if isEnded(t.state) {
		s.ended = append(s.ended, t)
		s.endedBytes += t.encodedSize()
		return
	}
	s.linkToJob(t)
	s.addToIndexes(t)
}

// transition takes a task to a state, and into the escrow of owner unless nil.
func (s *State) transition(t *task, next chart.State, owner *incarnation) {
	s.removeFromIndexes(t)
	t.state = next
	t.owner = owner
	if isEnded(next) {
		s.endTask(t)
		return
	}
	s.addToIndexes(t)
}

// removeFromIndexes takes a task out of the queue or escrow of its state.
func (s *State) removeFromIndexes(t *task) {
	t.group.addTasks(t.state, t.need, -1)
	if t.state == stateQueued {
		s.queue.remove(t)
	}
	if isInEscrow(t.state) {
		t.owner.escrow.remove(t)
		t.owner.used = t.owner.used.Sub(t.need)
	}
}

// addToIndexes adds a task to the queue or escrow of its state.
func (s *State) addToIndexes(t *task) {
	t.group.addTasks(t.state, t.need, 1)
	if t.state == stateQueued {
		s.queue.insert(t)
	}
	if isInEscrow(t.state) {
		t.owner.escrow.insert(t)
		t.owner.used = t.owner.used.Add(t.need)
	}
}

func (s *State) endTask(t *task) {
	s.unlinkFromJob(t)
	s.clearFailures(t)
	s.bytes -= t.encodedSize()
	t.command = ""
	t.checkpoint = ""
	t.serial = 0
	t.endedAt = s.now
	if t.state == stateDone {
		t.group.Done++
	} else {
		t.group.Cancelled++
	}
	s.bytes += t.encodedSize()
	s.endedBytes += t.encodedSize()
	s.ended = append(s.ended, t)
}

// forgetOldestEnded forgets the first of the ended tasks.
func (s *State) forgetOldestEnded() {
	s.forgetEnded(0)
}

// forgetEnded forgets the ended task at an index.
func (s *State) forgetEnded(i int) {
	t := s.ended[i]
	if i == 0 {
		s.ended[0] = nil
		s.ended = s.ended[1:]
	} else {
		s.ended = slices.Delete(s.ended, i, i+1)
	}
	delete(s.tasks, t.id)
	s.bytes -= t.encodedSize()
	s.endedBytes -= t.encodedSize()
	t.group.taskCount--
	if t.group.isUnused() {
		delete(s.groups, t.group.name)
	}
}

// liveCount returns the number of tasks that haven't ended.
func (s *State) liveCount() int {
	return len(s.tasks) - len(s.ended)
}

// canGrow reports whether the encoded size of the live tasks may grow by n
// bytes.
func (s *State) canGrow(n int) bool {
	return s.bytes-s.endedBytes+n <= s.settings.MaxBytes+maxGrowth
}

func (s *State) setWorker(t *task, id string) {
	if w := s.workers[id]; w != nil {
		id = w.id // reuse the string of the worker
	}
	if len(id) > maxName || !s.canGrow(len(id)) {
		return
	}
	s.bytes += len(id) - len(t.worker)
	t.worker = id
}

func (s *State) setCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" || len(checkpoint) > maxCheckpoint || !s.canGrow(len(checkpoint)) {
		return
	}
	s.bytes += len(checkpoint) - len(t.checkpoint)
	t.checkpoint = checkpoint
}

func (s *State) setMessage(t *task, message string) {
	if len(message) > maxMessage {
		message = strings.ToValidUTF8(strings.Clone(message[:maxMessage]), "")
	}
	if !s.canGrow(len(message)) {
		return
	}
	s.bytes += len(message) - len(t.message)
	t.message = message
}

// linkToJob adds a task to the end of the circular list of its job's live tasks.
func (s *State) linkToJob(t *task) {
	if t.job == "" {
		return
	}
	first := s.jobs[t.job]
	if first == nil {
		t.prevInJob, t.nextInJob = t, t
		s.jobs[t.job] = t
		return
	}
	t.prevInJob, t.nextInJob = first.prevInJob, first
	first.prevInJob.nextInJob = t
	first.prevInJob = t
}

func (s *State) unlinkFromJob(t *task) {
	if t.job == "" {
		return
	}
	if t.nextInJob == t {
		delete(s.jobs, t.job)
	} else if s.jobs[t.job] == t {
		s.jobs[t.job] = t.nextInJob
	}
	t.prevInJob.nextInJob = t.nextInJob
	t.nextInJob.prevInJob = t.prevInJob
	t.prevInJob, t.nextInJob = nil, nil
}

// liveTasksOfJob returns the tasks of a job that haven't ended, in the order
// of submission.
func (s *State) liveTasksOfJob(job string) []*task {
	first := s.jobs[job]
	if first == nil {
		return nil
	}
	tasks := []*task{first}
	for t := first.nextInJob; t != first; t = t.nextInJob {
		tasks = append(tasks, t)
	}
	return tasks
}
