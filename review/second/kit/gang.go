//go:build review

package kit

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Gangs lets the members of gangs work from the moment when all are present.
type Gangs struct {
	Timeout time.Duration // after which a member that waits for others ends alone

	mu    sync.Mutex
	gangs map[string]*gang
}

type gang struct {
	members []gangMember
	working bool
	over    bool
}

type gangMember struct {
	worker *Worker
	run    *run
}

// NewGangs returns an empty set of gangs.
func NewGangs(timeout time.Duration) *Gangs {
	return &Gangs{Timeout: timeout, gangs: make(map[string]*gang)}
}

// gangKey names the gang of a run: the task's step and the run's number.
func gangKey(r *run) string {
	return fmt.Sprintf("%s@%d", r.task[:strings.LastIndex(r.task, ".")], r.attempt)
}

// join adds a member.
func (g *Gangs) join(w *Worker, r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(r)
	x := g.gangs[key]
	if x == nil {
		x = &gang{}
		g.gangs[key] = x
	}
	x.members = append(x.members, gangMember{w, r})
	if !x.working && len(x.members) == r.plan.GangSize {
		x.working = true
		how := r.plan.Outcome
		if how == "" {
			how = "done"
		}
		time.AfterFunc(r.plan.Length, func() { g.finish(x, how) })
	}
	time.AfterFunc(g.Timeout, func() {
		g.mu.Lock()
		waits := !x.working && !x.over
		g.mu.Unlock()
		if waits {
			m := gangMember{w, r}
			m.end("alone")
		}
	})
}

func (m gangMember) end(how string) {
	m.worker.mu.Lock()
	defer m.worker.mu.Unlock()
	if !m.worker.isClosed {
		m.worker.end(m.run, how)
	}
}

// finish ends a gang that has done its work. A failure is that of one member.
func (g *Gangs) finish(x *gang, how string) {
	g.mu.Lock()
	if x.over {
		g.mu.Unlock()
		return
	}
	x.over = true
	members := x.members
	g.mu.Unlock()
	for i, m := range members {
		if how == "failed" && i > 0 {
			m.end("broken")
		} else {
			m.end(how)
		}
	}
}

// leave breaks a gang up because a run has ended.
func (g *Gangs) leave(r *run) {
	g.mu.Lock()
	x := g.gangs[gangKey(r)]
	if x == nil || x.over {
		g.mu.Unlock()
		return
	}
	working := x.working
	var others []gangMember
	for _, m := range x.members {
		if m.run != r {
			others = append(others, m)
		}
	}
	if working {
		x.over = true
	}
	g.mu.Unlock()
	if !working {
		return // the others wait on
	}
	for _, m := range others {
		m.end("broken")
	}
}
