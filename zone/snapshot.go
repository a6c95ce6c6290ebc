package zone

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/chart"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// snapshotFormat is the version of the snapshot encoding that this program
// reads and writes.
const snapshotFormat = 1

// maxSnapshot leaves 4096 bytes for the other fields of the snapshot's record.
const maxSnapshot = record.MaxSize - 4096

type snapshot struct {
	Format           uint                  `cbor:"0,keyasint"`
	AvailabilityZone string                `cbor:"1,keyasint"`
	Settings         settings              `cbor:"2,keyasint"`
	Next             uint64                `cbor:"3,keyasint"`
	Now              int64                 `cbor:"4,keyasint"`
	SweepAt          int64                 `cbor:"5,keyasint"`
	Revision         uint64                `cbor:"6,keyasint"`
	Serial           uint64                `cbor:"7,keyasint"`
	Groups           []snapshotGroup       `cbor:"8,keyasint"`  // by name
	Runs             []snapshotIncarnation `cbor:"9,keyasint"`  // by ID, then incarnation
	Workers          []snapshotWorker      `cbor:"10,keyasint"` // by ID
	Incarnations     bool                  `cbor:"12,keyasint,omitempty"`
	Tasks            []snapshotTask        `cbor:"11,keyasint"` // live ones in the order of submission, then ended ones in the order of ending
}

type snapshotGroup struct {
	Name    string `cbor:"1,keyasint"`
	Limited bool   `cbor:"2,keyasint,omitempty"`
	Group   Group  `cbor:"3,keyasint"`
}

type snapshotIncarnation struct {
	Writer   record.Writer `cbor:"1,keyasint"`
	Sequence uint64        `cbor:"2,keyasint"`
	Seen     int64         `cbor:"3,keyasint"`
	Fenced   bool          `cbor:"4,keyasint,omitempty"`
	FencedAt uint64        `cbor:"5,keyasint,omitempty"`
}

type snapshotWorker struct {
	ID       string          `cbor:"1,keyasint"`
	Rack     string          `cbor:"2,keyasint,omitempty"`
	Owner    int             `cbor:"3,keyasint,omitempty"` // 1 + index of a run
	Epoch    uint64          `cbor:"4,keyasint"`
	Capacity resource.Vector `cbor:"5,keyasint"`
	Recorded int64           `cbor:"6,keyasint"`
	Until    int64           `cbor:"7,keyasint,omitempty"`
	Streak   []string        `cbor:"8,keyasint,omitempty"`
}

type snapshotTask struct {
	ID         string          `cbor:"1,keyasint"`
	Job        string          `cbor:"2,keyasint,omitempty"`
	Group      int             `cbor:"3,keyasint,omitempty"` // index
	Need       resource.Vector `cbor:"4,keyasint"`
	Command    string          `cbor:"5,keyasint,omitempty"`
	Duration   time.Duration   `cbor:"6,keyasint,omitempty"`
	Urgent     bool            `cbor:"7,keyasint,omitempty"`
	State      chart.State     `cbor:"8,keyasint,omitempty"`
	Attempt    uint32          `cbor:"9,keyasint"`
	Owner      int             `cbor:"10,keyasint,omitempty"` // 1 + index of a run
	Checkpoint string          `cbor:"11,keyasint,omitempty"`
	Note       string          `cbor:"12,keyasint,omitempty"`
	Worker     string          `cbor:"13,keyasint,omitempty"`
	Blames     []int           `cbor:"14,keyasint,omitempty"` // indexes of workers
	Serial     uint64          `cbor:"15,keyasint,omitempty"`
	Submitted  int64           `cbor:"16,keyasint"`
	Ended      int64           `cbor:"17,keyasint,omitempty"`
	Suspect    bool            `cbor:"18,keyasint,omitempty"`
	Failures   uint32          `cbor:"19,keyasint,omitempty"`
	Declared   bool            `cbor:"20,keyasint,omitempty"`
	Found      bool            `cbor:"21,keyasint,omitempty"`
}

var snapshotEncoder = newSnapshotEncoder()

func newSnapshotEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Snapshot returns the state in CBOR. Equal states give equal bytes. It fails
// with fault.TooLarge if the state doesn't fit in a record, which can't happen
// with the default settings.
func (s *State) Snapshot() ([]byte, error) {
	data, err := snapshotEncoder.Marshal(s.toSnapshot())
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode snapshot")
	}
	if len(data) > maxSnapshot {
		return nil, fault.New(fault.TooLarge, "snapshot of %d bytes, limit %d", len(data), maxSnapshot)
	}
	return data, nil
}

func (s *State) toSnapshot() snapshot {
	m := snapshot{
		Format:           snapshotFormat,
		AvailabilityZone: s.availabilityZone,
		Settings:         s.settings,
		Next:             s.next,
		Now:              s.now,
		SweepAt:          s.sweepAt,
		Revision:         s.revision,
		Serial:           s.serial,
		Incarnations:     s.checksIncarnations,
	}
	groups := map[*group]int{}
	for name := range s.Groups() {
		g := s.groups[name]
		groups[g] = len(m.Groups)
		m.Groups = append(m.Groups, snapshotGroup{g.name, g.hasLimit, g.Group})
	}
	runs := map[*incarnation]int{}
	for _, r := range s.sortedIncarnations() {
		m.Runs = append(m.Runs, snapshotIncarnation{r.writer, r.sequence, r.lastRecordAt, r.fenced, r.fencedAt})
		runs[r] = len(m.Runs)
	}
	workers := map[*worker]int{}
	for _, w := range s.sortedWorkers() {
		workers[w] = len(m.Workers)
		m.Workers = append(m.Workers, snapshotWorker{
			w.id, w.rack, runs[w.owner], w.epoch, w.capacity, w.recordedAt, w.quarantinedUntil, w.failureStreak,
		})
	}
	for _, t := range slices.Concat(s.liveTasks(), s.ended) {
		image := snapshotTask{
			t.id, t.job, groups[t.group], t.need, t.command, t.duration, t.urgent, t.state, t.attempt, runs[t.owner],
			t.checkpoint, t.message, t.worker, nil, t.serial, t.submittedAt, t.endedAt, t.hasFailed, t.failures, t.declared, t.foundOnWorker,
		}
		for _, w := range s.failedOn[t] {
			image.Blames = append(image.Blames, workers[w])
		}
		m.Tasks = append(m.Tasks, image)
	}
	return m
}

// liveTasks returns the tasks that haven't ended in the order of submission.
func (s *State) liveTasks() []*task {
	tasks := make([]*task, 0, s.liveCount())
	for _, t := range s.tasks {
		if !isEnded(t.state) {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, func(a, b *task) int { return cmp.Compare(a.serial, b.serial) })
	return tasks
}
