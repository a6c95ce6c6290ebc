// Package job describes batch work as callers submit it: a job of steps,
// each with a number of equal tasks, run once or at scheduled times.
//
// Usage:
//
//	j := job.Job{ID: id, Queue: "nightly", Steps: steps}
//	if err := j.Check(); err != nil {
//		return err // fault.Invalid, with the step at fault
//	}
//	for t := range j.Tasks(0) {
//		fmt.Println(t) // 5c0e7a21d94b36f8.0.1.17
//	}
//
// A Job is immutable once it is accepted, so that it may be shared.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Limits of a job. They bound the memory and the time that a single request can take
// from an instance.
const (
	MaxSteps = 256    // steps of a job
	MaxTasks = 20_000 // tasks of a job's steps together
	MaxTimes = 10_000 // scheduled occurrences
	MaxSpec  = 4_000  // bytes of the opaque command

	maxMillis = 1 << 48 // Unix milliseconds of a schedule, so that no occurrence's time overflows
)

// Job is accepted batch work.
type Job struct {
	ID       string `cbor:"1,keyasint"`
	Queue    string `cbor:"2,keyasint"` // name of the queue that accepted it
	Terms    Terms  `cbor:"3,keyasint"` // terms of the queue at that time
	Spec     string `cbor:"4,keyasint,omitempty"`
	Steps    []Step `cbor:"5,keyasint"`
	First    int64  `cbor:"6,keyasint,omitempty"`  // first occurrence, Unix milliseconds
	Interval int64  `cbor:"7,keyasint,omitempty"`  // between occurrences, milliseconds
	Times    int    `cbor:"8,keyasint,omitempty"`  // number of occurrences; zero runs the job once, immediately
	Accepted int64  `cbor:"9,keyasint,omitempty"`  // Unix milliseconds, on the clock of the instance that accepted it
	Zone     string `cbor:"10,keyasint,omitempty"` // availability zone of that instance; empty if it has none
}

// Terms are the conditions under which a queue runs its jobs.
type Terms struct {
	Service   string        `cbor:"1,keyasint"`           // pool of workers that runs the tasks
	Priority  int           `cbor:"2,keyasint,omitempty"` // 0 is the most urgent
	Attempts  int           `cbor:"3,keyasint,omitempty"` // failures of one task after which the job fails
	Stretch   float64       `cbor:"4,keyasint,omitempty"` // variable part of the objective, as a multiple of the critical path
	Objective time.Duration `cbor:"5,keyasint,omitempty"` // constant part of the objective
	Advice    *Advice       `cbor:"6,keyasint,omitempty"` // set if an adviser selects the workers of a step
}

// Advice describes the service that selects the workers which may run a step.
type Advice struct {
	Decision          time.Duration `cbor:"1,keyasint"` // constant part of the response time
	DecisionPerWorker time.Duration `cbor:"2,keyasint"` // additional response time per worker in the request
	Valid             time.Duration `cbor:"3,keyasint"` // validity of a ticket
}

// Step is a set of equal tasks.
type Step struct {
	Count        int             `cbor:"1,keyasint"`
	Need         resource.Vector `cbor:"2,keyasint"`            // of one task
	Estimate     time.Duration   `cbor:"3,keyasint,omitempty"`  // rough run time, often very inaccurate
	After        []int           `cbor:"4,keyasint,omitempty"`  // numbers of earlier steps that must be done first
	Gang         bool            `cbor:"5,keyasint,omitempty"`  // the tasks only work if all run at once
	SameRack     bool            `cbor:"6,keyasint,omitempty"`  // the tasks are slow when spread over racks
	Label        string          `cbor:"7,keyasint,omitempty"`  // required label of the worker
	Rack         string          `cbor:"8,keyasint,omitempty"`  // rack of the input data; the tasks are slow elsewhere
	PerWorker    int             `cbor:"9,keyasint,omitempty"`  // maximum number of tasks on one worker; zero is no limit
	AllowsCopies bool            `cbor:"10,keyasint,omitempty"` // several copies of a task may run; the first end counts
	Lasting      bool            `cbor:"11,keyasint,omitempty"` // runs until the job is cancelled
	Image        string          `cbor:"12,keyasint,omitempty"` // tasks with the same image have similar interference
	Target       time.Duration   `cbor:"13,keyasint,omitempty"` // upper bound of a serving task's tail latency
	Fills        bool            `cbor:"14,keyasint,omitempty"` // filling task: uses only idle processor time
	MaxStopped   int             `cbor:"15,keyasint,omitempty"` // number of lasting tasks that the owner may stop at the same time
	Checkpoints  bool            `cbor:"16,keyasint,omitempty"` // the tasks write checkpoints
}

