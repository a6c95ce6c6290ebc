// Package revision decides which configuration is in force. It folds the
// configuration stream, which all availability zones share, and takes over
// what peers pass on to an instance that is cut off from the log.
//
// Usage:
//
//	history := revision.New()
//	page, err := log.Read(ctx, stream, history.Next(), limit, wait)
//	if fault.Is(err, fault.Expired) {
//		history.Restart(page.Oldest)
//	}
//	for _, entry := range page.Entries {
//		outcome := history.Apply(entry.Offset, entry.Data)
//		logger.Info("configuration", zap.Stringer("outcome", outcome))
//	}
//	use(history.Current().Manifest)
//
// A Publish names the revision it replaces. The order of the log settles
// conflicts: the first one wins and the others are void, at every instance
// alike. An instance that can't read the start of the stream knows nothing
// until it reads a Restate; until then it serves what peers gave it. The
// revision of Current only grows.
//
// A History holds at most two manifests of MaxManifest bytes.
package revision

import "github.com/cespare/xxhash/v2"

// Revision is a numbered configuration and who published it.
type Revision struct {
	Number   uint64 // 0 before the first
	Digest   uint64 // of Manifest
	Manifest []byte
	Author   string // unknown when a peer passed the revision on
	Key      string
	Offset   uint64 // of the record that published it
}

// History is the fold of the configuration stream. It isn't safe for
// concurrent use.
type History struct {
	next    uint64 // offset of the next record
	folded  Revision
	known   bool   // folded is in force before next
	changes uint64 // no Publish that may count lies at or after it, as far as was read
	anchor  uint64
	current Revision
	clashes uint64
}

// New returns the history of a stream from its first record on.
func New() *History {
	return &History{known: true, folded: initial(), current: initial()}
}

// initial is what is in force before the first revision.
func initial() Revision {
	return Revision{Digest: xxhash.Sum64(nil)}
}

// Next returns the offset to read from.
func (h *History) Next() uint64 {
	return h.next
}

// Current returns the revision in force at this instance.
func (h *History) Current() Revision {
	return h.current
}

// Known reports whether the records read so far tell what is in force in the
// stream.
func (h *History) Known() bool {
	return h.known
}

// Anchor returns the offset from which, or from any before it, a late joiner
// can start to read. A Restate is due before the log drops it.
func (h *History) Anchor() uint64 {
	return h.anchor
}

// Clashes counts the times that one revision was seen with two contents. Any
// is a defect.
func (h *History) Clashes() uint64 {
	return h.clashes
}

// Restart continues at the oldest offset that the log still keeps.
//
// The records between were never read. A Publish among them may have replaced
// the revision known here; a fold that went on would take a later Publish with
// the same base as valid, and two instances would hold different contents
// under one number. So nothing is known until a Restate says what is in force.
func (h *History) Restart(oldest uint64) {
	if oldest <= h.next {
		return
	}
	h.next = oldest
	h.forget()
}

// Apply folds the record at offset. The same records give the same revisions
// at every instance.
func (h *History) Apply(offset uint64, data []byte) Outcome {
	if offset < h.next {
		return h.outcome(Ignored, offset)
	}
	h.Restart(offset)
	h.next = offset + 1
	record, err := Decode(data)
	switch {
	case record.Version > Version:
		h.forget() // instances of the newer version may have taken it
		return h.outcome(Unknown, offset)
	case err != nil:
		return h.outcome(Ignored, offset)
	case record.Publish != nil:
		return h.publish(offset, record.Publish)
	default:
		return h.restate(offset, record.Restate)
	}
}

// Adopt takes over a revision that a peer passed on and reports whether it is
// in force now.
//
// A heartbeat can be late, damaged or from a peer that is behind. Taken
// unchecked it would put an older configuration back in force, and an operator
// would see an accepted change undone. So the number must grow, the content
// must match its digest, and an equal number with another content is counted.
func (h *History) Adopt(number, digest uint64, manifest []byte) bool {
	if len(manifest) == 0 || len(manifest) > MaxManifest || xxhash.Sum64(manifest) != digest {
		return false
	}
	if number == h.current.Number && digest != h.current.Digest {
		h.clashes++
	}
	if number <= h.current.Number {
		return false
	}
	h.current = Revision{Number: number, Digest: digest, Manifest: manifest}
	return true
}

