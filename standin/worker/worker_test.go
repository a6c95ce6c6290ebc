package worker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/standin/faults"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

// clock is a time source that the test advances.
type clock struct {
	at time.Time
}

func newClock() *clock {
	return &clock{at: time.Unix(1_800_000_000, 0)}
}

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func acquire(t *testing.T, w *worker.Worker, holder string, ttl, tasks time.Duration) provider.Lease {
	t.Helper()
	lease, err := w.Acquire(provider.LeaseRequest{Holder: holder, TTL: ttl, TaskExtension: tasks})
	is.New(t).NoErr(err)
	return lease
}

func batch(id string, attempt uint32, command string) provider.TaskSpec {
	need := resource.Vector{Processors: 1000, Memory: 100}
	return provider.TaskSpec{ID: id, Kind: provider.KindBatch, Group: "batch", Attempt: attempt, Need: need, Command: command}
}

// TestLeaseIsExclusive lets holder a's lease lapse, grants the lease to b, and
// lets a continue under its old epoch. It guards against two entry instances that
// start work on one worker, because the lease is preempted or an old epoch is
// accepted.
func TestLeaseIsExclusive(t *testing.T) {
	is := is.New(t)
	c := newClock()
	w := worker.New("w1", worker.WithClock(c.now))
	a := acquire(t, w, "a", 6*time.Second, 0)

	c.advance(2 * time.Second)
	_, err := w.Acquire(provider.LeaseRequest{Holder: "b", TTL: time.Second})
	is.True(fault.Is(err, fault.Conflict))
	is.Equal(err.(*fault.Error).RetryAfter, 4*time.Second)

	c.advance(4 * time.Second)
	_, err = w.Renew(provider.LeaseRequest{Holder: "a", Epoch: a.Epoch, TTL: time.Second})
	is.True(fault.Is(err, fault.StaleEpoch)) // lapsed, though there is no other holder

	b := acquire(t, w, "b", 6*time.Second, 0)
	is.True(b.Epoch > a.Epoch)
	is.True(fault.Is(w.Start(a.Epoch, batch("t", 1, "never")), fault.StaleEpoch))
	is.NoErr(w.Start(b.Epoch, batch("t", 1, "never")))

	moved, err := w.Transfer(b.Epoch, "d")
	is.NoErr(err)
	is.Equal(len(moved.Tasks), 1)
	is.True(fault.Is(w.Stop(b.Epoch, "t", false), fault.StaleEpoch))
	again := acquire(t, w, "d", time.Second, 0) // the holder itself may acquire again
	is.True(again.Epoch > moved.Epoch)
	is.NoErr(w.Release(again.Epoch))
	acquire(t, w, "e", time.Second, 0)
}

// Guards against results that a lease leaves out: their tasks would be taken for lost.
func TestLeaseListsEveryResult(t *testing.T) {
	const count = 1200
	is := is.New(t)
	c := newClock()
	w := worker.New("w1", worker.WithClock(c.now))
	lease := acquire(t, w, "a", time.Minute, time.Minute)
	for i := range count {
		task := batch(fmt.Sprint(i), 1, "sleep 1s")
		task.Need = resource.Vector{}
		is.NoErr(w.Start(lease.Epoch, task))
	}
	c.advance(2 * time.Second)
	renewed, err := w.Renew(provider.LeaseRequest{Epoch: lease.Epoch, TTL: time.Minute})
	is.NoErr(err)
	is.Equal(len(renewed.Tasks), count)
	for _, task := range renewed.Tasks {
		is.Equal(task.State, provider.TaskDone)
	}
}

// TestTaskLeaseEnds extends the task leases past the worker's lease and cuts off
// the owner. It guards against tasks that outlive their own lease, and so run
// beside their restart on another worker, and against tasks that are stopped with
// the worker's lease already.
func TestTaskLeaseEnds(t *testing.T) {
	is := is.New(t)
	c := newClock()
	w := worker.New("w1", worker.WithClock(c.now), worker.WithCheckpoint(time.Second))
	a := acquire(t, w, "a", 2*time.Second, 10*time.Second)
	is.NoErr(w.Start(a.Epoch, batch("t", 1, "sleep 1m")))

	c.advance(9500 * time.Millisecond)
	is.Equal(w.Report().Tasks[0].State, provider.TaskRunning)

	c.advance(time.Minute)
	b := acquire(t, w, "b", 2*time.Second, 10*time.Second)
	stopped := b.Tasks[0]
	is.Equal(stopped.State, provider.TaskStopped)
	is.Equal(stopped.Checkpoint, "10s") // it ran exactly until its lease ended

	is.True(fault.Is(w.Start(b.Epoch, batch("t", 2, "sleep 1m")), fault.Conflict)) // the result is still kept
	is.NoErr(w.Acknowledge(b.Epoch, []string{"t"}))
	resumed := batch("t", 2, "sleep 11s")
	resumed.Checkpoint = stopped.Checkpoint
	is.NoErr(w.Start(b.Epoch, resumed))
	c.advance(time.Second)
	is.Equal(w.Report().Tasks[0].State, provider.TaskDone) // one second of work was left after the checkpoint

	taskRuns := w.Ledger().Tasks[0]
	is.Equal(len(taskRuns.Runs), 2)
	is.Equal(taskRuns.Runs[1].From, 10*time.Second)
	is.Equal(taskRuns.Overlap, false)
}

