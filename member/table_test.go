package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

const (
	zone = "a"
	step = 100 * time.Millisecond // between ticks
)

// view drives one table through injected time. Heartbeats of the IDs given to
// run come once a second.
type view struct {
	*member.Table
	now      time.Time
	sequence uint64
	runs     map[string]uint64 // incarnation by ID, 1 when absent
	changes  []member.Change
}

func newView(opts ...member.Option) *view {
	self := member.Self{ID: "m", AvailabilityZone: zone, Incarnation: 1}
	return &view{Table: member.New(self, opts...), now: time.Unix(1000, 0), runs: map[string]uint64{}}
}

func (v *view) heartbeat(id string) member.Heartbeat {
	v.sequence++
	run := max(v.runs[id], 1)
	return member.Heartbeat{ID: id, AvailabilityZone: zone, Address: id + ":1", Incarnation: run, Sequence: v.sequence}
}

func (v *view) run(d time.Duration, heard ...string) {
	for range d / step {
		v.now = v.now.Add(step)
		if v.now.Nanosecond() == 0 {
			for _, id := range heard {
				v.Heard(v.now, v.heartbeat(id))
			}
		}
		v.changes = append(v.changes, v.Tick(v.now)...)
	}
}

func (v *view) list(ids ...string) {
	var list []provider.Instance
	for _, id := range ids {
		list = append(list, provider.Instance{ID: id, Role: provider.RoleEntry, AvailabilityZone: zone, Address: id + ":1"})
	}
	v.Listed(v.now, list)
}

func (v *view) state(id string) member.State {
	for _, m := range v.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return member.Unknown
}

func (v *view) owners() string {
	return fmt.Sprint(v.Live(zone))
}

// Symptom: workers of a dead instance have no owner for long, or those of a
// slow one are taken away.
// Sequence: n stops at once; a later heartbeat comes, or none.
// Cause: silence was taken for death too early, or never.
func TestSilence(t *testing.T) {
	is := is.New(t)
	v := newView()
	v.list("m", "n")
	v.run(2*time.Second, "n")
	is.Equal(v.state("n"), member.Live)

	v.run(4 * time.Second) // above the suspicion, below the confirmation
	is.Equal(v.state("n"), member.Suspect)
	is.Equal(v.owners(), "[m n]") // a suspect keeps its workers
	is.Equal(v.Lowest(zone), "m")

	v.run(time.Second, "n")
	is.Equal(v.state("n"), member.Live)

	v.run(5500 * time.Millisecond)
	is.Equal(v.state("n"), member.Dead)
	is.Equal(v.owners(), "[m]")
}

// Symptom: after a kill, workers wait the full suspicion although every
// connection to their owner is refused; or a restart of the listener alone
// costs an instance its workers.
// Sequence: a connection to n is refused; n is heard again, or isn't.
// Cause: a refusal was ignored, or believed without confirmation.
func TestRefusedConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		heard   []string
		removed bool // from the list
		after   time.Duration
		want    member.State
	}{
		{"heard again", []string{"n"}, false, 3 * time.Second, member.Live},
		{"unconfirmed", nil, false, 1900 * time.Millisecond, member.Suspect},
		{"confirmed by silence", nil, false, 2 * time.Second, member.Dead},
		{"confirmed by the list", nil, true, step, member.Dead},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := newView()
			v.list("n")
			v.run(2*time.Second, "n")
			v.Lost(v.now, "n")
			is.Equal(v.state("n"), member.Suspect)
			if c.removed {
				v.list()
			}
			v.run(c.after, c.heard...)
			is.Equal(v.state("n"), c.want)
		})
	}
}

