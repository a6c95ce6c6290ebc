package manifest

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodladder/dogwoodladder/document"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// limitsByZone holds the resources that batch tasks may use, by zone and group.
type limitsByZone map[string]map[string]resource.Vector

// Limits returns the resources that the batch tasks of each group may use in the
// zone: the group's share of the zone minus its services there. It returns nil
// for an undeclared zone.
func (m *Manifest) Limits(zone string) map[string]resource.Vector {
	z := m.zone(zone)
	if z == nil {
		return nil
	}
	limits := make(map[string]resource.Vector, len(m.Groups))
	for _, g := range m.Groups {
		limits[g.Name] = g.Share.In(zone).Of(z.Capacity)
	}
	for _, s := range m.Services {
		limits[s.Group] = limits[s.Group].Sub(s.Need.Scale(int64(s.Replicas)))
	}
	return limits
}

// Tasks returns the batch tasks that belong to the zone, in the order of the
// manifest. Task i of a job has the ID job/GROUP/NAME/i.
func (m *Manifest) Tasks(zone string) []record.Task {
	limits := m.allLimits()
	var tasks []record.Task
	for _, j := range m.Jobs {
		if m.zoneOfJob(j, limits) != zone {
			continue
		}
		for i := range j.Tasks {
			tasks = append(tasks, record.Task{
				ID:       fmt.Sprintf("%s/%d", j.ID(), i),
				Job:      j.ID(),
				Group:    j.Group,
				Need:     j.Need,
				Command:  j.Command,
				Duration: j.Duration,
				Urgent:   j.Urgent,
				Declared: true,
			})
		}
	}
	return tasks
}

// ID returns the job's ID, which is part of the IDs of its tasks.
func (j Job) ID() string {
	return "job/" + j.Group + "/" + j.Name
}

// AssignZones sets the zone of every job. previous is the manifest that m
// replaces, or nil if m is the first. A job that previous contains stays in its
// zone. The error is of type Problems and lists the jobs that can't stay.
//
// Each zone has its own stream, which doesn't know the tasks of other zones. A
// job that changed zones, because a zone was added or a share was changed, would
// be queued in the new zone while it still runs in the old one, and would have
// two results. So a job keeps its zone while it is declared, and needs a new name
// to move.
func (m *Manifest) AssignZones(previous *Manifest) error {
	var problems Problems
	zones := previous.jobZones()
	limits := m.allLimits()
	for i := range m.Jobs {
		j := &m.Jobs[i]
		if reason := m.setZone(j, zones[j.key()], limits); reason != "" {
			problems = append(problems, document.Problem{Place: m.places[j.key()], Reason: reason})
		}
	}
	if len(problems) == 0 {
		return nil
	}
	problems.Sort()
	return problems
}

// setZone sets the zone of j, and returns the reason if j can't run there.
func (m *Manifest) setZone(j *Job, previousZone string, limits limitsByZone) string {
	switch {
	case previousZone == "":
		j.AvailabilityZone = m.zoneOfJob(*j, limits)
	case m.zone(previousZone) == nil:
		return fmt.Sprintf("job %q is in zone %q, which is no longer declared; give it a new name to run it elsewhere", j.Name, previousZone)
	case j.AvailabilityZone != "" && j.AvailabilityZone != previousZone:
		return fmt.Sprintf("job %q is in zone %q already; give it a new name to run it in zone %q", j.Name, previousZone, j.AvailabilityZone)
	default:
		j.AvailabilityZone = previousZone
	}
	return m.reasonNotRunnable(*j, limits)
}

// jobZones returns the zone of every job.
func (m *Manifest) jobZones() map[jobKey]string {
	if m == nil {
		return nil
	}
	limits := m.allLimits()
	zones := make(map[jobKey]string, len(m.Jobs))
	for _, j := range m.Jobs {
		zones[j.key()] = m.zoneOfJob(j, limits)
	}
	return zones
}

// zoneOfJob returns the zone that j names. If it names none, it selects by
// rendezvous hashing one of the zones that can hold a task of j.
func (m *Manifest) zoneOfJob(j Job, limits limitsByZone) string {
	if j.AvailabilityZone != "" {
		return j.AvailabilityZone
	}
	var best string
	var highest uint64
	for _, z := range m.AvailabilityZones {
		if !j.Need.Fits(limits[z.Name][j.Group]) {
			continue
		}
		score := xxhash.Sum64String(z.Name + " " + j.ID())
		if best == "" || score > highest || score == highest && z.Name < best {
			best, highest = z.Name, score
		}
	}
	return best
}

// reasonNotRunnable returns the reason why j can never run, or "" if it can.
func (m *Manifest) reasonNotRunnable(j Job, limits limitsByZone) string {
	zone := m.zoneOfJob(j, limits)
	if zone == "" {
		return fmt.Sprintf("job %q needs %s, more than group %q may hold in any zone beside its services", j.Name, j.Need, j.Group)
	}
	if limit := limits[zone][j.Group]; !j.Need.Fits(limit) {
		return fmt.Sprintf("job %q needs %s, more than group %q may hold in zone %q beside its services, %s", j.Name, j.Need, j.Group, zone, limit)
	}
	return ""
}

func (m *Manifest) allLimits() limitsByZone {
	limits := make(limitsByZone, len(m.AvailabilityZones))
	for _, z := range m.AvailabilityZones {
		limits[z.Name] = m.Limits(z.Name)
	}
	return limits
}