// TestMergeFindsOverlap checks that runs of one task that overlap on two workers
// are found in the merged ledger, since each worker's own ledger shows no overlap.
func TestMergeFindsOverlap(t *testing.T) {
	is := is.New(t)
	c := newClock()
	var workers []*worker.Worker
	for _, id := range []string{"w1", "w2"} {
		w := worker.New(id, worker.WithClock(c.now))
		lease := acquire(t, w, "a", time.Minute, 0)
		is.NoErr(w.Start(lease.Epoch, batch("t", 1, "sleep 2s")))
		workers = append(workers, w)
		c.advance(time.Second)
	}
	c.advance(time.Minute)
	is.Equal(workers[0].Ledger().Tasks[0].Overlap, false)
	is.Equal(worker.Merge(workers[0].Ledger(), workers[1].Ledger()).Tasks[0].Overlap, true)
}

func TestPrograms(t *testing.T) {
	tests := []struct {
		command string
		percent int
		after   time.Duration
		state   provider.TaskState
	}{
		{"sleep 2s", 100, 1999 * time.Millisecond, provider.TaskRunning},
		{"sleep 2s", 100, 2 * time.Second, provider.TaskDone},
		{"sleep 2s use=1.5", 50, 3 * time.Second, provider.TaskRunning},
		{"sleep 2s use=1.5", 50, 4 * time.Second, provider.TaskDone},
		{"sleep 2s", 0, 50 * time.Second, provider.TaskRunning},
		{"", 100, 3 * time.Second, provider.TaskDone}, // the declared duration
		{"fail 1s", 100, time.Second, provider.TaskFailed},
		{"fail-here w0,w1", 100, time.Second, provider.TaskFailed},
		{"fail-here w0 2s", 100, 2 * time.Second, provider.TaskDone},
		{"never", 100, 59 * time.Second, provider.TaskRunning},
		{"rm -rf", 100, time.Second, provider.TaskFailed},
	}
	for _, tt := range tests {
		t.Run(tt.command, func(t *testing.T) {
			is := is.New(t)
			c := newClock()
			w := worker.New("w1", worker.WithClock(c.now))
			lease := acquire(t, w, "a", time.Minute, 0)
			spec := batch("t", 1, tt.command)
			spec.Duration = 3 * time.Second
			is.NoErr(w.Start(lease.Epoch, spec))
			is.NoErr(w.Start(lease.Epoch, spec)) // repeated after a lost answer
			is.NoErr(w.Throttle(lease.Epoch, "t", tt.percent))
			c.advance(tt.after)
			is.Equal(w.Report().Tasks[0].State, tt.state)
		})
	}
}

func TestCapacity(t *testing.T) {
	is := is.New(t)
	c := newClock()
	w := worker.New("w1", worker.WithClock(c.now), worker.WithCapacity(resource.Vector{Processors: 2500, Memory: 1000}))
	lease := acquire(t, w, "a", time.Minute, 0)
	is.NoErr(w.Start(lease.Epoch, batch("t1", 1, "sleep 1s")))
	is.NoErr(w.Start(lease.Epoch, batch("t2", 1, "never")))
	is.True(fault.Is(w.Start(lease.Epoch, batch("t3", 1, "never")), fault.Overloaded))
	c.advance(time.Second)
	is.NoErr(w.Start(lease.Epoch, batch("t3", 1, "never"))) // t1 has ended
	accelerated := batch("t4", 1, "never")
	accelerated.Need = resource.Vector{Accelerators: 1}
	is.True(fault.Is(w.Start(lease.Epoch, accelerated), fault.Overloaded))
}

// TestUsageLags starts a task between a usage measurement and the report. The
// report has to show the tasks that ran at the measurement; showing those that
// run now would make a scheduler attribute interference to the wrong pair of tasks.
func TestUsageLags(t *testing.T) {
	is := is.New(t)
	c := newClock()
	w := worker.New("w1", worker.WithClock(c.now), worker.WithUsage(time.Second, 2*time.Second))
	lease := acquire(t, w, "a", time.Minute, 0)
	is.NoErr(w.Start(lease.Epoch, batch("t1", 1, "never use=2")))
	start := c.at
	c.advance(time.Second)
	is.NoErr(w.Start(lease.Epoch, batch("t2", 1, "never")))
	c.advance(1900 * time.Millisecond)
	is.Equal(len(w.Report().Usage), 0)
	c.advance(100 * time.Millisecond)
	usage := w.Report().Usage
	is.Equal(len(usage), 1)
	is.Equal(usage[0].MeasuredAt, start.Add(time.Second))
	is.Equal(usage[0].Used.Processors, int64(2000))
	w.Set(worker.Faults{Lag: faults.Duration(time.Second)})
	c.advance(time.Second)
	is.Equal(w.Report().Usage[0].MeasuredAt, start.Add(time.Second)) // still the first
}
