package zone

// Effect is the effect of a record on the state.
type Effect int

// Effects of a record.
const (
	Applied  Effect = iota
	Repeated        // the sequence or offset was applied before
	Void            // the record violates a rule and changes nothing
)

// Reason is the reason why a record, or one task of it, has no effect.
type Reason int

// Reasons of void records and refused tasks.
const (
	None            Reason = iota
	NewerVersion           // the record's version is above record.Version; Next doesn't advance
	Gap                    // the offset is after Next; Next doesn't advance
	Malformed              // the record doesn't have exactly one body, or a field is empty, negative or too long
	WriterFenced           // the writer is fenced
	OldIncarnation         // a newer incarnation of the writer has written
	OldRevision            // the revision isn't above the one in force
	OldEpoch               // the epoch of an Own isn't above the recorded one or may be of an incarnation before, or that of a Lapse differs from it
	OldAttempt             // the attempt isn't the current one
	KnownTask              // the task was submitted before
	UnknownTask            // no such task
	UnknownWorker          // no such worker
	NotOwner               // the task is in another escrow or in none
	NotQueued              // the task isn't queued
	AlreadyEnded           // the task has ended
	AlreadyFenced          // the instance is fenced
	OwnerNotFenced         // the worker's owner isn't fenced
	AlreadyLapsed          // the worker's lease is already recorded as lapsed
	OverShare              // the group's limit would be exceeded
	NoFittingWorker        // no worker of the owner can hold the task
	OverCapacity           // the owner's workers can't hold the task in addition to its escrow
	Full                   // the state is at its size bound
	Started                // the attempt was found on a worker
	UnknownJob             // no such job
)

// Refusal names a task of a record that was refused, and the reason.
type Refusal struct {
	Task   string // or a job, with UnknownJob
	Reason Reason
}

// Outcome describes the effect of one record.
type Outcome struct {
	Effect  Effect
	Reason  Reason
	Detail  string
	Changed []string  // tasks whose state, owner, attempt or checkpoint changed
	Refused []Refusal // tasks of the record that were refused
}

// void marks the whole record as without effect.
func (o *Outcome) void(reason Reason, detail string) {
	o.Effect = Void
	o.Reason = reason
	o.Detail = detail
}

// refuse adds a task that was refused.
func (o *Outcome) refuse(task string, reason Reason) {
	o.Refused = append(o.Refused, Refusal{Task: task, Reason: reason})
}

func (o *Outcome) addChanged(t *task) {
	o.Changed = append(o.Changed, t.id)
}

// voidIfRefused marks a record void if all of its tasks were refused.
func (o *Outcome) voidIfRefused(taken int) {
	if taken == 0 && len(o.Refused) > 0 {
		o.void(o.Refused[0].Reason, "")
	}
}
