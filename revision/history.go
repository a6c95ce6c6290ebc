// Package revision decides which configuration is in force. It applies the
// records of the configuration stream, which all availability zones share, and
// adopts revisions that peers send to an instance that is cut off from the log.
//
// Usage:
//
//	history := revision.New()
//	page, err := log.Read(ctx, stream, history.Next(), limit, wait)
//	if fault.Is(err, fault.Expired) {
//		history.RestartAt(page.Oldest)
//	}
//	for _, entry := range page.Entries {
//		outcome := history.Apply(entry.Offset, entry.Data)
//		logger.Info("configuration", zap.Stringer("outcome", outcome))
//	}
//	use(history.Current().Manifest)
//
// A Publish names the revision that it replaces. The order of the log resolves
// conflicts: the first one wins and the others are void at every instance. An
// instance that can't read the start of the stream doesn't know the revision in
// force until it reads a Restate; until then it uses the revision adopted from
// peers. The revision of Current never decreases.
//
// A History holds at most two manifests of MaxManifest bytes.
package revision

import "github.com/cespare/xxhash/v2"

// Revision is a numbered configuration and who published it.
type Revision struct {
	Number   uint64 // 0 before the first
	Digest   uint64 // of Manifest
	Manifest []byte
	Author   string // empty if the revision was adopted from a peer
	Key      string
	Offset   uint64 // of the record that published it
}

// History is the result of applying the configuration stream. It isn't safe for
// concurrent use.
type History struct {
	next           uint64   // offset of the next record
	inForce        Revision // in force in the stream before next, if known
	known          bool
	noPublishSince uint64 // offset from which on no Publish that may be valid was read
	oldestNeeded   uint64
	current        Revision // in force at this instance
	conflicts      uint64
}

// New returns the history of a stream from its first record on.
func New() *History {
	return &History{known: true, inForce: initial(), current: initial()}
}

// initial returns the empty configuration before the first revision.
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

// Known reports whether the records read so far determine the revision in force
// in the stream.
func (h *History) Known() bool {
	return h.known
}

// OldestNeeded returns the latest offset at which a late joiner can start to
// read. A new Restate must be written before the log drops it.
func (h *History) OldestNeeded() uint64 {
	return h.oldestNeeded
}

// ConflictCount returns how often one revision number was seen with two
// contents. A value above zero indicates a defect.
func (h *History) ConflictCount() uint64 {
	return h.conflicts
}

// RestartAt continues at the oldest offset that the log still keeps.
//
// The records in between were never read. A Publish among them may have replaced
// the revision known here; continuing would accept a later Publish with the same
// base as valid, and two instances would hold different contents under one
// number. So the revision in force is unknown until a Restate is read.
func (h *History) RestartAt(oldest uint64) {
	if oldest <= h.next {
		return
	}
	h.next = oldest
	h.forgetRevision()
}

// Apply applies the record at offset. The same records give the same revisions
// at every instance.
func (h *History) Apply(offset uint64, data []byte) Outcome {
	if offset < h.next {
		return h.outcome(Ignored, offset)
	}
	h.RestartAt(offset)
	h.next = offset + 1
	record, err := Decode(data)
	switch {
	case record.Version > Version:
		h.forgetRevision() // instances of the newer version may have applied it
		return h.outcome(Unknown, offset)
	case err != nil:
		return h.outcome(Ignored, offset)
	case record.Publish != nil:
		return h.publish(offset, record.Publish)
	default:
		return h.restate(offset, record.Restate)
	}
}

// Adopt adopts a revision from a peer and reports whether it is now in force at
// this instance.
//
// The revision of a peer can be late, damaged or outdated. Without checks it
// could put an older configuration back in force and undo an accepted change. So
// the number must grow and the content must match its digest. An equal number
// with a different content is counted as a conflict.
func (h *History) Adopt(number, digest uint64, manifest []byte) bool {
	if len(manifest) == 0 || len(manifest) > MaxManifest || xxhash.Sum64(manifest) != digest {
		return false
	}
	if number == h.current.Number && digest != h.current.Digest {
		h.conflicts++
	}
	if number <= h.current.Number {
		return false
	}
	h.current = Revision{Number: number, Digest: digest, Manifest: manifest}
	return true
}

// Restate returns the record that lets late joiners start, or false if the
// revision in force isn't known here.
func (h *History) Restate() (Record, bool) {
	if !h.known {
		return Record{}, false
	}
	r := h.inForce
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
	unread := h.noPublishSince
	h.noPublishSince = offset + 1
	if p.Anew {
		return h.publishAnew(offset, p, unread)
	}
	switch {
	case !h.known:
		return h.outcome(Unknown, offset)
	case h.isInForce(p):
		return h.outcome(Repeated, offset)
	case p.Base != h.inForce.Number:
		return h.outcome(Void, offset)
	}
	h.setRevision(newRevision(p.Base+1, offset, p))
	return h.outcome(Published, offset)
}

// publishAnew accepts p if nothing was published since its writer read the
// stream. Each revision has its own record, so offset+1 is above all earlier
// numbers.
//
// A copy of the record may arrive long after it took effect; accepting it again
// would undo later revisions. An instance that knows the revision in force
// detects that from its offset. One that doesn't accepts the record only if it
// has read all of the stream from p.Next on and found no Publish there.
func (h *History) publishAnew(offset uint64, p *Publish, unread uint64) Outcome {
	switch {
	case !h.known && p.Next < unread:
		return h.outcome(Unknown, offset)
	case h.known && h.isInForce(p):
		return h.outcome(Repeated, offset)
	case h.known && h.inForce.Number > 0 && h.inForce.Offset >= p.Next:
		return h.outcome(Void, offset)
	}
	h.setRevision(newRevision(offset+1, offset, p))
	return h.outcome(Published, offset)
}

// isInForce reports whether p is a copy of the record that published the
// revision in force.
func (h *History) isInForce(p *Publish) bool {
	return h.inForce.Number > 0 && p.Key == h.inForce.Key && p.Author == h.inForce.Author
}

// restate applies a Restate, from which a late joiner starts.
//
// The writer has read the stream only up to r.Next. A Publish between there and
// this record makes the revision outdated; a joiner that started from it would
// check every later Publish against the wrong base and diverge permanently. So
// the record is accepted only if the instance has read all of the stream from
// r.Next on and found no Publish there.
func (h *History) restate(offset uint64, r *Restate) Outcome {
	if r.Next > offset || r.Next < h.noPublishSince {
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
	if h.known && (revision.Number != h.inForce.Number || revision.Digest != h.inForce.Digest) {
		h.conflicts++
		return h.outcome(Stale, offset)
	}
	h.setRevision(revision)
	h.oldestNeeded = r.Next
	return h.outcome(Restated, offset)
}

// setRevision makes r the revision in force in the stream, and at this instance
// unless a later one was adopted from a peer. If contents differ under one
// number, the log has priority over peers.
func (h *History) setRevision(r Revision) {
	h.inForce = r
	h.known = true
	if r.Number == h.current.Number && r.Digest != h.current.Digest && r.Number > 0 {
		h.conflicts++
	}
	if r.Number >= h.current.Number {
		h.current = r
	}
}

func (h *History) forgetRevision() {
	h.known = false
	h.inForce = initial()
	h.noPublishSince = h.next
}

func (h *History) outcome(kind Kind, offset uint64) Outcome {
	inForce := h.inForce
	inForce.Manifest = nil
	return Outcome{Kind: kind, Offset: offset, InForce: inForce}
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
