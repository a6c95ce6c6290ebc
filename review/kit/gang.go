//go:build review

package kit

import (
	"fmt"
	"strings"
	"time"
)

// gangTimeout is how long a member waits for the others.
const gangTimeout = 3 * time.Second

// gang is one attempt at a step whose tasks work only together.
type gang struct {
	members map[string]gangMember // by task
	broken  bool
}

type gangMember struct {
	worker *Worker
	run    *run
}

func gangName(task string, attempt uint64) string {
	return fmt.Sprintf("%s/%d", task[:strings.LastIndexByte(task, '.')], attempt)
}

// joinGang adds a run to its gang, which begins to work when all members are present.
func (f *Fleet) joinGang(w *Worker, task string, r *run) {
	f.gangMu.Lock()
	defer f.gangMu.Unlock()
	name := gangName(task, r.attempt)
	g := f.gangs[name]
	if g == nil {
		g = &gang{members: make(map[string]gangMember)}
		f.gangs[name] = g
	}
	g.members[task] = gangMember{w, r}
	if g.broken {
		w.endRun(task, r, "broken")
		return
	}
	if len(g.members) < f.GangSize(task) {
		time.AfterFunc(gangTimeout, func() {
			f.gangMu.Lock()
			complete := len(g.members) >= f.GangSize(task)
			f.gangMu.Unlock()
			if !complete {
				w.endRun(task, r, "alone")
			}
		})
		return
	}
	time.AfterFunc(r.length, func() {
		f.gangMu.Lock()
		defer f.gangMu.Unlock()
		if g.broken {
			return
		}
		for t, m := range g.members {
			m.worker.endRun(t, m.run, "done")
		}
	})
}

// leaveGang breaks the gang of a run that has ended or is gone.
func (f *Fleet) leaveGang(task string, attempt uint64) {
	f.gangMu.Lock()
	defer f.gangMu.Unlock()
	g := f.gangs[gangName(task, attempt)]
	if g == nil || g.broken {
		return
	}
	g.broken = true
	for t, m := range g.members {
		if t != task {
			go m.worker.endRun(t, m.run, "broken")
		}
	}
}

// endRun ends a run unless it has ended.
func (w *Worker) endRun(task string, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isUp && w.runs[task] == r {
		w.end(task, r, how)
	}
}