// Reserved returns the capacity that one task of the step reserves on a worker. A
// filling task runs on idle processor time, so only its memory and accelerators are
// reserved.
func (s *Step) Reserved() resource.Vector {
	need := s.Need
	if s.Fills {
		need.Processors = 0
	}
	return need
}

// Serves reports whether the step's tasks are serving tasks: they answer users, whose
// response times other tasks can slow down.
func (s *Step) Serves() bool {
	return s.Lasting && s.Target > 0
}

// Occurrences returns the number of times that the job's steps run.
func (j *Job) Occurrences() int {
	return max(1, j.Times)
}

// Scheduled reports whether the job has a schedule.
func (j *Job) Scheduled() bool {
	return j.Times > 0
}

// Lasting reports whether any step runs until the job is cancelled.
func (j *Job) Lasting() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Due returns the earliest start of an occurrence in Unix milliseconds. It is zero
// for a job without a schedule.
func (j *Job) Due(occurrence int) int64 {
	if !j.Scheduled() {
		return 0
	}
	return j.First + int64(occurrence)*j.Interval
}

// TaskCount returns the number of tasks of one occurrence.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Check validates the job. It returns an error of kind Invalid for the first fault.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fault.New(fault.Invalid, "a job has 1 to %d steps, not %d", MaxSteps, len(j.Steps))
	}
	if len(j.Spec) > MaxSpec {
		return fault.New(fault.Invalid, "spec has %d bytes, more than %d", len(j.Spec), MaxSpec)
	}
	if j.Times < 0 || j.Times > MaxTimes || j.Interval < 0 || j.Interval > maxMillis || j.First > maxMillis {
		return fault.New(fault.Invalid, "invalid schedule: %d occurrences every %d ms from %d on", j.Times, j.Interval, j.First)
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		total += j.Steps[i].Count
	}
	if total > MaxTasks {
		return fault.New(fault.Invalid, "%d tasks, more than %d", total, MaxTasks)
	}
	return nil
}

func (s *Step) check(number int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fault.New(fault.Invalid, "step %d: count %d", number, s.Count)
	}
	if s.Need.IsNegative() || s.PerWorker < 0 || s.MaxStopped < 0 || s.Estimate < 0 {
		return fault.New(fault.Invalid, "step %d: an amount is negative", number)
	}
	if !s.Need.IsValid() {
		return fault.New(fault.Invalid, "step %d: need %v is more than any worker has", number, s.Need)
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return fault.New(fault.Invalid, "step %d depends on step %d, which isn't an earlier one", number, a)
		}
	}
	return nil
}

// Task identifies one task of a job.
type Task struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name: job, occurrence, step and index, separated by dots.
func (t Task) String() string {
	b := make([]byte, 0, len(t.Job)+24)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTask parses the name of a task as String returns it.
func ParseTask(name string) (Task, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, fault.New(fault.Invalid, "%q is no task name: %d parts instead of 4", name, len(parts))
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return Task{}, fault.New(fault.Invalid, "%q is no task name: invalid number %q", name, p)
		}
		numbers[i] = n
	}
	return Task{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// StepName returns the name of one step of one occurrence of a job.
func StepName(id string, occurrence, step int) string {
	return fmt.Sprintf("%s.%d.%d", id, occurrence, step)
}
