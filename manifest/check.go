package manifest

import (
	"github.com/dogwoodladder/dogwoodladder/document"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// check reports inconsistencies between the parts of a manifest. Sizes are
// compared only if everything else is valid: a share that couldn't be parsed
// would make every job of its group look too big.
func (p *parser) check(root document.Node) {
	p.checkNames()
	p.checkShares()
	if !root.Valid() {
		return
	}
	p.checkPortions()
	p.checkServices()
	if root.Valid() {
		p.checkJobs(root)
	}
}

func (p *parser) checkNames() {
	m := p.manifest
	for _, at := range p.groups {
		for _, portion := range at.portions {
			if m.zone(portion.zone) == nil {
				portion.key.Report("unknown zone %q", portion.zone)
			}
		}
	}
	for i, s := range m.Services {
		p.checkGroup(s.Group, p.services[i].group)
	}
	for i, j := range m.Jobs {
		p.checkGroup(j.Group, p.jobs[i].group)
		if j.AvailabilityZone != "" && m.zone(j.AvailabilityZone) == nil {
			p.jobs[i].zone.Report("unknown zone %q", j.AvailabilityZone)
		}
	}
}

func (p *parser) checkGroup(name string, at document.Node) {
	if name != "" && p.manifest.group(name) == nil {
		at.Report("unknown group %q", name)
	}
}

// checkShares reports the first group whose share takes the sum in a zone above
// 100%.
func (p *parser) checkShares() {
	for _, z := range p.manifest.AvailabilityZones {
		var sum Portion
		for i, g := range p.manifest.Groups {
			before := sum
			sum = sum.add(g.Share.In(z.Name))
			name, total := sum.exceeds(hundredPercent)
			if name == "" {
				continue
			}
			if already, _ := before.exceeds(hundredPercent); already != "" {
				continue
			}
			p.groups[i].nodeOfPortion(z.Name).Report("shares of %s in zone %q sum to %s, limit 100%%", name, z.Name, total)
		}
	}
}

// checkPortions reports a group whose portions of the zones add up to more than
// its share of all zones together.
func (p *parser) checkPortions() {
	m := p.manifest
	for i, g := range m.Groups {
		if len(g.Share.Zones) == 0 {
			continue
		}
		var total, held resource.Vector
		for _, z := range m.AvailabilityZones {
			total = total.Add(z.Capacity)
			held = held.Add(g.Share.In(z.Name).Of(z.Capacity))
		}
		if limit := g.Share.Of(total); !held.Fits(limit) {
			p.groups[i].share.Report("portions of group %q hold %s, more than its share of all zones, %s", g.Name, held, limit)
		}
	}
}

// checkServices reports the first service that takes the need of its group's
// services above the group's share in a zone.
func (p *parser) checkServices() {
	m := p.manifest
	for _, z := range m.AvailabilityZones {
		used := map[string]resource.Vector{}
		for i, s := range m.Services {
			limit := m.group(s.Group).Share.In(z.Name).Of(z.Capacity)
			before := used[s.Group]
			used[s.Group] = before.Add(s.Need.Scale(int64(s.Replicas)))
			if before.Fits(limit) && !used[s.Group].Fits(limit) {
				p.services[i].need.Report("services of group %q need %s in zone %q, share %s", s.Group, used[s.Group], z.Name, limit)
			}
		}
	}
}

// checkJobs reports jobs that fit in no zone in addition to the group's
// services. Such a job would wait in the queue forever, so it is refused here,
// where its operator sees the error.
func (p *parser) checkJobs(root document.Node) {
	m := p.manifest
	limits := m.allLimits()
	tasks := 0
	for i, j := range m.Jobs {
		tasks += j.Tasks
		if reason := m.reasonNotRunnable(j, limits); reason != "" {
			p.jobs[i].need.Report("%s", reason)
		}
	}
	if tasks > MaxTasks {
		root.Report("%d tasks, limit %d", tasks, MaxTasks)
	}
}

func (p Portion) add(o Portion) Portion {
	return Portion{p.Processors + o.Processors, p.Memory + o.Memory, p.Accelerators + o.Accelerators}
}

// exceeds returns the name and percentage of the first resource of which p
// exceeds limit.
func (p Portion) exceeds(limit Percent) (string, Percent) {
	switch {
	case p.Processors > limit:
		return "processors", p.Processors
	case p.Memory > limit:
		return "memory", p.Memory
	case p.Accelerators > limit:
		return "accelerators", p.Accelerators
	}
	return "", 0
}
