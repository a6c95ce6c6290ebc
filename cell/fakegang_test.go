package cell_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangMember is the run of one member of a gang.
type gangMember struct {
	worker *fakeWorker
	name   string
	run    *fakeRun
}

func (m *gangMember) isRunning() bool {
	return m.worker.up && m.worker.runs[m.name] == m.run
}

func gangKey(name string, attempt uint64) string {
	return fmt.Sprintf("%s/%d", name[:strings.LastIndexByte(name, '.')], attempt)
}

// joinGang adds a run to its gang. The members begin to work once all of them are there.
func (s *site) joinGang(w *fakeWorker, name string, r *fakeRun) {
	key := gangKey(name, r.attempt)
	s.gangs[key] = append(s.gangs[key], gangMember{w, name, r})
	size := s.stepOf(name).Count
	if len(s.gangs[key]) == size {
		for _, m := range s.gangs[key] {
			m.run.paceSince = s.now
			m.worker.planEnd(m.name, m.run)
		}
		return
	}
	s.after(gangTimeout, func() {
		m := gangMember{w, name, r}
		if len(s.gangs[key]) < size && m.isRunning() {
			s.endedAlone++
			w.end(name, provider.EndGangIncomplete)
		}
	})
}

// endGang ends the other members of a gang when the first one completes.
func (s *site) endGang(name string, attempt uint64) {
	for _, m := range s.gangs[gangKey(name, attempt)] {
		s.completed[m.name] = true
		if m.isRunning() {
			m.worker.end(m.name, provider.EndDone)
		}
	}
}

// breakGang ends the other members of a gang when one ends without having completed.
func (s *site) breakGang(name string, attempt uint64) {
	for _, m := range s.gangs[gangKey(name, attempt)] {
		if m.isRunning() {
			m.worker.end(m.name, provider.EndGangBroken)
		}
	}
}
