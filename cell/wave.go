package cell

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Intervals of maintenance.
const (
	waveInterval        = 500 * time.Millisecond // between two checks of the waves
	drainTimeout        = 2 * time.Second        // for a worker to finish its runs before its machine goes down
	upkeepRetryInterval = 700 * time.Millisecond
)

// wave is the maintenance of a set of machines.
type wave struct {
	spec     provider.Wave
	progress catalog.Wave
	inUpkeep map[string]*upkeep // machines whose upkeep has begun and that aren't back up
}

// upkeep is the maintenance of one machine.
type upkeep struct {
	worker        *worker // the worker that is drained, nil if none is known
	drainingSince time.Duration
	ordered       bool // the machine may be down, or go down
	sentAt        time.Duration
	orderInFlight bool
}

// handleWavesRequested adds the waves that the operators requested.
func (c *Cell) handleWavesRequested(waves []provider.Wave) {
	for _, spec := range waves {
		w := c.waves[spec.Number]
		if w == nil {
			w = &wave{inUpkeep: make(map[string]*upkeep)}
			w.progress = c.recordedWaves[spec.Number]
			c.waves[spec.Number] = w
			c.logEvent("wave", "wave", spec.Number, "machines", len(spec.Machines), "most", spec.MaxConcurrent, "completed", w.progress.Completed)
			c.reportWave(spec.Number, w)
		}
		w.spec = spec
	}
}

func (c *Cell) reportWave(number int, w *wave) {
	c.emit(ReportWave{Number: number, Completed: w.progress.Completed})
}

// advanceWaves advances the waves. A new owner waits until no order of the previous one
// can be in flight: machines don't check which owner is the latest, so alternating owners
// could take down one machine too many.
func (c *Cell) advanceWaves() {
	if len(c.waves) == 0 || c.now-c.lastWaveCheck < waveInterval {
		return
	}
	c.lastWaveCheck = c.now
	if c.now-c.ownedSince < c.timing.HandoverDelay || c.now-c.writer.lastContact > c.timing.HeartbeatInterval*2 || !c.checkListFresh() {
		return
	}
	for _, w := range inOrder(c.waves) {
		if !w.progress.Completed {
			c.advanceWave(w)
		}
	}
}

func (c *Cell) advanceWave(w *wave) {
	for _, m := range w.spec.Machines {
		if len(w.inUpkeep) >= max(1, w.spec.MaxConcurrent) {
			break
		}
		if w.inUpkeep[m] == nil && !slices.Contains(w.progress.Begun, m) {
			c.beginUpkeep(w, m)
		}
	}
	for m, u := range inOrder(w.inUpkeep) {
		c.advanceUpkeep(w, m, u)
	}
	if len(w.progress.Begun) == len(w.spec.Machines) && len(w.inUpkeep) == 0 {
		w.progress.Completed = true
		c.writer.dirtyWaves[w.spec.Number] = w.progress
		c.logEvent("wave completed", "wave", w.spec.Number)
		c.reportWave(w.spec.Number, w)
	}
}

func (c *Cell) beginUpkeep(w *wave, machine string) {
	u := &upkeep{drainingSince: c.now}
	w.inUpkeep[machine] = u
	c.logEvent("upkeep", "wave", w.spec.Number, "machine", machine)
	c.drainMachine(u, machine)
}

// drainMachine starts to drain the worker on a machine. It is called again in case the
// worker restarts.
func (c *Cell) drainMachine(u *upkeep, machine string) {
	w := c.workerOnMachine(machine)
	if w == nil || w == u.worker {
		return
	}
	u.worker = w
	w.leaving = true
	c.evacuate(w)
}

// workerOnMachine returns the worker on a machine, as far as is known. A lost worker may
// still be known beside the listed one, from the record or until its loss is noticed.
// Draining the lost one instead would leave the tasks of the listed one to end with their
// machine.
func (c *Cell) workerOnMachine(machine string) *worker {
	if w := c.workers[c.hosts.idByMachine[machine]]; w != nil {
		return w
	}
	for _, w := range c.everyWorker() {
		if w.host.Machine == machine && !w.lost {
			return w
		}
	}
	return nil
}

