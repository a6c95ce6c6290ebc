// Package crash tells tasks that crash their workers from healthy tasks that were running
// on a worker when it crashed for another reason.
//
// Usage:
//
//	h.RecordCrash(attempt, inTrial) // a worker went down just after a start of the task
//	if h.GiveUp() {
//		fail(job)
//	}
//	if h.Suspect() {
//		h.RecordStart(incarnation) // saved before the next start, which is a trial
//	}
//
// A run that is lost with its worker isn't a failed attempt, so without this package a
// task that crashes its worker would be started on one worker after the other without end,
// and take the other tasks there with it. The symptom is a series of workers that go down
// some milliseconds after a start of the same task.
//
// Counting crashes alone isn't enough. A rack that loses power, or another task that
// crashes the worker, takes down healthy tasks as well, some of them twice within seconds.
// So a task that was on a crashed worker becomes a suspect, and its next start is a trial:
// no other job has just been started on that worker, and none is until the trial has
// ended. A crash during a trial is evidence against the task, unless other workers went
// down at the same time. A successful trial clears the task. Crashes that certainly have a
// shared cause, such as half of a rack going down at once, aren't counted at all.
package crash

// Bounds on the crashes of a task's workers.
const (
	// maxTrialCrashes is how many workers have to crash in trials. One may fail by chance
	// within the third of a second that a trial takes, but hardly two in a row.
	maxTrialCrashes = 2
	// maxCrashes is how many workers may crash in any case. It is reached if trials are
	// inconclusive because other workers go down at the same moments.
	maxCrashes = 4
)

// History is the crash history of a task. The zero History is that of a task without
// crashes.
type History struct {
	Crashes         int    `cbor:"1,keyasint,omitempty"` // workers that crashed just after a start of the task
	CrashesInTrials int    `cbor:"2,keyasint,omitempty"` // of them, those in trials without another explanation
	Attempt         uint64 `cbor:"3,keyasint,omitempty"` // attempt of the last crash
	LastInTrial     bool   `cbor:"4,keyasint,omitempty"` // whether the last crash counts in CrashesInTrials
	StartPending    bool   `cbor:"5,keyasint,omitempty"` // a start may be in flight
	Incarnation     string `cbor:"6,keyasint,omitempty"` // worker incarnation of that start, empty if unknown
}

// Suspect reports whether the next start has to be a trial.
func (h *History) Suspect() bool {
	return h.Crashes > 0
}

// GiveUp reports whether the task must not be started any more.
func (h *History) GiveUp() bool {
	return h.CrashesInTrials >= maxTrialCrashes || h.Crashes >= maxCrashes
}

// RecordStart records that the task is about to be started on an incarnation of a worker.
// The history has to be saved before the start: if the owner is killed while the worker
// crashes, its successor would otherwise know nothing of the crash and repeat the start.
func (h *History) RecordStart(incarnation string) {
	h.StartPending = true
	h.Incarnation = incarnation
}

// RetractStart retracts the recorded start because it was never carried out.
func (h *History) RetractStart() {
	h.StartPending = false
	h.Incarnation = ""
}

// RecordCrash counts a crash of a worker under an attempt. inTrial says that the attempt
// was a trial and the crash has no other explanation.
func (h *History) RecordCrash(attempt uint64, inTrial bool) {
	h.RetractStart()
	h.Crashes++
	h.Attempt = attempt
	h.LastInTrial = inTrial
	if inTrial {
		h.CrashesInTrials++
	}
}

// ResolveCrashedStart counts a crash for a recorded start of an earlier owner that has no
// run, and whose worker may have crashed.
func (h *History) ResolveCrashedStart() {
	if h.StartPending {
		h.RecordCrash(0, false)
	}
}

// RetractCrash retracts the crash of an attempt that is still running or has ended: its
// worker was silent, but didn't crash.
func (h *History) RetractCrash(attempt uint64) {
	if h.Crashes == 0 || h.Attempt != attempt {
		return
	}
	h.Crashes--
	h.Attempt = 0
	if h.LastInTrial {
		h.CrashesInTrials--
		h.LastInTrial = false
	}
}
