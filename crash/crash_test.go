package crash_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/crash"
)

func TestGiveUp(t *testing.T) {
	notInTrial := func(h *crash.History) { h.RecordCrash(1, false) }
	inTrial := func(h *crash.History) { h.RecordCrash(2, true) }
	startRecorded := func(h *crash.History) { h.RecordStart("w") }
	crashedStart := func(h *crash.History) { h.RecordStart("w"); h.ResolveCrashedStart() }
	noRecordedStart := func(h *crash.History) { h.ResolveCrashedStart() }
	retracted := func(h *crash.History) { h.RetractCrash(2) }
	tests := []struct {
		name    string
		events  []func(*crash.History)
		suspect bool
		giveUp  bool
	}{
		{"none", nil, false, false},
		{"one", []func(*crash.History){notInTrial}, true, false},
		{"one trial", []func(*crash.History){notInTrial, inTrial}, true, false},
		{"two trials", []func(*crash.History){notInTrial, inTrial, inTrial}, true, true},
		{"trials that tell nothing", []func(*crash.History){notInTrial, notInTrial, notInTrial}, true, false},
		{"one more", []func(*crash.History){notInTrial, notInTrial, notInTrial, notInTrial}, true, true},
		{"owners that were killed in trials", []func(*crash.History){notInTrial, crashedStart, crashedStart, crashedStart}, true, true},
		{"a start under way", []func(*crash.History){startRecorded}, false, false},
		{"a start that never was", []func(*crash.History){startRecorded, (*crash.History).RetractStart, noRecordedStart}, false, false},
		{"no start to vanish", []func(*crash.History){noRecordedStart}, false, false},
		{"a worker that was merely silent", []func(*crash.History){notInTrial, inTrial, inTrial, retracted}, true, false},
		{"the same, once", []func(*crash.History){inTrial, retracted}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var h crash.History
			for _, apply := range test.events {
				apply(&h)
			}
			is.Equal(h.Suspect(), test.suspect)
			is.Equal(h.GiveUp(), test.giveUp)
		})
	}
}
