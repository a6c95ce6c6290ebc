// Package zone folds the record stream of one availability zone into the state
// of its batch work: tasks, workers, groups and the instances that write.
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
// Apply is deterministic: instances that apply the same records from the same
// start hold the same state, and a record that violates a rule is void at each
// of them. The clock is the time of the records, never that of the reader. The
// settings (see Option) are part of the state and of its snapshots, so every
// instance must be given the same ones.
//
// The state is bounded by the number of live tasks (WithMaxTasks) and ended
// tasks (WithMaxEnded), by their encoded size (WithMaxBytes), and by constant
// numbers of workers, instances and limits. Additions above a bound are refused
// with Full; ended tasks make room instead, the oldest first. An ended task is
// also forgotten after WithRetention; if it is submitted again later, it runs
// again.
//
// A State is not safe for concurrent use. It must not be changed while one
// of its iterators runs.
package zone

//go:generate go tool stringer -type=Effect,Reason,TaskState -output=strings.go
