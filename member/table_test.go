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

// testTable drives one table with injected time. advance delivers heartbeats of
// the given IDs once a second.
type testTable struct {
	*member.Table
	now          time.Time
	sequence     uint64
	incarnations map[string]uint64 // incarnation by ID, 1 when absent
	changes      []member.Change
}

func newTestTable(opts ...member.Option) *testTable {
	self := member.Self{ID: "m", AvailabilityZone: zone, Incarnation: 1}
	return &testTable{Table: member.New(self, opts...), now: time.Unix(1000, 0), incarnations: map[string]uint64{}}
}

func (v *testTable) heartbeat(id string) member.Heartbeat {
	v.sequence++
	run := max(v.incarnations[id], 1)
	return member.Heartbeat{ID: id, AvailabilityZone: zone, Address: id + ":1", Incarnation: run, Sequence: v.sequence}
}

func (v *testTable) advance(d time.Duration, heard ...string) {
	for range d / step {
		v.now = v.now.Add(step)
		if v.now.Nanosecond() == 0 {
			for _, id := range heard {
				v.HandleHeartbeat(v.now, v.heartbeat(id))
			}
		}
		v.changes = append(v.changes, v.Tick(v.now)...)
	}
}

func (v *testTable) list(ids ...string) {
	var list []provider.Instance
	for _, id := range ids {
		list = append(list, provider.Instance{ID: id, Role: provider.RoleEntry, AvailabilityZone: zone, Address: id + ":1"})
	}
	v.HandleList(v.now, list)
}

func (v *testTable) state(id string) member.State {
	for _, m := range v.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return member.Unknown
}

func (v *testTable) owners() string {
	return fmt.Sprint(v.Live(zone))
}

// A silent member must be suspected first, keep its workers, and be declared
// dead only if no further heartbeat arrives. Declaring it too early takes the
// workers of a slow instance; too late leaves those of a dead one without owner.
func TestSilence(t *testing.T) {
	is := is.New(t)
	v := newTestTable()
	v.list("m", "n")
	v.advance(2*time.Second, "n")
	is.Equal(v.state("n"), member.Live)

	v.advance(4 * time.Second) // above the suspicion, below the confirmation
	is.Equal(v.state("n"), member.Suspect)
	is.Equal(v.owners(), "[m n]") // a suspect keeps its workers
	is.Equal(v.Lowest(zone), "m")

	v.advance(time.Second, "n")
	is.Equal(v.state("n"), member.Live)

	v.advance(5500 * time.Millisecond)
	is.Equal(v.state("n"), member.Dead)
	is.Equal(v.owners(), "[m]")
}

// A refused connection must shorten the detection of a dead member, but needs
// confirmation. If it were ignored, workers would wait the full suspicion after
// a kill; if it were final, a restart of the listener would cost an instance its
// workers.
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
			v := newTestTable()
			v.list("n")
			v.advance(2*time.Second, "n")
			v.HandleRefused(v.now, "n")
			is.Equal(v.state("n"), member.Suspect)
			if c.removed {
				v.list()
			}
			v.advance(c.after, c.heard...)
			is.Equal(v.state("n"), c.want)
		})
	}
}

