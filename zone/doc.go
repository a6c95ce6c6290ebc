// Package zone folds one availability zone's stream into the state of its
// batch work: tasks, workers, groups and the instances that write.
//
// Usage:
//
//	state := zone.New("a")
//	for _, entry := range page.Entries {
//		r, err := record.Decode(entry.Data)
//		if err != nil {
//			return err
//		}
//		outcome := state.Apply(entry.Offset, entry.Time, r)
//	}
//
// Apply is deterministic: every instance that applies the same records from
// the same start holds the same state, and a record that would break a rule
// is void at every one of them. Time is the record's, never the reader's. The
// settings of the fold (see Option) are part of the state and of its
// snapshots, so every instance must be given the same ones.
//
// The state is bounded: by tasks that haven't ended and that have (WithMaxTasks,
// WithMaxEnded), by their encoded size (WithMaxBytes), and by constant numbers
// of workers, instances and limits. What is above a bound is refused with Full,
// but for ended tasks, of which the oldest is forgotten. An ended task is
// forgotten after WithRetention too; submitted again later, it runs again.
//
// A State is not safe for concurrent use. It must not be changed while one
// of its iterators runs.
package zone

//go:generate go tool stringer -type=Effect,Reason,TaskState -output=strings.go
