package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// entryWriter writes the list entries of workers at intervals, unless the store is away or they
// are cut off from it.
type entryWriter struct {
	onlyChanges bool           // an entry is written only if the worker has changed
	lapses      bool           // entries expire while the store is away
	away        []span         // the store, for all
	cutOff      map[int][]span // workers by number
}

type span struct{ from, until time.Duration }

func covers(spans []span, at time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return at >= s.from && at < s.until })
}

const entryIntervals = 3 // without a write until an entry expires

// apply sets the capacity in the entry that a worker has on the list at a time, and returns when
// the entry was written. It returns false if the entry has expired.
func (e *entryWriter) apply(at time.Duration, w *fakeWorker, h *provider.Host) (provider.EntryWrite, bool) {
	phase := time.Duration(w.number) * 137 * time.Millisecond % entryInterval
	beat := (at-phase)/entryInterval*entryInterval + phase
	silent, missed := 0, 0 // beats without a write, those of them while the store was there
	for beat > 0 && (covers(e.away, beat) || covers(e.cutOff[w.number], beat)) {
		if silent++; !covers(e.away, beat) {
			missed++
		}
		beat -= entryInterval
	}
	if missed >= entryIntervals || e.lapses && silent >= entryIntervals {
		return provider.EntryWrite{}, false
	}
	h.Capacity = w.capacityAt(beat)
	written := beat
	for e.onlyChanges && written > entryInterval && w.capacityAt(written-entryInterval) == h.Capacity {
		written -= entryInterval
	}
	return provider.EntryWrite{Clock: w.clockAt(written)}, true
}

// awayFrom makes the store unavailable to everyone for a while.
func (s *site) awayFrom(from, until time.Duration) {
	s.entries.away = append(s.entries.away, span{from, until})
	for _, o := range s.owners {
		s.after(from, func() { o.noStore, o.noList = true, true })
		s.after(until, func() { o.noStore, o.noList = false, false })
	}
}

// cutOff cuts every nth worker off from the store for a while.
func (s *site) cutOff(nth int, from, until time.Duration) {
	s.entries.cutOff = make(map[int][]span)
	for i := range s.workers {
		if i%nth == 0 {
			s.entries.cutOff[i] = []span{{from, until}}
		}
	}
}

// Guards against starts by the capacity that a worker had before it was unable to report
// that it shrank.
func TestStartsByEntriesFromBefore(t *testing.T) {
	const away, back = 4 * time.Second, 8500 * time.Millisecond
	tests := []struct {
		name string
		play func(s *site)
	}{
		{"the store is away", func(s *site) { s.awayFrom(away, back) }},
		{"the store is away, and entries expire", func(s *site) {
			s.entries.lapses = true
			s.awayFrom(away, back)
		}},
		{"the store is away twice", func(s *site) {
			s.awayFrom(away, away+2500*time.Millisecond)
			s.awayFrom(away+2900*time.Millisecond, back+time.Second)
		}},
		{"an owner follows as the store is back", func(s *site) {
			s.awayFrom(away, back)
			s.after(back+50*time.Millisecond, func() { s.replaceOwner(0, 1) })
		}},
		{"an owner follows later", func(s *site) {
			s.awayFrom(away, back)
			s.after(back+400*time.Millisecond, func() { s.replaceOwner(0, 1) })
		}},
		{"the owner alone can't reach the store", func(s *site) {
			s.after(away, func() { s.owners[0].noStore, s.owners[0].noList = true, true })
			s.after(back, func() { s.owners[0].noStore, s.owners[0].noList = false, false })
		}},
		{"the owner stands still while the store is away", func(s *site) {
			s.awayFrom(away, back)
			s.after(away+100*time.Millisecond, func() { s.owners[0].freeze(back - away) })
		}},
		{"workers can't reach the store", func(s *site) { s.cutOff(2, away, back) }},
		{"workers can't reach the store for longer", func(s *site) { s.cutOff(2, away, back+4*time.Second) }},
		{"workers can't reach the store, and an owner follows", func(s *site) {
			s.cutOff(2, away, back)
			s.after(away+3*time.Second, func() { s.replaceOwner(0, 1) })
		}},
		{"workers can't reach the store when it is back", func(s *site) {
			s.awayFrom(away, back)
			s.cutOff(2, away, back+2*time.Second)
		}},
		{"workers can't be reached by anyone", func(s *site) {
			s.cutOff(2, away, back)
			s.after(away, func() { s.owners[0].cutOffEvery(2) })
			s.after(back, func() { clear(s.owners[0].unreachable) })
		}},
	}
	writers := []struct {
		name   string
		writer entryWriter
	}{
		{"renewed", entryWriter{}},
		{"only changes", entryWriter{onlyChanges: true}},
	}
	for _, tt := range tests {
		for _, how := range writers {
			t.Run(fmt.Sprint(tt.name, " ", how.name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				const jobs, every = 150, 100 * time.Millisecond
				s := newSite(t, 750, 8, 2)
				writer := how.writer
				s.entries = &writer
				s.submitEvery(jobs, every)
				s.owners[0].takeOver()
				tt.play(s)
				s.after(away+200*time.Millisecond, func() {
					for i := 0; i < len(s.workers); i += 2 {
						s.workers[i].resize(40)
					}
				})
				s.after(16*time.Second, func() {
					for _, w := range s.workers {
						w.resize(100)
					}
				})
				s.run(jobs*every + 3*settleTime)
				is.Equal(s.violations, nil)
				for i := range jobs {
					is.Equal(s.state(jobID(i)), "completed")
				}
			})
		}
	}
}

// Guards against an entry of unknown age that counts as fresh at an owner whose clock has just
// begun.
func TestStartsOfAYoungProcess(t *testing.T) {
	tests := []struct {
		name   string
		clock  int64 // worker's clock when it wrote the entry
		starts bool
	}{
		{"the entry is from before", 20_000, false},
		{"the entry is fresh", 27_000, true},
		{"the entry tells no time", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 760, 1, 1)
			s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(1, 1)}})
			w := s.workers[0]
			c, err := cell.New(cell.Self{Instance: "e1", Term: 4096, Sequence: 1}, cell.DefaultTiming(), s.store.readCatalog(t), 0, wall(0))
			is.NoErr(err)
			list := provider.HostList{Hosts: []provider.Host{w.host}, Writes: []provider.EntryWrite{{Clock: tt.clock}}}
			starts, sequence := 0, uint64(0)
			step := func(now time.Duration, in cell.Input) {
				for _, a := range c.Step(now, in) {
					switch a := a.(type) {
					case cell.Start:
						starts++
					case cell.Save:
						sequence = a.Sequence
					}
				}
			}
			step(0, cell.ConfigChanged{Table: s.table})
			for now := time.Duration(0); now < time.Second; now += 20 * time.Millisecond {
				list.AsOf = now
				step(now, cell.WorkerList{List: list})
				step(now, cell.HoldReply{Host: w.host.ID, Token: 4096, Sent: now, Held: provider.HoldResult{StartedAt: w.host.StartedAt, Clock: 28_000 + now.Milliseconds()}})
				step(now, cell.SaveReply{Sequence: sequence})
				step(now, cell.Tick{Wall: wall(now)})
			}
			is.Equal(starts > 0, tt.starts)
		})
	}
}
