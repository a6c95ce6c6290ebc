// Package crash tells a task that crashes the workers it is started on from a sound
// one that was on them by chance.
//
// Usage:
//
//	h.Crashed(attempt, alone) // a worker went down under a start of the task
//	if h.GiveUp() {
//		fail(job)
//	}
//	if h.Suspect() {
//		h.Try(host) // on record before the next start, which is a trial
//	}
//
// What goes wrong without it: a run that is lost with its worker is no failed
// attempt, so the task is started on the next worker, which crashes too, and so on
// without an end; each takes what else runs there with it. One notices workers that
// go down one after the other, each some milliseconds after a start of the same task.
//
// To count crashes isn't enough. A rack without power, or a task beside it that
// crashes workers, takes down sound tasks as well, some of them twice within seconds.
// So a task that was there becomes a suspect, and its next start is a trial: nothing
// else has just been started on that worker, nor is until the trial has gone well.
// A worker that crashes in a trial is evidence against it, unless others went down with
// it. A trial that goes well clears the task. Crashes that others share for certain, as
// half of a rack goes down at once, aren't counted at all.
package crash

// Bounds on what a task may do to workers.
const (
	// trialBound is how many workers have to crash in trials. One may fail by
	// chance within the third of a second that a trial takes, hardly two in a row.
	trialBound = 2
	// crashBound is how many may crash in any case. It is reached where trials
	// tell nothing, as other workers go down at the same moments.
	crashBound = 4
)

// History is what is known of a task whose workers crashed just after its start. The
// zero History is that of a task without any.
type History struct {
	Crashes   int    `cbor:"1,keyasint,omitempty"` // workers that crashed under the task
	Alone     int    `cbor:"2,keyasint,omitempty"` // of them, in trials with nothing else to explain it
	Attempt   uint64 `cbor:"3,keyasint,omitempty"` // of the last crash
	LastAlone bool   `cbor:"4,keyasint,omitempty"` // whether that one counts in Alone
	Trying    bool   `cbor:"5,keyasint,omitempty"` // a start may be under way
	Host      string `cbor:"6,keyasint,omitempty"` // on which incarnation of a worker, empty if that isn't known
}

// Suspect reports whether the next start has to be a trial.
func (h *History) Suspect() bool {
	return h.Crashes > 0
}

// GiveUp reports whether the task isn't to be started any more.
func (h *History) GiveUp() bool {
	return h.Alone >= trialBound || h.Crashes >= crashBound
}

// Try puts down that the task is about to be started on an incarnation of a worker. It
// has to be on record before that: an owner that is killed while the worker crashes
// would leave no trace of it, and its successor would start the task as often again.
func (h *History) Try(host string) {
	h.Trying = true
	h.Host = host
}

// Untried takes that back: the start was never carried out.
func (h *History) Untried() {
	h.Trying = false
	h.Host = ""
}

// Crashed counts a worker that crashed under an attempt. Alone says that it was in a
// trial, and nothing else explains the crash.
func (h *History) Crashed(attempt uint64, alone bool) {
	h.Untried()
	h.Crashes++
	h.Attempt = attempt
	h.LastAlone = alone
	if alone {
		h.Alone++
	}
}

// Vanished ends a start of an earlier owner of which nothing is found, and whose
// worker has crashed.
func (h *History) Vanished() {
	if h.Trying {
		h.Crashed(0, false)
	}
}

// Alive takes back the crash under an attempt that is seen to run, or to have ended:
// its worker was silent, and didn't crash.
func (h *History) Alive(attempt uint64) {
	if h.Crashes == 0 || h.Attempt != attempt {
		return
	}
	h.Crashes--
	h.Attempt = 0
	if h.LastAlone {
		h.Alone--
		h.LastAlone = false
	}
}
