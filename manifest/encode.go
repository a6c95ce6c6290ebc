package manifest

import (
	"reflect"

	"github.com/goccy/go-yaml"

	"github.com/dogwoodladder/dogwoodladder/document"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// publishedName is the file name of the canonical form in error messages.
const publishedName = "published"

type manifestText struct {
	Zones    []zoneText    `yaml:"zones"`
	Groups   []groupText   `yaml:"groups"`
	Services []serviceText `yaml:"services,omitempty"`
	Jobs     []jobText     `yaml:"jobs,omitempty"`
}

type zoneText struct {
	Name     string      `yaml:"name"`
	Region   string      `yaml:"region,omitempty"`
	Capacity amountsText `yaml:"capacity"`
}

type amountsText struct {
	Processors   string `yaml:"processors"`
	Memory       string `yaml:"memory"`
	Accelerators int64  `yaml:"accelerators,omitempty"`
}

type groupText struct {
	Name     string        `yaml:"name"`
	Share    portionText   `yaml:"share"`
	Portions yaml.MapSlice `yaml:"portions,omitempty"`
}

type portionText struct {
	Processors   string `yaml:"processors"`
	Memory       string `yaml:"memory"`
	Accelerators string `yaml:"accelerators"`
}

type serviceText struct {
	Name       string      `yaml:"name"`
	Group      string      `yaml:"group"`
	Replicas   int         `yaml:"replicas"`
	Need       amountsText `yaml:"need"`
	Slots      int         `yaml:"slots"`
	Timeout    string      `yaml:"timeout"`
	Idempotent bool        `yaml:"idempotent,omitempty"`
	Queue      int         `yaml:"queue,omitempty"`
	Command    string      `yaml:"command,omitempty"`
}

type jobText struct {
	Name     string      `yaml:"name"`
	Group    string      `yaml:"group"`
	Need     amountsText `yaml:"need"`
	Tasks    int         `yaml:"tasks"`
	Command  string      `yaml:"command,omitempty"`
	Duration string      `yaml:"duration,omitempty"`
	Urgent   bool        `yaml:"urgent,omitempty"`
	Zone     string      `yaml:"zone,omitempty"`
}

// Encode returns the canonical form of m for publication: YAML without comments
// in which every job names its zone.
//
// Encode decodes its own result and fails if it differs. Otherwise a string that
// the YAML library doesn't round-trip could put a different command in force
// than the operator declared.
func (m *Manifest) Encode() ([]byte, error) {
	t := m.text()
	data, err := yaml.Marshal(t)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode manifest")
	}
	if len(data) > document.MaxSize {
		return nil, fault.New(fault.TooLarge, "published manifest of %d bytes, limit %d", len(data), document.MaxSize)
	}
	back, err := Decode(data)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "read the encoded manifest back")
	}
	if !reflect.DeepEqual(back.text(), t) {
		return nil, fault.New(fault.Internal, "the encoded manifest reads back differently")
	}
	return data, nil
}

// Decode returns the manifest in the output of Encode.
func Decode(data []byte) (*Manifest, error) {
	return Parse(publishedName, data)
}

func (m *Manifest) text() manifestText {
	limits := m.allLimits()
	var t manifestText
	for _, z := range m.AvailabilityZones {
		t.Zones = append(t.Zones, zoneText{z.Name, z.Region, encodeAmounts(z.Capacity)})
	}
	for _, g := range m.Groups {
		t.Groups = append(t.Groups, m.encodeGroup(g))
	}
	for _, s := range m.Services {
		t.Services = append(t.Services, encodeService(s))
	}
	for _, j := range m.Jobs {
		t.Jobs = append(t.Jobs, encodeJob(j, m.zoneOfJob(j, limits)))
	}
	return t
}

// encodeGroup encodes a group with its portions in the order of the zones.
func (m *Manifest) encodeGroup(g Group) groupText {
	t := groupText{Name: g.Name, Share: encodePortion(g.Share.Portion)}
	for _, z := range m.AvailabilityZones {
		if p, ok := g.Share.Zones[z.Name]; ok {
			t.Portions = append(t.Portions, yaml.MapItem{Key: z.Name, Value: encodePortion(p)})
		}
	}
	return t
}

func encodeService(s Service) serviceText {
	return serviceText{
		Name:       s.Name,
		Group:      s.Group,
		Replicas:   s.Replicas,
		Need:       encodeAmounts(s.Need),
		Slots:      s.Slots,
		Timeout:    s.Timeout.String(),
		Idempotent: s.Idempotent,
		Queue:      s.Queue,
		Command:    s.Command,
	}
}

func encodeJob(j Job, zone string) jobText {
	t := jobText{
		Name:    j.Name,
		Group:   j.Group,
		Need:    encodeAmounts(j.Need),
		Tasks:   j.Tasks,
		Command: j.Command,
		Urgent:  j.Urgent,
		Zone:    zone,
	}
	if j.Duration > 0 {
		t.Duration = j.Duration.String()
	}
	return t
}

func encodeAmounts(v resource.Vector) amountsText {
	return amountsText{
		Processors:   formatAmount(v.Processors, processorUnits),
		Memory:       formatAmount(v.Memory, memoryUnits),
		Accelerators: v.Accelerators,
	}
}

func encodePortion(p Portion) portionText {
	return portionText{p.Processors.String(), p.Memory.String(), p.Accelerators.String()}
}
