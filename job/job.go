// Package job describes batch work as callers hand it in: a job of steps,
// each of a number of equal tasks, once or at scheduled times.
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
// A Job doesn't change once it is accepted and may be shared.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Bounds on what one job may ask for. They keep the memory and the time that
// a single request can take from an instance finite.
const (
	MaxSteps = 256    // steps of a job
	MaxTasks = 20_000 // tasks of a job's steps together
	MaxTimes = 10_000 // scheduled occurrences
	MaxSpec  = 4_000  // bytes of the opaque command
)

// Job is accepted batch work.
type Job struct {
	ID       string `cbor:"1,keyasint"`
	Queue    string `cbor:"2,keyasint"` // name of the queue that it came by
	Terms    Terms  `cbor:"3,keyasint"` // the queue's terms when it was accepted
	Spec     string `cbor:"4,keyasint,omitempty"`
	Steps    []Step `cbor:"5,keyasint"`
	First    int64  `cbor:"6,keyasint,omitempty"` // first occurrence, Unix milliseconds
	Interval int64  `cbor:"7,keyasint,omitempty"` // between occurrences, milliseconds
	Times    int    `cbor:"8,keyasint,omitempty"` // occurrences; zero runs once, at once
	Accepted int64  `cbor:"9,keyasint,omitempty"` // Unix milliseconds, by the clock of the instance that took it
}

// Terms are what a queue promises to its jobs.
type Terms struct {
	Service   string        `cbor:"1,keyasint"`           // pool of workers that runs the tasks
	Priority  int           `cbor:"2,keyasint,omitempty"` // 0 comes first
	Attempts  int           `cbor:"3,keyasint,omitempty"` // failures of one task before the job fails
	Stretch   float64       `cbor:"4,keyasint,omitempty"` // objective as a multiple of the longest chain of work
	Objective time.Duration `cbor:"5,keyasint,omitempty"` // and what comes on top
	Advice    *Advice       `cbor:"6,keyasint,omitempty"` // set where only some workers may run a step
}

// Advice describes the service that says which workers may run a step.
type Advice struct {
	Decision time.Duration `cbor:"1,keyasint"` // time of an answer
	Each     time.Duration `cbor:"2,keyasint"` // and per worker asked about
	Valid    time.Duration `cbor:"3,keyasint"` // how long a ticket is good for
}

// Step is a number of equal tasks.
type Step struct {
	Count       int             `cbor:"1,keyasint"`
	Need        resource.Vector `cbor:"2,keyasint"`            // of one task
	Estimate    time.Duration   `cbor:"3,keyasint,omitempty"`  // rough run time, often far off
	After       []int           `cbor:"4,keyasint,omitempty"`  // earlier steps that must be done first
	Gang        bool            `cbor:"5,keyasint,omitempty"`  // tasks work only all together
	SameRack    bool            `cbor:"6,keyasint,omitempty"`  // slow when spread over racks
	Label       string          `cbor:"7,keyasint,omitempty"`  // that the worker must have
	Rack        string          `cbor:"8,keyasint,omitempty"`  // where the data is; elsewhere is slow
	PerWorker   int             `cbor:"9,keyasint,omitempty"`  // at most so many on one worker; zero is no bound
	Copies      bool            `cbor:"10,keyasint,omitempty"` // several may run; the first end counts
	Lasting     bool            `cbor:"11,keyasint,omitempty"` // runs until the job is cancelled
	Image       string          `cbor:"12,keyasint,omitempty"` // tasks of one image behave alike
	Target      time.Duration   `cbor:"13,keyasint,omitempty"` // bound on the tail of a serving task
	Fills       bool            `cbor:"14,keyasint,omitempty"` // takes only processor time left over
	MayMiss     int             `cbor:"15,keyasint,omitempty"` // lasting tasks that may be away by our doing
	Checkpoints bool            `cbor:"16,keyasint,omitempty"` // saves its progress
}

// Reserved is what one task of the step takes from a worker's capacity. A
// task that fills runs on processor time that others leave, so only its
// memory and accelerators are reserved.
func (s *Step) Reserved() resource.Vector {
	need := s.Need
	if s.Fills {
		need.Processors = 0
	}
	return need
}

// Serves reports whether the step's tasks have users of their own whose
// answers other tasks can slow down.
func (s *Step) Serves() bool {
	return s.Lasting && s.Target > 0
}

// Occurrences returns how many times the job's steps run.
func (j *Job) Occurrences() int {
	return max(1, j.Times)
}

// Scheduled reports whether the job runs at set times.
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

// Due returns when an occurrence may begin, in Unix milliseconds. It is zero
// for a job without a schedule.
func (j *Job) Due(occurrence int) int64 {
	if !j.Scheduled() {
		return 0
	}
	return j.First + int64(occurrence)*j.Interval
}

// Width returns how many tasks one occurrence has.
func (j *Job) Width() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Check returns an error of kind Invalid that names the first fault found.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fault.New(fault.Invalid, "a job has 1 to %d steps, not %d", MaxSteps, len(j.Steps))
	}
	if len(j.Spec) > MaxSpec {
		return fault.New(fault.Invalid, "spec has %d bytes, more than %d", len(j.Spec), MaxSpec)
	}
	if j.Times < 0 || j.Times > MaxTimes || j.Interval < 0 {
		return fault.New(fault.Invalid, "%d occurrences every %d ms", j.Times, j.Interval)
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
	if s.Need.IsNegative() || s.PerWorker < 0 || s.MayMiss < 0 || s.Estimate < 0 {
		return fault.New(fault.Invalid, "step %d: an amount is negative", number)
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return fault.New(fault.Invalid, "step %d depends on step %d, which isn't an earlier one", number, a)
		}
	}
	return nil
}

// Task names one task of a job.
type Task struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name: job, occurrence, step and index, with dots
// between them.
func (t Task) String() string {
	b := make([]byte, 0, len(t.Job)+24)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTask returns the task of a name that String wrote.
func ParseTask(name string) (Task, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, fault.New(fault.Invalid, "%q names no task", name)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return Task{}, fault.New(fault.Invalid, "%q names no task: %q", name, p)
		}
		numbers[i] = n
	}
	return Task{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// StepName names one step of one occurrence of a job.
func StepName(id string, occurrence, step int) string {
	return fmt.Sprintf("%s.%d.%d", id, occurrence, step)
}