// A link that alternates between up and down for ten minutes must not move
// workers back and forth. That happens if a single heartbeat makes n an owner
// again, or if the join delay doesn't grow with repeated deaths.
func TestFlappingLink(t *testing.T) {
	for _, c := range []struct {
		up, down time.Duration
		moves    int // maximum number of changes of the set of owners
	}{
		{1 * time.Second, 1 * time.Second, 0},
		{1 * time.Second, 3 * time.Second, 0},  // suspected each time
		{4 * time.Second, 8 * time.Second, 1},  // dies once and never is steady
		{6 * time.Second, 8 * time.Second, 3},  // steady once; 85 without the doubling
		{15 * time.Second, 8 * time.Second, 5}, // 51 without the doubling
	} {
		t.Run(fmt.Sprint(c.up, c.down), func(t *testing.T) {
			is := is.New(t)
			v := newTestTable()
			v.list("n")
			v.advance(2*time.Second, "n")
			owners, moves := v.owners(), 0
			for begin := v.now; v.now.Sub(begin) < 10*time.Minute; {
				phase := v.now.Sub(begin) % (c.up + c.down)
				if phase < c.up {
					v.advance(step, "n")
				} else {
					v.advance(step)
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

// The list may lag: n dies and stays listed, o starts before it is listed, and
// p is listed before its first heartbeat. Trusting the list would assign workers
// to an instance that is gone, or none to a new one for minutes.
func TestLaggingList(t *testing.T) {
	is := is.New(t)
	v := newTestTable()
	v.list("n")
	v.advance(2*time.Second, "n")
	for range 12 {
		v.list("n")
		v.advance(time.Second)
	}
	is.Equal(v.state("n"), member.Dead)

	v.advance(4*time.Second, "o")
	is.Equal(v.owners(), "[m]") // not steady yet
	v.advance(3*time.Second, "o")
	is.Equal(v.owners(), "[m o]")

	moved := v.heartbeat("o")
	moved.Address = "o:2"
	v.HandleHeartbeat(v.now, moved)
	v.list("n", "o", "p") // still with o:1
	is.Equal(v.Members()[2].Address, "o:2")
	is.Equal(v.state("p"), member.Joining)
	v.advance(20*time.Second, "o")
	is.Equal(v.owners(), "[m o]")
	is.Equal(v.state("p"), member.Dead)
	v.advance(7*time.Second, "o", "p")
	is.Equal(v.owners(), "[m o p]")
}

// A starting instance that has the list but no heartbeats yet must count the
// listed members as owners. Otherwise it would consider itself the only one and
// request the lease of every worker.
func TestFirstListIsBelieved(t *testing.T) {
	is := is.New(t)
	v := newTestTable()
	v.list("m", "n", "o")
	v.advance(3*time.Second, "n")
	is.Equal(v.owners(), "[m n o]")
	is.Equal(v.Isolated(), false)
	v.advance(3*time.Second, "n")
	is.Equal(v.owners(), "[m n]") // o sent no heartbeat
}

// n is killed and restarts under its ID and address within a second, and late
// messages of the old incarnation arrive. If the new incarnation were taken for
// the old one, batch work would wait for an owner that doesn't know of it.
func TestRestartUnderTheSameID(t *testing.T) {
	is := is.New(t)
	v := newTestTable()
	v.list("n")
	v.advance(2*time.Second, "n")
	late := v.heartbeat("n")
	late.Sequence += 1000
	repeated := v.heartbeat("n")
	is.Equal(v.HandleHeartbeat(v.now, repeated), member.Accepted)
	is.Equal(v.HandleHeartbeat(v.now, repeated), member.Duplicate)

	v.incarnations["n"] = 2
	v.changes = nil
	is.Equal(v.HandleHeartbeat(v.now, v.heartbeat("n")), member.Restarted)
	is.Equal(v.HandleHeartbeat(v.now, late), member.Outdated)
	v.advance(step)
	is.Equal(v.changes, []member.Change{{
		ID: "n", AvailabilityZone: zone, Incarnation: 2, PreviousIncarnation: 1, From: member.Live, To: member.Joining,
	}})
	is.Equal(v.owners(), "[m]")
	v.advance(6*time.Second, "n")
	is.Equal(v.owners(), "[m n]")

	v.incarnations["n"] = 3 // repeated crashes
	v.advance(6*time.Second, "n")
	is.Equal(v.state("n"), member.Joining)

	newer := v.heartbeat("m")
	newer.Incarnation = 2
	is.Equal(v.HandleHeartbeat(v.now, newer), member.Replaced)
}

// m is paused for a minute and reads the heartbeats that arrived meanwhile only
// after its first tick. It must not take its own pause for the silence of the
// others, declare them all dead and try to acquire their workers.
func TestOwnPause(t *testing.T) {
	is := is.New(t)
	v := newTestTable()
	v.list("n", "o", "q")
	v.advance(2*time.Second, "n", "o", "q")
	v.advance(4*time.Second, "n", "o", "p")
	is.Equal(v.state("p"), member.Joining)
	is.Equal(v.state("q"), member.Suspect)
	v.changes = nil
	v.now = v.now.Add(time.Minute)
	v.advance(step)
	is.Equal(len(v.changes), 0)
	v.advance(time.Second, "n", "p")
	is.Equal(v.state("p"), member.Joining) // the pause doesn't count towards the join delay
	v.advance(4*time.Second, "n")
	is.Equal(v.state("n"), member.Live)
	is.Equal(v.state("o"), member.Suspect) // silent since the pause
}

// An instance that is cut off from all others must report that it is isolated,
// which must be distinguishable from having no peers.
func TestIsolation(t *testing.T) {
	is := is.New(t)
	v := newTestTable()
	v.list("n", "o")
	v.advance(2*time.Second, "n", "o")
	v.advance(3500 * time.Millisecond)
	is.True(v.Isolated())
	is.Equal(v.owners(), "[m n o]")
	v.advance(3 * time.Second)
	is.Equal(v.owners(), "[m]") // m stays among the owners
	is.Equal(v.Lowest(zone), "m")
	v.advance(time.Second, "n")
	is.Equal(v.Isolated(), false)
}

// n announces that it leaves and then stops; m leaves. If leaving weren't
// distinguished from dying, or could be undone, an instance that shuts down
// would be given workers, or its peers would wait for the suspicion timeout.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	v := newTestTable()
	v.list("n")
	v.advance(2*time.Second, "n")
	leaving := v.heartbeat("n")
	leaving.Leaving = true
	v.HandleHeartbeat(v.now, leaving)
	is.Equal(v.owners(), "[m]")
	v.advance(2*time.Second, "n") // leaving can't be undone within an incarnation
	is.Equal(v.state("n"), member.Leaving)
	v.HandleRefused(v.now, "n")
	is.Equal(v.state("n"), member.Left)
	is.Equal(v.MembersBehind(1), []string(nil))

	v.advance(7*time.Second, "o")
	v.Due(v.now, 0)
	is.Equal(v.Due(v.now, 0), []string(nil))
	v.BeginLeave()
	is.Equal(v.owners(), "[o]")
	is.Equal(v.Due(v.now, 0), []string{"o"}) // told at once
	is.True(v.Table.Heartbeat("", 0, "", nil).Leaving)
}

// n and o announce revisions 7 and 8, p is listed without a heartbeat, and q is
// dead but still listed. Counting only members with heartbeats would make apply
// report a configuration as in force everywhere while p or q uses the old one.
func TestMissing(t *testing.T) {
	is := is.New(t)
	v := newTestTable()
	v.list("n", "o", "p", "q")
	v.advance(2*time.Second, "q")
	for id, revision := range map[string]uint64{"n": 7, "o": 8} {
		h := v.heartbeat(id)
		h.Revision = revision
		v.HandleHeartbeat(v.now, h)
	}
	is.Equal(v.MembersBehind(7), []string{"p", "q"})
	is.Equal(v.MembersBehind(8), []string{"n", "p", "q"})
	v.advance(6*time.Second, "n", "o")
	is.Equal(v.MembersBehind(7), []string{"p", "q"})
	v.list("n", "o")
	is.Equal(v.MembersBehind(7), []string(nil)) // dead and off the list

	v.Due(v.now, 7)
	is.Equal(v.Due(v.now, 7), []string(nil))
	is.Equal(v.Due(v.now, 8), []string{"n", "o"}) // at once
}

// Instances come and go under new names. If members were never forgotten, the
// memory of an instance would grow until it is killed.
func TestBoundedMemory(t *testing.T) {
	is := is.New(t)
	v := newTestTable(member.WithLimit(20), member.WithRetention(time.Minute))
	for i := range 100 {
		v.list("n", fmt.Sprint("listed", i))
		v.advance(2*time.Second, "n", fmt.Sprint("heard", i))
		is.True(len(v.Members()) <= 20)
	}
	v.list("n")
	v.advance(2*time.Minute, "n")
	is.Equal(len(v.Members()), 2)
	for i := range 30 {
		v.advance(time.Second, "n", fmt.Sprint("new", i)) // more at once than fit
	}
	is.True(len(v.Members()) <= 20)
	is.Equal(v.state("n"), member.Live)
}

// Eight instances in two zones are replaced one by one under new names, each
// leaving before its successor starts, while the list lags by 10 s. The views
// must converge, or some instances would assign workers to one that is gone.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	f.advance(10 * time.Second)
	for i := range 8 {
		f.replace(i)
		f.advance(20 * time.Second)
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
	now      time.Time
	next     int
	tables   []*member.Table
	names    []member.Self
	list     []provider.Instance // at the time lagged
	listedAt time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), tables: make([]*member.Table, n), names: make([]member.Self, n)}
	for i := range n {
		f.start(i)
	}
	f.refreshList()
	return f
}

func (f *fleet) start(i int) {
	f.next++
	f.names[i] = member.Self{ID: fmt.Sprintf("i%02d", f.next), AvailabilityZone: string(rune('a' + i%2)), Incarnation: 1}
	f.tables[i] = member.New(f.names[i])
}

func (f *fleet) replace(i int) {
	f.tables[i].BeginLeave()
	f.advance(2 * time.Second)
	f.start(i)
}

func (f *fleet) refreshList() {
	f.listedAt = f.now
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

func (f *fleet) advance(d time.Duration) {
	for range d / step {
		f.now = f.now.Add(step)
		if f.now.Sub(f.listedAt) >= 10*time.Second {
			f.refreshList()
		}
		for i, table := range f.tables {
			table.HandleList(f.now, f.list)
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
				f.tables[i].HandleHeartbeat(f.now, h)
			}
		}
	}
}