// Symptom: workers are handed to and fro while a link fails in a rhythm.
// Sequence: n is heard for up, silent for down, and so on for ten minutes.
// Cause: a single heartbeat made n an owner again, or the hysteresis stayed
// short however often n had died.
func TestFlappingLink(t *testing.T) {
	for _, c := range []struct {
		up, down time.Duration
		moves    int // changes of the set of owners, at most
	}{
		{1 * time.Second, 1 * time.Second, 0},
		{1 * time.Second, 3 * time.Second, 0},  // suspected each time
		{4 * time.Second, 8 * time.Second, 1},  // dies once and never is steady
		{6 * time.Second, 8 * time.Second, 3},  // steady once; 85 without the doubling
		{15 * time.Second, 8 * time.Second, 5}, // 51 without the doubling
	} {
		t.Run(fmt.Sprint(c.up, c.down), func(t *testing.T) {
			is := is.New(t)
			v := newView()
			v.list("n")
			v.run(2*time.Second, "n")
			owners, moves := v.owners(), 0
			for begin := v.now; v.now.Sub(begin) < 10*time.Minute; {
				phase := v.now.Sub(begin) % (c.up + c.down)
				if phase < c.up {
					v.run(step, "n")
				} else {
					v.run(step)
				}
				if now := v.owners(); now != owners {
					owners = now
					moves++
				}
			}
			is.True(moves <= c.moves)
			t.Log("changes of the set of owners:", moves)
		})
	}
}

// Symptom: workers hash to an instance that is long gone, or a new instance
// gets none for minutes.
// Sequence: n dies and stays on the list; o starts and isn't on it yet, then
// p is listed before it ever speaks.
// Cause: the list was taken for the truth.
func TestLaggingList(t *testing.T) {
	is := is.New(t)
	v := newView()
	v.list("n")
	v.run(2*time.Second, "n")
	for range 12 {
		v.list("n")
		v.run(time.Second)
	}
	is.Equal(v.state("n"), member.Dead)

	v.run(4*time.Second, "o")
	is.Equal(v.owners(), "[m]") // not steady yet
	v.run(3*time.Second, "o")
	is.Equal(v.owners(), "[m o]")

	moved := v.heartbeat("o")
	moved.Address = "o:2"
	v.Heard(v.now, moved)
	v.list("n", "o", "p") // still with o:1
	is.Equal(v.Members()[2].Address, "o:2")
	is.Equal(v.state("p"), member.Joining)
	v.run(20*time.Second, "o")
	is.Equal(v.owners(), "[m o]")
	is.Equal(v.state("p"), member.Dead)
	v.run(7*time.Second, "o", "p")
	is.Equal(v.owners(), "[m o p]")
}

// Symptom: a starting instance asks for every worker's lease, and each is
// refused by its owner.
// Sequence: m starts, has the list, and has heard nobody yet.
// Cause: only heartbeats counted, so m took itself for the only one.
func TestFirstListIsBelieved(t *testing.T) {
	is := is.New(t)
	v := newView()
	v.list("m", "n", "o")
	v.run(3*time.Second, "n")
	is.Equal(v.owners(), "[m n o]")
	is.Equal(v.Isolated(), false)
	v.run(3*time.Second, "n")
	is.Equal(v.owners(), "[m n]") // o was not there
}

// Symptom: batch work waits for an owner that has forgotten it.
// Sequence: n is killed and restarted under its ID and address within a
// second; messages of the old run arrive late.
// Cause: the new run was taken for the old one.
func TestRestartUnderTheSameID(t *testing.T) {
	is := is.New(t)
	v := newView()
	v.list("n")
	v.run(2*time.Second, "n")
	late := v.heartbeat("n")
	late.Sequence += 1000
	repeated := v.heartbeat("n")
	is.Equal(v.Heard(v.now, repeated), member.Accepted)
	is.Equal(v.Heard(v.now, repeated), member.Duplicate)

	v.runs["n"] = 2
	v.changes = nil
	is.Equal(v.Heard(v.now, v.heartbeat("n")), member.Restarted)
	is.Equal(v.Heard(v.now, late), member.Outdated)
	v.run(step)
	is.Equal(v.changes, []member.Change{{
		ID: "n", AvailabilityZone: zone, Incarnation: 2, Before: 1, From: member.Live, To: member.Joining,
	}})
	is.Equal(v.owners(), "[m]")
	v.run(6*time.Second, "n")
	is.Equal(v.owners(), "[m n]")

	v.runs["n"] = 3 // it crashes again and again
	v.run(6*time.Second, "n")
	is.Equal(v.state("n"), member.Joining)

	newer := v.heartbeat("m")
	newer.Incarnation = 2
	is.Equal(v.Heard(v.now, newer), member.Replaced)
}

