package dispatcher

import (
	"context"
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/tail"
)

// aggregatedWait is how long a read of stream catalog.Aggregated waits for records. The stream
// is idle while the store is fast, and then costs each reader one call in that time.
const aggregatedWait = 2500 * time.Millisecond

// maxReadyAggregatedAge is maxReadyAge for stream catalog.Aggregated.
const maxReadyAggregatedAge = aggregatedWait + time.Second

// WithAggregatedStream makes the dispatcher follow stream catalog.Aggregated beside
// catalog.Accepts.
//
// Either all instances of a cell have this option or none. An owner without it doesn't know
// the jobs that only stream catalog.Aggregated has: it starts none of their tasks, answers
// that there are no such jobs, stops their runs, and deletes their progress as that of deleted
// jobs. So an instance has it wherever another one may write to that stream, whether or not it
// writes there itself. It is removed from a cell only while the stream has no jobs: counter
// records_aggregated hasn't grown at any instance since before the oldest job that isn't
// forgotten yet was submitted (jobs are forgotten cell.Timing.JobRetention after their end).
// While the option is being added to a cell, jobs that are accepted through an aggregator start
// once an instance with the option owns the cell.
func WithAggregatedStream() Option {
	return func(d *Dispatcher) { d.followsAggregated = true }
}

// WithAggregator makes the dispatcher follow stream catalog.Aggregated, as WithAggregatedStream
// does, and write to it on behalf of other instances: see Aggregator.
func WithAggregator() Option {
	return func(d *Dispatcher) {
		d.followsAggregated = true
		d.isAggregator = true
	}
}

// jobTails follow the streams of accepted and cancelled jobs as if they were one.
type jobTails struct {
	accepts    *tail.Tail
	aggregated *tail.Tail // nil without WithAggregatedStream
}

// newJobTails returns the tails that fold the streams into the catalog.
func (d *Dispatcher) newJobTails() *jobTails {
	c := d.catalog
	t := &jobTails{accepts: d.newTail(catalog.Accepts, d.foldInto(catalog.Accepts, c.Accept, c.RetainAccepts), tail.WithSpacing(acceptsSpacing))}
	if d.followsAggregated {
		t.aggregated = d.newTail(catalog.Aggregated, d.foldInto(catalog.Aggregated, c.AcceptAggregated, c.RetainAggregated),
			tail.WithSpacing(acceptsSpacing), tail.WithWait(aggregatedWait))
	}
	return t
}

// all returns the tails.
func (t *jobTails) all() []*tail.Tail {
	if t.aggregated == nil {
		return []*tail.Tail{t.accepts}
	}
	return []*tail.Tail{t.accepts, t.aggregated}
}

// Refresh reads all streams concurrently up to the ends that they have at the time of the call.
func (t *jobTails) Refresh(ctx context.Context) error {
	if t.aggregated == nil {
		return t.accepts.Refresh(ctx)
	}
	aggregated := make(chan error, 1)
	go func() { aggregated <- t.aggregated.Refresh(ctx) }()
	err := t.accepts.Refresh(ctx)
	if other := <-aggregated; err == nil {
		err = other
	}
	return err
}

// IsLoaded reports whether all streams have been loaded.
func (t *jobTails) IsLoaded() bool {
	return t.accepts.IsLoaded() && (t.aggregated == nil || t.aggregated.IsLoaded())
}

// Failing reports whether the last read of any stream failed.
func (t *jobTails) Failing() bool {
	return t.accepts.Failing() || t.aggregated != nil && t.aggregated.Failing()
}

// isAnswered reports whether the store answered recent reads of all streams.
func (t *jobTails) isAnswered() bool {
	return t.accepts.Age() < maxReadyAge && (t.aggregated == nil || t.aggregated.Age() < maxReadyAggregatedAge)
}

// SetSpacing changes the least time between two reads of a stream.
func (t *jobTails) SetSpacing(spacing time.Duration) {
	for _, s := range t.all() {
		s.SetSpacing(spacing)
	}
}

// Pause pauses or resumes all readers.
func (t *jobTails) Pause(paused bool) {
	for _, s := range t.all() {
		s.Pause(paused)
	}
}
