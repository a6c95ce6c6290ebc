package zone

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

var snapshotDecoder = newSnapshotDecoder()

func newSnapshotDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Restore returns the state held in a snapshot, with the settings of the
// snapshot. Applying the records after the snapshot gives the same state as
// applying all records from the start.
func Restore(data []byte) (*State, error) {
	var head struct {
		Format uint `cbor:"0,keyasint"`
	}
	if err := snapshotDecoder.Unmarshal(data, &head); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "decode snapshot")
	}
	if head.Format != snapshotFormat {
		return nil, fault.New(fault.Invalid, "snapshot format %d, supported %d", head.Format, snapshotFormat)
	}
	var m snapshot
	if err := snapshotDecoder.Unmarshal(data, &m); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "decode snapshot")
	}
	return m.restore()
}

// restorer rebuilds a state from a snapshot and resolves its indexes.
type restorer struct {
	*State
	snapshot       *snapshot
	groupsAt       []*group
	incarnationsAt []*incarnation
	workersAt      []*worker
	lastSerial     uint64
}

func (m *snapshot) restore() (*State, error) {
	s := New(m.AvailabilityZone)
	s.settings = m.Settings
	s.next = m.Next
	s.now = m.Now
	s.sweepAt = m.SweepAt
	s.revision = m.Revision
	s.serial = m.Serial
	s.checksIncarnations = m.Incarnations
	r := &restorer{State: s, snapshot: m}
	for _, step := range []func() error{r.restoreGroups, r.restoreIncarnations, r.restoreWorkers, r.restoreTasks} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (r *restorer) restoreGroups() error {
	for _, image := range r.snapshot.Groups {
		if !isValidName(image.Name) || r.groups[image.Name] != nil {
			return inconsistent("group", image.Name)
		}
		g := r.ensureGroup(image.Name)
		g.Group = image.Group
		g.hasLimit = image.Limited
		r.groupsAt = append(r.groupsAt, g)
	}
	return nil
}

func (r *restorer) restoreIncarnations() error {
	for _, image := range r.snapshot.Runs {
		w := image.Writer
		i := r.instances[w.ID]
		if i == nil {
			i = &instance{}
			r.instances[w.ID] = i
		}
		if !isValidName(w.ID) || len(i.incarnations) > 0 && i.newest().writer.Incarnation >= w.Incarnation {
			return inconsistent("instance", w.ID)
		}
		restored := &incarnation{
			writer: w, sequence: image.Sequence, lastRecordAt: image.Seen, fenced: image.Fenced, fencedAt: image.FencedAt,
			workers: map[string]*worker{},
		}
		i.incarnations = append(i.incarnations, restored)
		r.incarnationsAt = append(r.incarnationsAt, restored)
	}
	return nil
}

func (r *restorer) restoreWorkers() error {
	for _, image := range r.snapshot.Workers {
		owner, ok := r.incarnationAt(image.Owner)
		if !ok || !isValidName(image.ID) || r.workers[image.ID] != nil || !image.Capacity.IsValid() {
			return inconsistent("worker", image.ID)
		}
		w := &worker{
			id: image.ID, rack: image.Rack, epoch: image.Epoch, capacity: image.Capacity,
			recordedAt: image.Recorded, quarantinedUntil: image.Until, failureStreak: image.Streak,
		}
		r.workers[w.id] = w
		r.workersAt = append(r.workersAt, w)
		if owner != nil {
			owner.addWorker(w)
		}
		if w.isQuarantined() {
			r.quarantined = append(r.quarantined, w)
		}
	}
	slices.SortStableFunc(r.quarantined, func(a, b *worker) int { return cmp.Compare(a.quarantinedUntil, b.quarantinedUntil) })
	return nil
}

func (r *restorer) restoreTasks() error {
	for i := range r.snapshot.Tasks {
		image := &r.snapshot.Tasks[i]
		t, ok := r.restoreTask(image)
		if !ok {
			return inconsistent("task", image.ID)
		}
		r.insertTask(t)
		for _, at := range image.Blames {
			if at < 0 || at >= len(r.workersAt) || isEnded(t.state) {
				return inconsistent("failure of task", image.ID)
			}
			r.addFailure(r.workersAt[at], t)
		}
	}
	return nil
}

// restoreTask returns the task of a snapshot if its fields are consistent with
// each other and with the tasks before it.
func (r *restorer) restoreTask(image *snapshotTask) (*task, bool) {
	owner, ok := r.incarnationAt(image.Owner)
	if !ok || image.Group < 0 || image.Group >= len(r.groupsAt) {
		return nil, false
	}
	if !isValidName(image.ID) || r.tasks[image.ID] != nil || !image.Need.IsValid() {
		return nil, false
	}
	if int(image.State) >= len(taskStates) || isInEscrow(image.State) != (owner != nil) {
		return nil, false
	}
	if !r.isInOrder(image) {
		return nil, false
	}
	return &task{
		id: image.ID, job: image.Job, command: image.Command, checkpoint: image.Checkpoint, message: image.Note,
		worker: r.internWorkerID(image.Worker), need: image.Need, duration: image.Duration, group: r.groupsAt[image.Group],
		owner: owner, serial: image.Serial, submittedAt: image.Submitted, endedAt: image.Ended, attempt: image.Attempt,
		state: image.State, urgent: image.Urgent, hasFailed: image.Suspect, failures: image.Failures, declared: image.Declared, foundOnWorker: image.Found,
	}, true
}

// isInOrder reports whether a live task follows the live ones submitted before
// it, and an ended one follows all live ones and those that ended before it.
func (r *restorer) isInOrder(image *snapshotTask) bool {
	if isEnded(image.State) {
		return image.Serial == 0 && (len(r.ended) == 0 || r.ended[len(r.ended)-1].endedAt <= image.Ended)
	}
	ok := len(r.ended) == 0 && image.Serial > r.lastSerial && image.Serial <= r.serial
	r.lastSerial = image.Serial
	return ok
}

// internWorkerID returns the string that the worker itself holds, if known.
func (r *restorer) internWorkerID(worker string) string {
	if w := r.workers[worker]; w != nil {
		return w.id
	}
	return worker
}

// incarnationAt returns the incarnation at index at-1, and nil for 0. It
// reports whether the index is valid.
func (r *restorer) incarnationAt(at int) (*incarnation, bool) {
	if at < 0 || at > len(r.incarnationsAt) {
		return nil, false
	}
	if at == 0 {
		return nil, true
	}
	return r.incarnationsAt[at-1], true
}

func inconsistent(what, id string) error {
	return fault.New(fault.Invalid, "snapshot: %s %q is inconsistent with the rest", what, id)
}