// Symptom: after a pause of its own, an instance declares all others dead and
// reaches for their workers.
// Sequence: m is stopped for a minute; the heartbeats that came meanwhile are
// read only after the first tick.
// Cause: m's own silence was taken for theirs.
func TestOwnPause(t *testing.T) {
	is := is.New(t)
	v := newView()
	v.list("n", "o", "q")
	v.run(2*time.Second, "n", "o", "q")
	v.run(4*time.Second, "n", "o", "p")
	is.Equal(v.state("p"), member.Joining)
	is.Equal(v.state("q"), member.Suspect)
	v.changes = nil
	v.now = v.now.Add(time.Minute)
	v.run(step)
	is.Equal(len(v.changes), 0)
	v.run(time.Second, "n", "p")
	is.Equal(v.state("p"), member.Joining) // the pause wasn't steady
	v.run(4*time.Second, "n")
	is.Equal(v.state("n"), member.Live)
	is.Equal(v.state("o"), member.Suspect) // silent since the pause
}

// Symptom: nobody can tell that an instance serves alone because it is cut
// off.
// Sequence: m hears nobody, then n again; later the others leave the list.
// Cause: an empty set of peers looked the same as a cut.
func TestIsolation(t *testing.T) {
	is := is.New(t)
	v := newView()
	v.list("n", "o")
	v.run(2*time.Second, "n", "o")
	v.run(3500 * time.Millisecond)
	is.True(v.Isolated())
	is.Equal(v.owners(), "[m n o]")
	v.run(3 * time.Second)
	is.Equal(v.owners(), "[m]") // its place among the owners stays
	is.Equal(v.Lowest(zone), "m")
	v.run(time.Second, "n")
	is.Equal(v.Isolated(), false)
}

// Symptom: an instance that is shutting down gets workers handed to it, or
// its peers wait out a suspicion.
// Sequence: n says that it leaves, then stops; m leaves.
// Cause: leaving was not told apart from dying, or could be taken back.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	v := newView()
	v.list("n")
	v.run(2*time.Second, "n")
	leaving := v.heartbeat("n")
	leaving.Leaving = true
	v.Heard(v.now, leaving)
	is.Equal(v.owners(), "[m]")
	v.run(2*time.Second, "n") // a run can't take its leaving back
	is.Equal(v.state("n"), member.Leaving)
	v.Lost(v.now, "n")
	is.Equal(v.state("n"), member.Left)
	is.Equal(v.Missing(1), []string(nil))

	v.run(7*time.Second, "o")
	v.Due(v.now, 0)
	is.Equal(v.Due(v.now, 0), []string(nil))
	v.Leave()
	is.Equal(v.owners(), "[o]")
	is.Equal(v.Due(v.now, 0), []string{"o"}) // told at once
	is.True(v.Table.Heartbeat("", 0, "", nil).Leaving)
}

