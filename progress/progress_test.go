package progress_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/progress"
)

func TestChangesAreIdempotent(t *testing.T) {
	is := is.New(t)
	j := &job.Job{ID: "a", Steps: []job.Step{{Count: 9}, {Count: 3}}}
	task := job.Task{Job: "a", Step: 1, Index: 2}
	p := progress.New(j)
	is.True(p.RecordFailure(task, 7))
	is.True(!p.RecordFailure(task, 7)) // reported again
	is.True(p.RecordFailure(task, 8))
	is.Equal(p.Failures(task), 2)
	is.True(p.SetCheckpoint(task, "x"))
	is.True(!p.SetCheckpoint(task, "x"))
	is.True(p.RecordDone(task))
	is.True(!p.RecordDone(task))
	is.True(!p.IsDone(job.Task{Job: "a", Step: 1, Index: 1}))
}

func TestEncode(t *testing.T) {
	is := is.New(t)
	j := &job.Job{ID: "a", Steps: []job.Step{{Count: 9}, {Count: 3}}, Times: 2}
	done := job.Task{Job: "a", Step: 0, Index: 8}
	p := progress.New(j)
	p.RecordDone(done)
	p.RecordFailure(job.Task{Job: "a", Occurrence: 1, Step: 1}, 4)
	p.Close(5)
	p.State = progress.Running
	data, err := p.Encode()
	is.NoErr(err)
	q, err := progress.Decode(data)
	is.NoErr(err)
	q.Bind(j)
	is.True(q.IsDone(done))
	is.True(q.IsClosed(5))
	is.Equal(q.Failures(job.Task{Job: "a", Occurrence: 1, Step: 1}), 1)
	is.Equal(q.State, progress.Running)
	_, err = progress.Decode([]byte{0xff})
	is.True(err != nil)
}

func TestStarts(t *testing.T) {
	is := is.New(t)
	j := &job.Job{ID: "a", Steps: []job.Step{{Count: 2}}}
	task := job.Task{Job: "a", Index: 1}
	p := progress.New(j)
	is.Equal(p.LastStart(task), progress.Start{})
	is.True(p.RecordStart(task, progress.Start{Host: "w1"}))
	is.True(!p.RecordStart(task, progress.Start{Host: "w1"}))
	is.True(p.RecordStart(task, progress.Start{Host: "w1", Begun: true}))
	data, err := p.Encode()
	is.NoErr(err)
	q, err := progress.Decode(data)
	is.NoErr(err)
	q.Bind(j)
	is.Equal(q.LastStart(task), progress.Start{Host: "w1", Begun: true})
	is.Equal(q.LastStart(job.Task{Job: "a"}), progress.Start{})
	is.True(q.DropStart(task))
	is.True(!q.DropStart(task))
	is.Equal(q.LastStart(task), progress.Start{})
}

func TestStrays(t *testing.T) {
	is := is.New(t)
	j := &job.Job{ID: "a", Steps: []job.Step{{Count: 2}}}
	task := job.Task{Job: "a", Index: 1}
	p := progress.New(j)
	is.True(p.AddStray(task, "w1"))
	is.True(!p.AddStray(task, "w1"))
	is.True(p.AddStray(task, ""))
	data, err := p.Encode()
	is.NoErr(err)
	q, err := progress.Decode(data)
	is.NoErr(err)
	q.Bind(j)
	is.Equal(q.Strays(task), []string{"w1", ""})
	is.Equal(len(q.Strays(job.Task{Job: "a"})), 0)
	is.True(q.RecordDone(task))
	is.Equal(len(q.Strays(task)), 0)
	is.True(p.DropStrays(task))
	is.True(!p.DropStrays(task))
	is.Equal(len(p.Strays(task)), 0)
}
