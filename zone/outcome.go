package zone

// Effect tells what a record did to the state.
type Effect int

// Effects of a record.
const (
	Applied  Effect = iota
	Repeated        // its sequence or offset was applied before
	Void            // a rule forbids it
)

// Reason tells why a record, or one task of it, has no effect.
type Reason int

// Reasons of void records and refused tasks.
const (
	None            Reason = iota
	NewerVersion           // the record's version isn't understood; the state stays at its offset
	Gap                    // the offset isn't the next one; the state stays at its offset
	Malformed              // not exactly one body, or a field is empty, negative or too long
	WriterFenced           // the writer is fenced
	OldIncarnation         // a newer incarnation of the writer has written
	OldRevision            // the revision isn't above the one in force
	OldEpoch               // the epoch isn't above the one on record, or not the one on record
	OldAttempt             // the attempt isn't the current one
	KnownTask              // the task was submitted before
	UnknownTask            // no such task
	UnknownWorker          // no such worker
	NotOwner               // the task is in another escrow or in none
	NotQueued              // the task isn't queued
	AlreadyEnded           // the task has ended
	AlreadyFenced          // the instance is fenced
	OwnerNotFenced         // the worker's owner is in service
	AlreadyLapsed          // the worker's lease has lapsed on record
	OverShare              // the group's limit would be exceeded
	NoFittingWorker        // no worker of the owner can hold the task
	OverCapacity           // the owner's workers can't hold the task beside its escrow
	Full                   // the state is at its size bound
	Started                // the attempt was found on a worker
)

// Refusal names a task of a record that was not taken.
type Refusal struct {
	Task   string
	Reason Reason
}

// Outcome is what one record did.
type Outcome struct {
	Effect  Effect
	Reason  Reason
	Detail  string
	Changed []string  // tasks whose state, owner, attempt or checkpoint changed
	Refused []Refusal // tasks of the record that were not taken
}

// void marks the whole record as without effect.
func (o *Outcome) void(reason Reason, detail string) {
	o.Effect = Void
	o.Reason = reason
	o.Detail = detail
}

// refuse names a task that was not taken.
func (o *Outcome) refuse(task string, reason Reason) {
	o.Refused = append(o.Refused, Refusal{Task: task, Reason: reason})
}

func (o *Outcome) change(t *task) {
	o.Changed = append(o.Changed, t.id)
}

// voidIfRefused marks a record void of whose tasks none was taken.
func (o *Outcome) voidIfRefused(taken int) {
	if taken == 0 && len(o.Refused) > 0 {
		o.void(o.Refused[0].Reason, "")
	}
}