// Symptom: apply reports that a configuration is in force everywhere while an
// instance still works by the old one.
// Sequence: n and o show revision 7 and 8; p is listed but was never heard,
// q is dead and still listed.
// Cause: only members that were heard were counted.
func TestMissing(t *testing.T) {
	is := is.New(t)
	v := newView()
	v.list("n", "o", "p", "q")
	v.run(2*time.Second, "q")
	for id, revision := range map[string]uint64{"n": 7, "o": 8} {
		h := v.heartbeat(id)
		h.Revision = revision
		v.Heard(v.now, h)
	}
	is.Equal(v.Missing(7), []string{"p", "q"})
	is.Equal(v.Missing(8), []string{"n", "p", "q"})
	v.run(6*time.Second, "n", "o")
	is.Equal(v.Missing(7), []string{"p", "q"})
	v.list("n", "o")
	is.Equal(v.Missing(7), []string(nil)) // dead and off the list

	v.Due(v.now, 7)
	is.Equal(v.Due(v.now, 7), []string(nil))
	is.Equal(v.Due(v.now, 8), []string{"n", "o"}) // at once
}

// Symptom: an instance grows until it is killed.
// Sequence: instances come and go under ever new names.
// Cause: members were never forgotten.
func TestBoundedMemory(t *testing.T) {
	is := is.New(t)
	v := newView(member.WithLimit(20), member.WithRetention(time.Minute))
	for i := range 100 {
		v.list("n", fmt.Sprint("listed", i))
		v.run(2*time.Second, "n", fmt.Sprint("heard", i))
		is.True(len(v.Members()) <= 20)
	}
	v.list("n")
	v.run(2*time.Minute, "n")
	is.Equal(len(v.Members()), 2)
	for i := range 30 {
		v.run(time.Second, "n", fmt.Sprint("new", i)) // more at once than fit
	}
	is.True(len(v.Members()) <= 20)
	is.Equal(v.state("n"), member.Live)
}

// Symptom: during a rolling replacement some instances think that a worker
// belongs to one that is gone.
// Sequence: eight instances in two zones are replaced one by one under new
// names, each leaving before its successor starts; the list lags by 10 s.
// Cause: views drifted apart and never met again.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	f.run(10 * time.Second)
	for i := range 8 {
		f.replace(i)
		f.run(20 * time.Second)
		for _, z := range []string{"a", "b"} {
			want := f.ids(z)
			for _, table := range f.tables {
				is.Equal(table.Live(z), want)
			}
		}
	}
}

// fleet connects several tables by heartbeats without loss.
type fleet struct {
	now    time.Time
	next   int
	tables []*member.Table
	names  []member.Self
	list   []provider.Instance // as of lagged
	lagged time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), tables: make([]*member.Table, n), names: make([]member.Self, n)}
	for i := range n {
		f.start(i)
	}
	f.refresh()
	return f
}

func (f *fleet) start(i int) {
	f.next++
	f.names[i] = member.Self{ID: fmt.Sprintf("i%02d", f.next), AvailabilityZone: string(rune('a' + i%2)), Incarnation: 1}
	f.tables[i] = member.New(f.names[i])
}

func (f *fleet) replace(i int) {
	f.tables[i].Leave()
	f.run(2 * time.Second)
	f.start(i)
}

func (f *fleet) refresh() {
	f.lagged = f.now
	f.list = nil
	for _, s := range f.names {
		f.list = append(f.list, provider.Instance{ID: s.ID, Role: provider.RoleEntry, AvailabilityZone: s.AvailabilityZone})
	}
}

func (f *fleet) ids(zone string) []string {
	var ids []string
	for _, s := range f.names {
		if s.AvailabilityZone == zone {
			ids = append(ids, s.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func (f *fleet) run(d time.Duration) {
	for range d / step {
		f.now = f.now.Add(step)
		if f.now.Sub(f.lagged) >= 10*time.Second {
			f.refresh()
		}
		for i, table := range f.tables {
			table.Listed(f.now, f.list)
			f.exchange(i)
			table.Tick(f.now)
		}
	}
}

func (f *fleet) exchange(from int) {
	for _, to := range f.tables[from].Due(f.now, 0) {
		h := f.tables[from].Heartbeat("", 0, "", nil)
		for i, s := range f.names {
			if s.ID == to {
				f.tables[i].Heard(f.now, h)
			}
		}
	}
}
