package mixed

import (
	"math"
	"time"

	"github.com/dogwoodladder/dogwoodladder/interference"
	"github.com/dogwoodladder/dogwoodladder/mitigation"
	"github.com/dogwoodladder/dogwoodladder/placement"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/usage"
)

// interferenceAware decides with packages usage, interference, placement and
// mitigation. As an oracle it takes slowdowns and sizes from the tables of the
// simulation, without lag or noise.
type interferenceAware struct {
	oracle  bool
	sizes   *usage.Sizes
	pairs   *interference.Estimator
	planner *placement.Planner
	ladder  *mitigation.Ladder
}

func newInterferenceAware(s Scenario, oracle bool, tuning Tuning) *interferenceAware {
	pairs := []interference.Option{
		interference.WithLagBound(2*s.Lag + time.Minute),
		interference.WithSilence(2*s.Lag + 30*time.Second),
	}
	return &interferenceAware{
		oracle:  oracle,
		sizes:   usage.New(tuning.Sizes...),
		pairs:   interference.New(append(pairs, tuning.Pairs...)...),
		planner: placement.New(tuning.Planner...),
		ladder:  mitigation.New(append([]mitigation.Option{mitigation.WithBudget(32, 128, 10*time.Minute)}, tuning.Ladder...)...),
	}
}

func (p *interferenceAware) choose(d *driver, t *task) (int, bool) {
	need := p.taskReservation(d, t)
	added := p.taskOf(d, t)
	candidates := make([]placement.Candidate, 0, len(d.machines))
	index := map[string]int{}
	for i, m := range d.machines {
		free := d.free(m)
		if !need.Fits(free) {
			continue
		}
		c := placement.Candidate{
			Worker: m.name, Capacity: d.scenario.Size.Capacity, Free: free,
			Services: len(m.replicas), Silent: !p.oracle && p.pairs.Silent(d.clock(), m.name),
		}
		c.CurrentSlowdown, c.Slowdown = p.worstLevel(d, m, nil), p.worstLevel(d, m, &added)
		candidates = append(candidates, c)
		index[m.name] = i
	}
	worker, ok := p.planner.Choose(d.clock(), placement.Task{ID: t.id, Class: added.Class, Kind: added.Kind, Need: need}, candidates)
	return index[worker], ok
}

func (p *interferenceAware) taskOf(d *driver, t *task) interference.Task {
	return interference.Task{ID: t.id, Class: d.batch[t.class].name, Kind: provider.KindBatch}
}

func (p *interferenceAware) worstLevel(d *driver, m *machine, add *interference.Task) float64 {
	worst := 1.0
	for _, v := range p.victims(d, m, add) {
		worst = max(worst, v.Level)
	}
	return worst
}

func (p *interferenceAware) victims(d *driver, m *machine, add *interference.Task) []interference.Victim {
	if p.oracle {
		return d.trueVictims(m, add)
	}
	if add != nil {
		return p.pairs.Pressure(d.clock(), m.name, *add)
	}
	return p.pairs.Pressure(d.clock(), m.name)
}

// trueVictims returns the actual slowdowns of the replicas on a machine, for
// the oracle. A non-nil add is included as if it ran there.
func (d *driver) trueVictims(m *machine, add *interference.Task) []interference.Victim {
	tasks := m.tasks
	for c := range d.batch {
		if add != nil && d.batch[c].name == add.Class {
			tasks = append(tasks[:len(tasks):len(tasks)], &task{id: add.ID, class: c, percent: 100})
		}
	}
	used, capacity := d.used(m), d.scenario.Size.Capacity
	contention := max(1, float64(used.Processors)/float64(capacity.Processors))
	var list []interference.Victim
	for _, r := range m.replicas {
		v := interference.Victim{Task: r.id, Class: d.services[r.service].name, Confidence: 1, ObservedSince: d.clock()}
		v.Predicted = d.slowdown(r.service, tasks)
		v.Level = v.Predicted * contention * contention
		v.Observed = v.Level
		v.Culprits = make([]interference.Culprit, 0, len(tasks))
		for _, t := range tasks {
			harm := math.Log1p(d.pairs[d.phase()][r.service][t.class] * (0.5 + d.load(r.service)))
			v.Culprits = append(v.Culprits, interference.Culprit{
				Task: t.id, Class: d.batch[t.class].name, Kind: provider.KindBatch,
				Harm: harm, Activity: float64(t.percent) / 100, Confidence: 1,
			})
		}
		list = append(list, v)
	}
	return list
}

