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

// Restore returns the state held in a snapshot, with the settings that it
// was folded by. Applying the records after the snapshot gives the state that
// applying all records gives.
func Restore(data []byte) (*State, error) {
	var head struct {
		Format uint `cbor:"0,keyasint"`
	}
	if err := snapshotDecoder.Unmarshal(data, &head); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "decode snapshot")
	}
	if head.Format != snapshotFormat {
		return nil, fault.New(fault.Invalid, "snapshot format %d, known %d", head.Format, snapshotFormat)
	}
	var m snapshot
	if err := snapshotDecoder.Unmarshal(data, &m); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "decode snapshot")
	}
	return m.restore()
}

// restorer rebuilds a state from an image, whose indexes it resolves.
type restorer struct {
	*State
	image      *snapshot
	groupsAt   []*group
	runsAt     []*run
	workersAt  []*worker
	lastSerial uint64
}

func (m *snapshot) restore() (*State, error) {
	s := New(m.AvailabilityZone)
	s.settings = m.Settings
	s.next = m.Next
	s.now = m.Now
	s.sweepAt = m.SweepAt
	s.revision = m.Revision
	s.serial = m.Serial
	r := &restorer{State: s, image: m}
	for _, step := range []func() error{r.restoreGroups, r.restoreRuns, r.restoreWorkers, r.restoreTasks} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (r *restorer) restoreGroups() error {
	for _, image := range r.image.Groups {
		if !validName(image.Name) || r.groups[image.Name] != nil {
			return damaged("group", image.Name)
		}
		g := r.group(image.Name)
		g.Group = image.Group
		g.limited = image.Limited
		r.groupsAt = append(r.groupsAt, g)
	}
	return nil
}

func (r *restorer) restoreRuns() error {
	for _, image := range r.image.Runs {
		w := image.Writer
		i := r.instances[w.ID]
		if i == nil {
			i = &instance{}
			r.instances[w.ID] = i
		}
		if !validName(w.ID) || len(i.runs) > 0 && i.newest().writer.Incarnation >= w.Incarnation {
			return damaged("instance", w.ID)
		}
		by := &run{
			writer: w, sequence: image.Sequence, seen: image.Seen, fenced: image.Fenced, fencedAt: image.FencedAt,
			workers: map[string]*worker{},
		}
		i.runs = append(i.runs, by)
		r.runsAt = append(r.runsAt, by)
	}
	return nil
}

func (r *restorer) restoreWorkers() error {
	for _, image := range r.image.Workers {
		owner, ok := r.runAt(image.Owner)
		if !ok || !validName(image.ID) || r.workers[image.ID] != nil || !validAmount(image.Capacity) {
			return damaged("worker", image.ID)
		}
		w := &worker{
			id: image.ID, rack: image.Rack, epoch: image.Epoch, capacity: image.Capacity,
			recorded: image.Recorded, until: image.Until, streak: image.Streak,
		}
		r.workers[w.id] = w
		r.workersAt = append(r.workersAt, w)
		if owner != nil {
			owner.take(w)
		}
		if w.quarantined() {
			r.quarantine = append(r.quarantine, w)
		}
	}
	slices.SortStableFunc(r.quarantine, func(a, b *worker) int { return cmp.Compare(a.until, b.until) })
	return nil
}

func (r *restorer) restoreTasks() error {
	for i := range r.image.Tasks {
		image := &r.image.Tasks[i]
		t, ok := r.task(image)
		if !ok {
			return damaged("task", image.ID)
		}
		r.insert(t)
		for _, at := range image.Blames {
			if at < 0 || at >= len(r.workersAt) || ended(t.state) {
				return damaged("failure of task", image.ID)
			}
			r.setBlame(r.workersAt[at], t)
		}
	}
	return nil
}

// task returns the task of an image if its fields agree with each other and
// with the tasks before it.
func (r *restorer) task(image *snapshotTask) (*task, bool) {
	owner, ok := r.runAt(image.Owner)
	if !ok || image.Group < 0 || image.Group >= len(r.groupsAt) {
		return nil, false
	}
	if !validName(image.ID) || r.tasks[image.ID] != nil || !validAmount(image.Need) {
		return nil, false
	}
	if int(image.State) >= len(taskStates) || inEscrow(image.State) != (owner != nil) {
		return nil, false
	}
	if !r.inOrder(image) {
		return nil, false
	}
	return &task{
		id: image.ID, job: image.Job, command: image.Command, checkpoint: image.Checkpoint, note: image.Note,
		worker: r.shared(image.Worker), need: image.Need, duration: image.Duration, group: r.groupsAt[image.Group],
		owner: owner, serial: image.Serial, submitted: image.Submitted, ended: image.Ended, attempt: image.Attempt,
		state: image.State, urgent: image.Urgent, suspect: image.Suspect, failures: image.Failures, declared: image.Declared, found: image.Found,
	}, true
}

// inOrder reports whether a live task comes after the ones submitted before
// it, and an ended one after all live ones and those that ended before.
func (r *restorer) inOrder(image *snapshotTask) bool {
	if ended(image.State) {
		return image.Serial == 0 && (len(r.ended) == 0 || r.ended[len(r.ended)-1].ended <= image.Ended)
	}
	ok := len(r.ended) == 0 && image.Serial > r.lastSerial && image.Serial <= r.serial
	r.lastSerial = image.Serial
	return ok
}

func (r *restorer) shared(worker string) string {
	if w := r.workers[worker]; w != nil {
		return w.id
	}
	return worker
}

// runAt returns the run of 1 + index, and nil of 0.
func (r *restorer) runAt(at int) (*run, bool) {
	if at < 0 || at > len(r.runsAt) {
		return nil, false
	}
	if at == 0 {
		return nil, true
	}
	return r.runsAt[at-1], true
}

func damaged(what, id string) error {
	return fault.New(fault.Invalid, "snapshot: %s %q doesn't fit the rest", what, id)
}
