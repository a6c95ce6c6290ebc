package batch

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/message"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

var (
	errLog    = fault.New(fault.Unavailable, "log")
	errSilent = fault.New(fault.MayHaveRun, "no answer")
)

// stream is one stream of the simulated log. A read at its end waits for the
// next record.
type stream struct {
	name         string
	entries      []provider.Entry
	pendingReads []*pendingRead
}

// pendingRead is a read that waits for the next record.
type pendingRead struct {
	from   uint64
	answer func(provider.Page)
	done   bool
}

func (c *cluster) stream(name string) *stream {
	s, ok := c.streams[name]
	if !ok {
		s = &stream{name: name}
		c.streams[name] = s
	}
	return s
}

func (s *stream) append(c *cluster, records [][]byte) {
	c.meter.appends[s.name]++
	for _, data := range records {
		s.entries = append(s.entries, provider.Entry{Offset: uint64(len(s.entries)), Time: c.now, Data: data})
	}
	waiting := s.pendingReads
	s.pendingReads = nil
	for _, w := range waiting {
		s.answer(w)
	}
}

func (s *stream) read(c *cluster, from uint64, answer func(provider.Page)) {
	w := &pendingRead{from: from, answer: answer}
	if from < uint64(len(s.entries)) {
		s.answer(w)
		return
	}
	s.pendingReads = append(s.pendingReads, w)
	c.after(readWait, func() { s.answer(w) })
}

func (s *stream) answer(w *pendingRead) {
	if w.done {
		return
	}
	w.done = true
	last := min(uint64(len(s.entries)), w.from+readLimit)
	w.answer(provider.Page{Next: uint64(len(s.entries)), Entries: s.entries[w.from:last:last]})
}

// entriesBetween returns the entries that were accepted within [from, to).
func (s *stream) entriesBetween(from, to time.Time) []provider.Entry {
	var found []provider.Entry
	for _, e := range s.entries {
		if !e.Time.Before(from) && e.Time.Before(to) {
			found = append(found, e)
		}
	}
	return found
}

func inputOf(from string, m message.Message) controller.Input {
	switch m := m.(type) {
	case message.Heartbeat:
		return controller.Heard{Heartbeat: member.Heartbeat(m)}
	case message.Handover:
		return controller.HandedOver{From: from, Worker: m.Worker, Epoch: m.Epoch}
	case message.ConfigRequest:
		return controller.Asked{From: from, Revision: m.Revision}
	case message.Config:
		return controller.Offered{From: from, Config: m}
	}
	return nil
}
