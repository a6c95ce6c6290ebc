package cell

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Times of upkeep.
const (
	waveEvery   = 500 * time.Millisecond // between looks at a wave's machines
	emptyWithin = 2 * time.Second        // for a worker to be emptied before its machine goes down
	orderRetry  = 700 * time.Millisecond
)

// wave is an upkeep of a number of machines.
type wave struct {
	spec     provider.Wave
	progress catalog.Wave
	machines map[string]*upkeep // begun and not yet back up
}

// upkeep is the upkeep of one machine.
type upkeep struct {
	worker  *worker       // that ran there before, nil if none is known
	since   time.Duration // when its worker began to be emptied
	ordered bool          // the machine may be down, or go down
	sent    time.Duration
	pending bool // an order is under way
}

// setWaves takes the waves that the operators asked for.
func (c *Cell) setWaves(waves []provider.Wave) {
	for _, spec := range waves {
		w := c.waves[spec.Number]
		if w == nil {
			w = &wave{machines: make(map[string]*upkeep)}
			w.progress = c.known[spec.Number]
			c.waves[spec.Number] = w
			c.note("wave", "wave", spec.Number, "machines", len(spec.Machines), "most", spec.Most, "completed", w.progress.Completed)
			c.reportWave(spec.Number, w)
		}
		w.spec = spec
	}
}

func (c *Cell) reportWave(number int, w *wave) {
	c.do(ReportWave{Number: number, Completed: w.progress.Completed})
}

// workWaves goes on with the waves. A new owner waits for as long as the last
// one may still have an order under way: machines don't check whose order is
// newer, so two owners that take turns could take down one machine too many.
func (c *Cell) workWaves() {
	if len(c.waves) == 0 || c.now-c.wavedAt < waveEvery {
		return
	}
	c.wavedAt = c.now
	if c.now-c.began < c.timing.Handover || c.now-c.saves.contact > c.timing.Beat*2 || !c.trustsList() {
		return
	}
	for _, w := range inOrder(c.waves) {
		if !w.progress.Completed {
			c.workWave(w)
		}
	}
}

func (c *Cell) workWave(w *wave) {
	for _, m := range w.spec.Machines {
		if len(w.machines) >= max(1, w.spec.Most) {
			break
		}
		if w.machines[m] == nil && !slices.Contains(w.progress.Begun, m) {
			c.beginUpkeep(w, m)
		}
	}
	for m, u := range inOrder(w.machines) {
		c.workUpkeep(w, m, u)
	}
	if len(w.progress.Begun) == len(w.spec.Machines) && len(w.machines) == 0 {
		w.progress.Completed = true
		c.saves.waves[w.spec.Number] = w.progress
		c.note("wave completed", "wave", w.spec.Number)
		c.reportWave(w.spec.Number, w)
	}
}

func (c *Cell) beginUpkeep(w *wave, machine string) {
	u := &upkeep{since: c.now}
	w.machines[machine] = u
	c.note("upkeep", "wave", w.spec.Number, "machine", machine)
	c.vacate(u, machine)
}

// vacate begins to empty the worker on a machine, also one that has restarted since.
func (c *Cell) vacate(u *upkeep, machine string) {
	w := c.workerOn(machine)
	if w == nil || w == u.worker {
		return
	}
	u.worker = w
	w.leaving = true
	c.evacuate(w)
}

// workerOn returns the worker that is on a machine, as far as is known. One that
// is gone may be known beside the one on the list, from the record or until it is
// found out: emptied in its place, it would leave the tasks of the other to be
// ended with their machine.
func (c *Cell) workerOn(machine string) *worker {
	if w := c.workers[c.list.on[machine]]; w != nil {
		return w
	}
	for _, w := range c.everyWorker() {
		if w.host.Machine == machine && !w.lost {
			return w
		}
	}
	return nil
}

func (c *Cell) workUpkeep(w *wave, machine string, u *upkeep) {
	if !u.ordered {
		c.vacate(u, machine)
	}
	if !u.ordered && u.worker != nil && !u.worker.lost {
		c.evacuate(u.worker)
		if len(u.worker.runs) > 0 && c.now-u.since < emptyWithin || c.wouldMiss(u.worker) {
			return
		}
	}
	if slices.Contains(w.progress.Begun, machine) {
		if back := c.workerOn(machine); back != nil && back != u.worker && back.asked && back.listed {
			delete(w.machines, machine)
		} else if c.now-u.sent > c.timing.Lease {
			delete(w.machines, machine) // it doesn't come back
		}
		return
	}
	if u.pending || c.now-u.sent < orderRetry {
		return
	}
	u.ordered = true
	u.pending = true
	u.sent = c.now
	c.do(Upkeep{Order: provider.MachineOrder{Machine: machine, Wave: w.spec.Number, Holder: c.self.Instance, Token: c.self.Term}})
}

// wouldMiss reports whether taking a worker down would leave a lasting step
// with more tasks away than it may miss.
func (c *Cell) wouldMiss(w *worker) bool {
	for _, r := range inOrder(w.runs) {
		if r.task != nil && r.task.step.spec.Lasting && !r.task.step.mayMiss(r) {
			return true
		}
	}
	return false
}

// upkept takes the outcome of an order for upkeep.
func (c *Cell) upkept(in UpkeepReply) {
	w := c.waves[in.Wave]
	if w == nil {
		return
	}
	u := w.machines[in.Machine]
	if u == nil {
		return
	}
	u.pending = false
	c.note("upkeep ordered", "wave", in.Wave, "machine", in.Machine, "err", in.Err)
	switch {
	case in.Err == nil:
		c.begunUpkeep(w, in.Machine)
		if u.worker != nil {
			c.lose(u.worker, "machine went down for upkeep")
		}
	case fault.Is(in.Err, fault.StaleEpoch):
		c.depose("machine " + in.Machine + " has seen a higher term")
	case fault.Is(in.Err, fault.Invalid):
		c.begunUpkeep(w, in.Machine) // there is no such machine any more
		delete(w.machines, in.Machine)
	}
}

func (c *Cell) begunUpkeep(w *wave, machine string) {
	if !slices.Contains(w.progress.Begun, machine) {
		w.progress.Begun = append(w.progress.Begun, machine)
		c.saves.waves[w.spec.Number] = w.progress
	}
}

// mayMiss reports whether a lasting run may be ended by our doing: so few
// others of its step are away that the step can miss one more.
func (s *stepState) mayMiss(r *run) bool {
	if s.spec.MayMiss == 0 {
		return true // its users set no bound
	}
	away := 0
	for _, t := range s.tasks {
		if t.run != r && (t.run == nil || t.run.percent < wholePercent || t.run.state != runRunning) {
			away++
		}
	}
	return away < s.spec.MayMiss
}
