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

// informed drives the real packages. As an oracle it takes slowdowns and
// sizes from the fake's own tables, without lag or noise.
type informed struct {
	oracle  bool
	sizes   *usage.Sizes
	pairs   *interference.Estimator
	planner *placement.Planner
	ladder  *mitigation.Ladder
}

func newInformed(s Scenario, oracle bool, tune Tuning) *informed {
	pairs := []interference.Option{
		interference.WithLagBound(2*s.Lag + time.Minute),
		interference.WithSilence(2*s.Lag + 30*time.Second),
	}
	return &informed{
		oracle:  oracle,
		sizes:   usage.New(tune.Sizes...),
		pairs:   interference.New(append(pairs, tune.Pairs...)...),
		planner: placement.New(tune.Planner...),
		ladder:  mitigation.New(append([]mitigation.Option{mitigation.WithBudget(32, 128, 10*time.Minute)}, tune.Ladder...)...),
	}
}

func (p *informed) choose(d *driver, t *task) (int, bool) {
	need := p.need(d, t)
	added := p.describe(d, t)
	candidates := make([]placement.Candidate, 0, len(d.machines))
	index := map[string]int{}
	for i, m := range d.machines {
		free := d.free(m)
		if !need.Fits(free) {
			continue
		}
		c := placement.Candidate{
			Worker: m.name, Capacity: d.scenario.Size.Capacity, Free: free,
			Services: len(m.replicas), Silent: !p.oracle && p.pairs.Silent(d.at(), m.name),
		}
		c.Now, c.Slowdown = p.worst(d, m, nil), p.worst(d, m, &added)
		candidates = append(candidates, c)
		index[m.name] = i
	}
	worker, ok := p.planner.Choose(d.at(), placement.Task{ID: t.id, Class: added.Class, Kind: added.Kind, Need: need}, candidates)
	return index[worker], ok
}

func (p *informed) describe(d *driver, t *task) interference.Task {
	return interference.Task{ID: t.id, Class: d.batch[t.class].name, Kind: provider.KindBatch}
}

func (p *informed) worst(d *driver, m *machine, add *interference.Task) float64 {
	worst := 1.0
	for _, v := range p.victims(d, m, add) {
		worst = max(worst, v.Level)
	}
	return worst
}

func (p *informed) victims(d *driver, m *machine, add *interference.Task) []interference.Victim {
	if p.oracle {
		return d.truth(m, add)
	}
	if add != nil {
		return p.pairs.Pressure(d.at(), m.name, *add)
	}
	return p.pairs.Pressure(d.at(), m.name)
}

// truth is what the oracle sees.
func (d *driver) truth(m *machine, add *interference.Task) []interference.Victim {
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
		v := interference.Victim{Task: r.id, Class: d.services[r.service].name, Confidence: 1, From: d.at()}
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

func (p *informed) need(d *driver, t *task) resource.Vector {
	b := &d.batch[t.class]
	if p.oracle {
		return b.actual
	}
	return p.sizes.Need(b.name, b.declared)
}

func (p *informed) reserve(d *driver, r *replica) resource.Vector {
	s := &d.services[r.service]
	if p.oracle {
		return d.serviceUse(r.service)
	}
	return p.sizes.Need(s.name, s.declare)
}

func (p *informed) started(d *driver, t *task) {
	p.pairs.Placed(d.at(), d.machines[t.worker].name, p.describe(d, t))
}

func (p *informed) ended(d *driver, t *task, done bool) {
	p.pairs.Removed(d.at(), d.machines[t.worker].name, t.id)
	b := &d.batch[t.class]
	if done && t.percent == 100 && t.resumed == 0 {
		p.sizes.Finished(d.at(), b.name, b.guess, d.now-t.started)
	}
}

func (p *informed) report(d *driver, r provider.Report) {
	for _, u := range r.Usage {
		if p.pairs.Observe(d.at(), r.Worker, u) != interference.Used {
			continue
		}
		if t := d.byID[u.Task]; t != nil && t.percent == 100 {
			b := &d.batch[t.class]
			p.sizes.Observe(d.at(), b.name, b.declared, u.Used)
		}
		if u.Latency > 0 {
			s := &d.services[d.homes[u.Task]]
			p.sizes.Observe(d.at(), s.name, s.declare, u.Used)
		}
	}
}

func (p *informed) protect(d *driver, m *machine) {
	if len(m.replicas) == 0 {
		return
	}
	in := mitigation.Worker{ID: m.name, Victims: p.victims(d, m, nil)}
	if !p.oracle {
		in.Silent = p.pairs.Silent(d.at(), m.name)
	}
	capacity := float64(d.scenario.Size.Capacity.Processors)
	for _, r := range m.replicas {
		in.Load += float64(p.reserve(d, r).Processors) / capacity
	}
	for _, t := range m.tasks {
		a := p.account(d, t)
		a.Share = float64(p.need(d, t).Processors) / capacity
		in.Load += a.Share * float64(t.percent) / 100
		in.Tasks = append(in.Tasks, a)
	}
	for _, a := range p.ladder.Decide(d.at(), in) {
		p.carryOut(d, m, a)
	}
}

func (p *informed) account(d *driver, t *task) mitigation.Task {
	b := &d.batch[t.class]
	whole := p.sizes.Duration(b.name, b.guess)
	ran := d.now - t.started + time.Duration(t.resumed*float64(time.Second))
	return mitigation.Task{
		ID: t.id, Job: b.job, Group: b.group, Percent: t.percent,
		Lost: d.now - t.savedAt, Remaining: max(whole-ran, 0),
	}
}

func (p *informed) carryOut(d *driver, m *machine, a mitigation.Action) {
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
	p.pairs.Throttled(d.at(), m.name, a.Task, a.Percent)
}

// introduce tells the estimator of the services.
func (p *informed) introduce(d *driver) {
	for _, m := range d.machines {
		for _, r := range m.replicas {
			name := d.services[r.service].name
			p.pairs.Placed(d.at(), m.name, interference.Task{ID: r.id, Class: name, Kind: provider.KindService})
		}
	}
}
