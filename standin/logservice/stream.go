package logservice

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// stream holds the entries kept of a stream; the first has the offset oldest.
type stream struct {
	oldest   uint64
	entries  []provider.Entry
	bytes    int
	appended chan struct{} // closed and replaced by each append
}

func newStream() *stream {
	return &stream{appended: make(chan struct{})}
}

func (s *stream) next() uint64 {
	return s.oldest + uint64(len(s.entries))
}

func (s *stream) append(records [][]byte, now time.Time) uint64 {
	first := s.next()
	for _, data := range records {
		s.entries = append(s.entries, provider.Entry{Offset: s.next(), Time: now, Data: data})
		s.bytes += len(data)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// trim drops the oldest entries as long as there are more than keep, the oldest
// was appended before horizon, or the data exceeds MaxBytes.
func (s *stream) trim(keep int, horizon time.Time) {
	for len(s.entries) > 0 && s.isExpired(keep, horizon) {
		s.bytes -= len(s.entries[0].Data)
		s.entries[0] = provider.Entry{}
		s.entries = s.entries[1:]
		s.oldest++
	}
}

func (s *stream) isExpired(keep int, horizon time.Time) bool {
	return len(s.entries) > keep || s.entries[0].Time.Before(horizon) || s.bytes > MaxBytes
}

func (s *stream) page(from uint64, limit int) (provider.Page, <-chan struct{}, error) {
	page := provider.Page{Oldest: s.oldest, Next: s.next()}
	if from < s.oldest {
		return page, nil, fault.New(fault.Expired, "offset %d, oldest kept %d", from, s.oldest)
	}
	if from > s.next() {
		return page, nil, fault.New(fault.Invalid, "offset %d beyond the end %d", from, s.next())
	}
	rest := s.entries[from-s.oldest:]
	page.Entries = append(page.Entries, rest[:pageLength(rest, limit)]...)
	if len(page.Entries) == 0 {
		return page, s.appended, nil
	}
	return page, nil, nil
}

// pageLength returns how many entries fit into one page: at most limit, and no
// more data than wire.MaxPageDataBytes, but at least one.
func pageLength(entries []provider.Entry, limit int) int {
	size := 0
	for n, e := range entries {
		size += len(e.Data)
		if n == limit || (n > 0 && size > wire.MaxPageDataBytes) {
			return n
		}
	}
	return len(entries)
}