func (c *Cell) advanceUpkeep(w *wave, machine string, u *upkeep) {
	if !u.ordered {
		c.drainMachine(u, machine)
	}
	if !u.ordered && u.worker != nil && !u.worker.lost {
		c.evacuate(u.worker)
		if len(u.worker.runs) > 0 && c.now-u.drainingSince < drainTimeout || c.exceedsMayMiss(u.worker) {
			return
		}
	}
	if slices.Contains(w.progress.Begun, machine) {
		if back := c.workerOnMachine(machine); back != nil && (back != u.worker || !back.leaving) && back.answered && back.listed {
			delete(w.inUpkeep, machine)
		} else if c.now-u.sentAt > c.timing.Lease {
			delete(w.inUpkeep, machine) // it hasn't come back
		}
		return
	}
	if u.orderInFlight || c.now-u.sentAt < upkeepRetryInterval {
		return
	}
	u.ordered = true
	if u.worker != nil {
		u.worker.goingDown = true
	}
	u.orderInFlight = true
	u.sentAt = c.now
	c.emit(Upkeep{Order: provider.MachineOrder{Machine: machine, Wave: w.spec.Number, Holder: c.self.Instance, Token: c.self.Term}})
}

// exceedsMayMiss reports whether taking a worker down would leave a lasting step with more
// missing tasks than it tolerates.
func (c *Cell) exceedsMayMiss(w *worker) bool {
	for _, r := range inOrder(w.runs) {
		if r.task != nil && r.task.step.spec.Lasting && !r.task.step.canMiss(r) {
			return true
		}
	}
	return false
}

// handleUpkeepReply handles the outcome of an upkeep order.
func (c *Cell) handleUpkeepReply(in UpkeepReply) {
	w := c.waves[in.Wave]
	if w == nil {
		return
	}
	u := w.inUpkeep[in.Machine]
	if u == nil {
		return
	}
	u.orderInFlight = false
	c.logEvent("upkeep ordered", "wave", in.Wave, "machine", in.Machine, "err", in.Err)
	switch {
	case in.Err == nil:
		c.recordUpkeepBegun(w, in.Machine)
		c.checkUpkeep(u)
	case fault.Is(in.Err, fault.StaleEpoch):
		c.depose("machine " + in.Machine + " has seen a higher term")
	case fault.Is(in.Err, fault.Invalid):
		c.recordUpkeepBegun(w, in.Machine) // the machine no longer exists
		delete(w.inUpkeep, in.Machine)
	}
}

// checkUpkeep finds out whether a confirmed upkeep has ended the worker on the machine. An
// upkeep that was done before is confirmed as well, and ends nothing.
func (c *Cell) checkUpkeep(u *upkeep) {
	if u.worker == nil || u.worker.lost {
		return
	}
	u.worker.upkeepAt = c.now
	c.lastMachineListAt = 0
	c.requestMachineList()
}

// outliveUpkeep returns a worker to use that answers after an upkeep of its machine was
// confirmed: the upkeep had been done before.
func (c *Cell) outliveUpkeep(w *worker) {
	if w.upkeepAt == 0 || w.answeredAt < w.upkeepAt {
		return
	}
	c.logEvent("upkeep was done before", "worker", w.host.ID, "machine", w.host.Machine)
	w.upkeepAt = 0
	w.goingDown = false
	w.leaving = false
	c.markChanged(w)
}

func (c *Cell) recordUpkeepBegun(w *wave, machine string) {
	if !slices.Contains(w.progress.Begun, machine) {
		w.progress.Begun = append(w.progress.Begun, machine)
		c.writer.dirtyWaves[w.spec.Number] = w.progress
	}
}

// canMiss reports whether a lasting run may be stopped deliberately: few enough other
// tasks of its step are missing that the step tolerates one more.
func (s *stepState) canMiss(r *run) bool {
	if s.spec.MaxStopped == 0 {
		return true // no limit was set
	}
	missing := 0
	for _, t := range s.tasks {
		if t.run != r && (t.run == nil || t.run.percent < fullPercent || t.run.state != runRunning) {
			missing++
		}
	}
	return missing < s.spec.MaxStopped
}