// Restate returns the record that lets late joiners start, or false when it
// isn't known here what is in force.
func (h *History) Restate() (Record, bool) {
	if !h.known {
		return Record{}, false
	}
	r := h.folded
	return Record{Restate: &Restate{
		Next:     h.next,
		Revision: r.Number,
		Author:   r.Author,
		Key:      r.Key,
		Offset:   r.Offset,
		Manifest: r.Manifest,
	}}, true
}

func (h *History) publish(offset uint64, p *Publish) Outcome {
	unread := h.changes
	h.changes = offset + 1
	if p.Anew {
		return h.publishAnew(offset, p, unread)
	}
	switch {
	case !h.known:
		return h.outcome(Unknown, offset)
	case h.published(p):
		return h.outcome(Repeated, offset)
	case p.Base != h.folded.Number:
		return h.outcome(Void, offset)
	}
	h.fold(newRevision(p.Base+1, offset, p))
	return h.outcome(Published, offset)
}

// publishAnew takes p if nothing was published since its writer read the
// stream. Each revision takes a record of its own, so offset+1 is above all
// earlier ones.
//
// A copy of the record may arrive long after it took effect. Taken again it
// would undo what was published in between. An instance that knows what is in
// force sees that from its offset; one that doesn't takes the record only if
// it has read all of the stream from p.Next on and met no Publish there.
func (h *History) publishAnew(offset uint64, p *Publish, unread uint64) Outcome {
	switch {
	case !h.known && p.Next < unread:
		return h.outcome(Unknown, offset)
	case h.known && h.published(p):
		return h.outcome(Repeated, offset)
	case h.known && h.folded.Number > 0 && h.folded.Offset >= p.Next:
		return h.outcome(Void, offset)
	}
	h.fold(newRevision(offset+1, offset, p))
	return h.outcome(Published, offset)
}

// published reports whether p is a copy of what is in force.
func (h *History) published(p *Publish) bool {
	return h.folded.Number > 0 && p.Key == h.folded.Key && p.Author == h.folded.Author
}

// restate lets a late joiner start.
//
// The writer read the stream up to r.Next only. A Publish between there and
// this record makes the revision an old one; a joiner that started from it
// would judge every later Publish by the wrong base and drift away from the
// others for good. So the record counts only for an instance that has read all
// of the stream from r.Next on and met no Publish there.
func (h *History) restate(offset uint64, r *Restate) Outcome {
	if r.Next > offset || r.Next < h.changes {
		return h.outcome(Stale, offset)
	}
	revision := Revision{
		Number:   r.Revision,
		Digest:   xxhash.Sum64(r.Manifest),
		Manifest: r.Manifest,
		Author:   r.Author,
		Key:      r.Key,
		Offset:   r.Offset,
	}
	if h.known && (revision.Number != h.folded.Number || revision.Digest != h.folded.Digest) {
		h.clashes++
		return h.outcome(Stale, offset)
	}
	h.fold(revision)
	h.anchor = r.Next
	return h.outcome(Restated, offset)
}

// fold makes r the revision in force in the stream, and here unless a peer
// passed on a later one. The log goes before peers when contents differ.
func (h *History) fold(r Revision) {
	h.folded = r
	h.known = true
	if r.Number == h.current.Number && r.Digest != h.current.Digest && r.Number > 0 {
		h.clashes++
	}
	if r.Number >= h.current.Number {
		h.current = r
	}
}

func (h *History) forget() {
	h.known = false
	h.folded = initial()
	h.changes = h.next
}

func (h *History) outcome(kind Kind, offset uint64) Outcome {
	winner := h.folded
	winner.Manifest = nil
	return Outcome{Kind: kind, Offset: offset, Winner: winner}
}

func newRevision(number, offset uint64, p *Publish) Revision {
	return Revision{
		Number:   number,
		Digest:   xxhash.Sum64(p.Manifest),
		Manifest: p.Manifest,
		Author:   p.Author,
		Key:      p.Key,
		Offset:   offset,
	}
}
