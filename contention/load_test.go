package contention_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/contention"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/ranking"
)

const (
	poolCores       = 1_200_000 // thousandths of a core
	taskCores       = 1800
	passInterval    = 50 * time.Millisecond
	sortInterval    = 200 * time.Millisecond
	publishInterval = 500 * time.Millisecond
	simulatedTime   = 90 * time.Second
	countedFrom     = 10 * time.Second // jobs that arrive earlier meet an empty pool
)

// submission is a job of the model: steps that follow each other.
type submission struct {
	*job.Job
	class    string // queue and availability zone
	arrived  time.Duration
	length   []time.Duration // real run time of a task, by step
	step     int             // current one
	ready    int             // its waiting tasks
	running  int             // its running tasks
	promoted bool
	rejected bool
	endedAt  time.Duration
}

// worth returns what the job was worth to its caller.
func (s *submission) worth() float64 {
	took, objective := s.endedAt-s.arrived, s.Terms.ObjectiveFor(job.CriticalPath(s.Steps))
	switch {
	case s.endedAt == 0 || took > 3*objective:
		return 0
	case took > objective:
		return 0.15
	}
	return 1
}

func (s *submission) origin() overload.Origin {
	return overload.Origin{Queue: s.Queue, Zone: s.Zone, Priority: s.Terms.Priority}
}

// rank returns the rank as package cell computes it.
func (s *submission) rank(now time.Duration) ranking.Rank {
	objective := s.Terms.ObjectiveFor(job.CriticalPath(s.Steps))
	due := s.arrived + objective - job.CriticalPath(s.Steps[s.step:])
	r := ranking.Rank{Priority: s.Terms.Priority, Due: due, Standing: ranking.StandingOf(now, s.arrived, due, objective)}
	for i := s.step; i < len(s.Steps); i++ {
		r.Work += float64(s.Steps[i].Count) * taskCores / 1000 * s.Steps[i].Estimate.Seconds()
	}
	return r
}

// run is a task that runs in the model.
type run struct {
	s        *submission
	endsAt   time.Duration
	promoted bool
}

// model is a pool of processors without workers.
type model struct {
	rng       *rand.Rand
	now       time.Duration
	sharing   bool // package contention is used, and not package ranking alone
	all       []*submission
	waiting   []*submission
	runs      []run
	free      int64
	flow      overload.Flow
	published *overload.Pool
	maxIdle   int64 // most processors that were free beside waiting work
}

// class is a queue's load from one availability zone.
type class struct {
	queue, zone string
	share       float64 // of the whole load
	tasks       int     // of a step
	terms       job.Terms
}

func (c class) name() string { return c.queue + "/" + c.zone }

func (m *model) arrive(c class) {
	steps := make([]job.Step, 2)
	s := &submission{class: c.name(), arrived: m.now}
	for i := range steps {
		length := time.Duration((1.4 + 0.8*m.rng.Float64()) * float64(time.Second))
		s.length = append(s.length, length)
		steps[i] = job.Step{Count: c.tasks, Estimate: time.Duration((0.7 + 0.6*m.rng.Float64()) * float64(length))}
	}
	steps[1].After = []int{0}
	s.Job = &job.Job{Queue: c.queue, Zone: c.zone, Steps: steps, Terms: c.terms}
	m.all = append(m.all, s)
	if m.sharing && contention.Judge(m.published, s.Job, m.rng.Float64()).TooLate {
		s.rejected = true
		return
	}
	s.ready = c.tasks
	m.waiting = append(m.waiting, s)
}

// work returns the mean core-seconds of a job.
func (c class) work() float64 { return 2 * float64(c.tasks) * taskCores / 1000 * 1.8 }

func (m *model) play(load float64, classes []class) {
	due := make([]float64, len(classes))
	m.free = poolCores
	for m.now = passInterval; m.now < simulatedTime; m.now += passInterval {
		for i, c := range classes {
			due[i] += load * c.share * poolCores / 1000 * passInterval.Seconds() / c.work() * 2 * m.rng.Float64()
			for ; due[i] >= 1; due[i]-- {
				m.arrive(c)
			}
		}
		m.endRuns()
		if m.now%sortInterval == 0 {
			m.sort()
		}
		m.startAll()
		lacking := make(map[int]bool)
		for _, s := range m.waiting {
			lacking[s.Terms.Priority] = true
		}
		m.flow.SetFull(m.now, lacking)
		if m.now%publishInterval == 0 {
			m.publish()
		}
	}
}

func (m *model) endRuns() {
	m.runs = slices.DeleteFunc(m.runs, func(r run) bool {
		if r.endsAt > m.now {
			return false
		}
		m.free += taskCores
		s := r.s
		s.running--
		if s.running > 0 || s.ready > 0 {
			return true
		}
		s.step++
		s.promoted = false
		if s.step == len(s.Steps) {
			s.endedAt = m.now
		} else {
			s.ready = s.Steps[s.step].Count
			m.waiting = append(m.waiting, s)
		}
		return true
	})
}

