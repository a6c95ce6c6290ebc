package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/job"
)

// Guards against a task that waits beside free workers without a line that says for what.
func TestWaitsAreLogged(t *testing.T) {
	tests := []struct {
		name    string
		disrupt func(s *site)
		hold    string
		refused string
	}{
		{"claim", func(s *site) { s.owners[0].noStore = true }, "claim", ""},
		{"entries", func(s *site) {
			for _, w := range s.workers {
				w.corruptEntry(time.Hour)
			}
		}, "none", "unlisted:4"},
		{"list", func(s *site) { s.owners[0].noList = true }, "list", "entry:4"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 3300, 4, 1)
			o := s.owners[0]
			o.takeOver()
			s.run(time.Second)
			tt.disrupt(s)
			s.run(s.now + 2500*time.Millisecond)
			var lines []map[string]any
			o.onLog = func(e cell.LogEvent) {
				if e.Event == "task waits" {
					lines = append(lines, fieldsOf(e))
				}
			}
			lasting := step(1, 1)
			lasting.Lasting = true
			s.submitTo(o, &job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{lasting}})
			s.run(s.now + 3*time.Second)
			is.True(len(lines) > 0)
			is.Equal(lines[0]["task"], jobID(0)+".0.0.0")
			is.Equal(lines[0]["hold"], tt.hold)
			is.Equal(lines[0]["refused"], tt.refused)
			is.Equal(lines[0]["room"], 4)
		})
	}
}

// submitTo submits a job that the owner learns of although it can't read the store.
func (s *site) submitTo(o *owner, j *job.Job) {
	s.submit(j)
	noStore := o.noStore
	o.noStore = false
	o.readStore()
	o.noStore = noStore
}

// fieldsOf returns the fields of a log line by name.
func fieldsOf(e cell.LogEvent) map[string]any {
	fields := make(map[string]any)
	for i := 0; i+1 < len(e.Fields); i += 2 {
		fields[e.Fields[i].(string)] = e.Fields[i+1]
	}
	return fields
}