func (p *interferenceAware) taskReservation(d *driver, t *task) resource.Vector {
	b := &d.batch[t.class]
	if p.oracle {
		return b.actual
	}
	return p.sizes.Need(b.name, b.declared)
}

func (p *interferenceAware) replicaReservation(d *driver, r *replica) resource.Vector {
	s := &d.services[r.service]
	if p.oracle {
		return d.serviceUse(r.service)
	}
	return p.sizes.Need(s.name, s.declared)
}

func (p *interferenceAware) taskStarted(d *driver, t *task) {
	p.pairs.Placed(d.clock(), d.machines[t.worker].name, p.taskOf(d, t))
}

func (p *interferenceAware) taskEnded(d *driver, t *task, done bool) {
	p.pairs.Removed(d.clock(), d.machines[t.worker].name, t.id)
	b := &d.batch[t.class]
	if done && t.percent == 100 && t.resumed == 0 {
		p.sizes.Finished(d.clock(), b.name, b.declaredDuration, d.now-t.started)
	}
}

func (p *interferenceAware) handleReport(d *driver, r provider.Report) {
	for _, u := range r.Usage {
		if p.pairs.Observe(d.clock(), r.Worker, u) != interference.Used {
			continue
		}
		if t := d.byID[u.Task]; t != nil && t.percent == 100 {
			b := &d.batch[t.class]
			p.sizes.Observe(d.clock(), b.name, b.declared, u.Used)
		}
		if u.Latency > 0 {
			s := &d.services[d.serviceOf[u.Task]]
			p.sizes.Observe(d.clock(), s.name, s.declared, u.Used)
		}
	}
}

func (p *interferenceAware) protect(d *driver, m *machine) {
	if len(m.replicas) == 0 {
		return
	}
	in := mitigation.Worker{ID: m.name, Victims: p.victims(d, m, nil)}
	if !p.oracle {
		in.Silent = p.pairs.Silent(d.clock(), m.name)
	}
	capacity := float64(d.scenario.Size.Capacity.Processors)
	for _, r := range m.replicas {
		in.Load += float64(p.replicaReservation(d, r).Processors) / capacity
	}
	for _, t := range m.tasks {
		a := p.mitigationTask(d, t)
		a.ProcessorShare = float64(p.taskReservation(d, t).Processors) / capacity
		in.Load += a.ProcessorShare * float64(t.percent) / 100
		in.Tasks = append(in.Tasks, a)
	}
	for _, a := range p.ladder.Decide(d.clock(), in) {
		p.apply(d, m, a)
	}
}

func (p *interferenceAware) mitigationTask(d *driver, t *task) mitigation.Task {
	b := &d.batch[t.class]
	duration := p.sizes.Duration(b.name, b.declaredDuration)
	ran := d.now - t.started + time.Duration(t.resumed*float64(time.Second))
	return mitigation.Task{
		ID: t.id, Job: b.job, Group: b.group, Percent: t.percent,
		LostWork: d.now - t.savedAt, Remaining: max(duration-ran, 0),
	}
}

func (p *interferenceAware) apply(d *driver, m *machine, a mitigation.Action) {
	if a.Kind == mitigation.Move {
		d.result.Moves++
		return
	}
	t := d.byID[a.Task]
	if a.Kind == mitigation.Evict {
		d.evict(t)
		return
	}
	d.setThrottle(t, a.Percent)
	p.pairs.Throttled(d.clock(), m.name, a.Task, a.Percent)
}

// registerServices reports the placement of all replicas to the estimator.
func (p *interferenceAware) registerServices(d *driver) {
	for _, m := range d.machines {
		for _, r := range m.replicas {
			name := d.services[r.service].name
			p.pairs.Placed(d.clock(), m.name, interference.Task{ID: r.id, Class: name, Kind: provider.KindService})
		}
	}
}