func (m *model) sort() {
	ranks := make(map[*submission]ranking.Rank)
	for _, s := range m.waiting {
		ranks[s] = s.rank(m.now)
	}
	r := ranking.New(func(yield func(ranking.Rank) bool) {
		for _, rank := range ranks {
			if !yield(rank) {
				return
			}
		}
	})
	slices.SortStableFunc(m.waiting, func(a, b *submission) int { return r.Compare(ranks[a], ranks[b]) })
	if !m.sharing {
		return
	}
	o := contention.NewOrder()
	for _, r := range m.runs {
		o.AddUse(r.s.Queue, r.s.Zone, taskCores, r.promoted)
	}
	for _, s := range m.waiting {
		o.Add(contention.Step{Queue: s.Queue, Zone: s.Zone, Rank: ranks[s], Demand: int64(s.ready) * taskCores,
			Waited: m.now - s.arrived, Objective: s.Terms.ObjectiveFor(job.CriticalPath(s.Steps))})
	}
	sorted := make([]*submission, 0, len(m.waiting))
	for _, i := range o.Sorted() {
		m.waiting[i].promoted = o.IsPromoted(i)
		sorted = append(sorted, m.waiting[i])
	}
	m.waiting = sorted
}

func (m *model) startAll() {
	for _, s := range m.waiting {
		for s.ready > 0 && m.free >= taskCores {
			m.free -= taskCores
			s.ready--
			s.running++
			m.runs = append(m.runs, run{s: s, endsAt: m.now + s.length[s.step], promoted: s.promoted})
			m.flow.RecordStart(m.now, s.origin(), taskCores/1000*s.Steps[s.step].Estimate.Seconds())
		}
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(s *submission) bool { return s.ready == 0 })
	if len(m.waiting) > 0 {
		m.maxIdle = max(m.maxIdle, m.free)
	}
}

func (m *model) publish() {
	waiting := make(map[overload.Origin]float64)
	for _, s := range m.waiting {
		waiting[s.origin()] += float64(s.ready) * taskCores / 1000 * s.Steps[s.step].Estimate.Seconds()
	}
	m.published = m.flow.Pool(m.now, waiting)
}

// result is what the callers of a class got.
type result struct {
	jobs, inTime, late, rejected, tooLate, unfinished int
	worth                                             float64 // mean
	work, useful                                      int     // tasks of all jobs, and of those in time
}

func (m *model) results() map[string]result {
	results := make(map[string]result)
	for _, s := range m.all {
		if s.arrived < countedFrom || s.arrived > simulatedTime-30*time.Second {
			continue
		}
		for _, name := range []string{"all", s.class} {
			r := results[name]
			r.jobs++
			r.work += 2 * s.Steps[0].Count
			r.worth += (s.worth() - r.worth) / float64(r.jobs)
			switch worth := s.worth(); {
			case s.rejected:
				r.rejected++
			case worth == 1:
				r.inTime++
				r.useful += 2 * s.Steps[0].Count
			case worth > 0:
				r.late++
			case s.endedAt > 0:
				r.tooLate++
			default:
				r.unfinished++
			}
			results[name] = r
		}
	}
	return results
}

func play(sharing bool, load float64, classes []class) *model {
	m := &model{rng: rand.New(rand.NewPCG(1, 2)), sharing: sharing}
	m.play(load, classes)
	return m
}

// Guards against a full pool in which one queue's callers get what others are due, and
// against accepted jobs that are never done.
func TestLoads(t *testing.T) {
	filling := job.Terms{Priority: 2, Stretch: 2, Objective: time.Second}
	urgent := job.Terms{Stretch: 1.5, Objective: 300 * time.Millisecond}
	classes := []class{
		{"urgent", "a", 0.06, 10, urgent},
		{"heavy", "a", 0.5, 20, filling}, {"heavy", "b", 0.2, 20, filling},
		{"light", "a", 0.1, 20, filling}, {"light", "b", 0.1, 20, filling},
		{"large", "a", 0.04, 60, filling},
	}
	tests := []struct {
		load     float64
		minWorth map[string]float64 // mean worth of a job by class
	}{
		{1, map[string]float64{"urgent/a": 0.95, "heavy/a": 0.95, "heavy/b": 0.95, "light/a": 0.95, "light/b": 0.95, "large/a": 0.95}},
		// The three queues are due a third each, which light and large don't use up.
		{1.5, map[string]float64{"urgent/a": 0.95, "heavy/a": 0.2, "heavy/b": 0.7, "light/a": 0.95, "light/b": 0.95, "large/a": 0.95}},
		{2.5, map[string]float64{"urgent/a": 0.95, "heavy/a": 0.05, "heavy/b": 0.15, "light/a": 0.6, "light/b": 0.6, "large/a": 0.95}},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.load), func(t *testing.T) {
			is := is.New(t)
			sharing := play(true, tt.load, classes)
			before, after := play(false, tt.load, classes).results(), sharing.results()
			for name, r := range after {
				t.Logf("%s: ranking %+v", name, before[name])
				t.Logf("%s: sharing %+v", name, r)
				is.True(r.worth >= tt.minWorth[name])
			}
			is.True(sharing.maxIdle < taskCores) // no idle processors beside waiting work
			all, allBefore := after["all"], before["all"]
			is.True(float64(all.useful) >= 0.9*float64(allBefore.useful))
			if tt.load == 1 {
				is.Equal(all.rejected, 0)
			} else {
				is.True(all.tooLate+all.unfinished < allBefore.tooLate+allBefore.unfinished) // rejected on arrival instead
			}
		})
	}
}
