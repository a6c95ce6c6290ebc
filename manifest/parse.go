package manifest

import (
	"github.com/dogwoodladder/dogwoodladder/document"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Bounds of a manifest.
const (
	MaxZones    = 64
	MaxGroups   = 500
	MaxServices = 1000
	MaxJobs     = 20_000
	MaxReplicas = 1000
	MaxSlots    = 10_000
	MaxQueue    = 100_000
	MaxJobTasks = 10_000  // of one job
	MaxTasks    = 100_000 // of all jobs
)

// Parse returns the manifest in data. The error is of type Problems, with file
// in each line.
func Parse(file string, data []byte) (*Manifest, error) {
	p := &parser{manifest: &Manifest{places: map[jobKey]document.Place{}}}
	if err := document.Read(file, data, p.root); err != nil {
		return nil, err
	}
	return p.manifest, nil
}

// parser collects a manifest and the nodes of its parts for error messages.
type parser struct {
	manifest *Manifest
	groups   []groupNodes
	services []serviceNodes
	jobs     []jobNodes
}

type groupNodes struct {
	share    document.Node
	portions []portionNode
}

type portionNode struct {
	zone string
	key  document.Node
}

type serviceNodes struct {
	group, need document.Node
}

type jobNodes struct {
	name, group, need, zone document.Node
}

func (p *parser) root(n document.Node) {
	n.Map(
		document.Required("zones", p.zones),
		document.Required("groups", func(n document.Node) { n.List(MaxGroups, p.group) }),
		document.Optional("services", func(n document.Node) { n.List(MaxServices, p.service) }),
		document.Optional("jobs", func(n document.Node) { n.List(MaxJobs, p.job) }),
	)
	p.check(n)
}

// nodeOfPortion returns the node that sets the group's portion of a zone.
func (g groupNodes) nodeOfPortion(zone string) document.Node {
	for _, p := range g.portions {
		if p.zone == zone {
			return p.key
		}
	}
	return g.share
}

func (p *parser) zones(n document.Node) {
	n.List(MaxZones, p.zone)
	if n.Valid() && len(p.manifest.AvailabilityZones) == 0 {
		n.Report("want at least one zone")
	}
}

func (p *parser) zone(n document.Node) {
	var z AvailabilityZone
	name := n
	n.Map(
		document.Required("name", document.StoreNode(&name, document.Into(&z.Name, document.Name))),
		document.Optional("region", document.Into(&z.Region, document.Name)),
		document.Required("capacity", amounts(&z.Capacity)),
	)
	if z.Name != "" && p.manifest.zone(z.Name) != nil {
		name.Report("duplicate zone %q", z.Name)
	}
	p.manifest.AvailabilityZones = append(p.manifest.AvailabilityZones, z)
}

func (p *parser) group(n document.Node) {
	var g Group
	at := groupNodes{share: n}
	name := n
	n.Map(
		document.Required("name", document.StoreNode(&name, document.Into(&g.Name, document.Name))),
		document.Required("share", document.StoreNode(&at.share, portion(&g.Share.Portion))),
		document.Optional("portions", func(n document.Node) {
			g.Share.Zones = map[string]Portion{}
			n.Entries(func(zone string, key, value document.Node) {
				var part Portion
				portion(&part)(value)
				g.Share.Zones[zone] = part
				at.portions = append(at.portions, portionNode{zone, key})
			})
		}),
	)
	if g.Name != "" && p.manifest.group(g.Name) != nil {
		name.Report("duplicate group %q", g.Name)
	}
	p.manifest.Groups = append(p.manifest.Groups, g)
	p.groups = append(p.groups, at)
}

func (p *parser) service(n document.Node) {
	s := Service{Slots: 1}
	var at serviceNodes
	name := n
	n.Map(
		document.Required("name", document.StoreNode(&name, document.Into(&s.Name, document.Name))),
		document.Required("group", document.StoreNode(&at.group, document.Into(&s.Group, document.Name))),
		document.Required("replicas", document.Into(&s.Replicas, document.Count(0, MaxReplicas))),
		document.Required("need", document.StoreNode(&at.need, amounts(&s.Need))),
		document.Optional("slots", document.Into(&s.Slots, document.Count(1, MaxSlots))),
		document.Required("timeout", document.Into(&s.Timeout, document.Duration)),
		document.Optional("idempotent", document.Into(&s.Idempotent, document.Bool)),
		document.Optional("queue", document.Into(&s.Queue, document.Count(0, MaxQueue))),
		document.Optional("command", document.Into(&s.Command, document.Text)),
	)
	if s.Name != "" && p.manifest.service(s.Name) != nil {
		name.Report("duplicate service %q", s.Name)
	}
	p.manifest.Services = append(p.manifest.Services, s)
	p.services = append(p.services, at)
}

func (p *parser) job(n document.Node) {
	j := Job{Tasks: 1}
	at := jobNodes{name: n}
	n.Map(
		document.Required("name", document.StoreNode(&at.name, document.Into(&j.Name, document.Name))),
		document.Required("group", document.StoreNode(&at.group, document.Into(&j.Group, document.Name))),
		document.Required("need", document.StoreNode(&at.need, amounts(&j.Need))),
		document.Optional("tasks", document.Into(&j.Tasks, document.Count(1, MaxJobTasks))),
		document.Optional("command", document.Into(&j.Command, document.Text)),
		document.Optional("duration", document.Into(&j.Duration, document.Duration)),
		document.Optional("urgent", document.Into(&j.Urgent, document.Bool)),
		document.Optional("zone", document.StoreNode(&at.zone, document.Into(&j.AvailabilityZone, document.Name))),
	)
	if _, found := p.manifest.places[j.key()]; found && j.Name != "" {
		at.name.Report("duplicate job %q of group %q", j.Name, j.Group)
	}
	p.manifest.places[j.key()] = at.name.Place()
	p.manifest.Jobs = append(p.manifest.Jobs, j)
	p.jobs = append(p.jobs, at)
}

// amounts parses the capacity of a zone or the need of a task.
func amounts(target *resource.Vector) func(document.Node) {
	return func(n document.Node) {
		n.Map(
			document.Required("processors", document.Into(&target.Processors, parseProcessors)),
			document.Required("memory", document.Into(&target.Memory, parseMemory)),
			document.Optional("accelerators", document.Into(&target.Accelerators, parseAccelerators)),
		)
	}
}

// portion parses one percentage for all resources, or one for each resource.
func portion(target *Portion) func(document.Node) {
	return func(n document.Node) {
		if !n.IsMap() {
			var p Percent
			document.Into(&p, parsePercent)(n)
			*target = Portion{Processors: p, Memory: p, Accelerators: p}
			return
		}
		n.Map(
			document.Required("processors", document.Into(&target.Processors, parsePercent)),
			document.Required("memory", document.Into(&target.Memory, parsePercent)),
			document.Optional("accelerators", document.Into(&target.Accelerators, parsePercent)),
		)
	}
}
