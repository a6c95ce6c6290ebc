package provider

import (
	"context"
	"time"
)

// KeyedRecord is one record of a keyed stream. A record without a value drops
// its key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset uint64 // set by the store
}

// KeyedPage is a run of a keyed stream's records. Next is the offset that the
// next record will get. After is the key to go on after in a page of the newest
// records, empty in the last one.
type KeyedPage struct {
	Records []KeyedRecord
	Next    uint64
	After   string
}

// Writer fences the records of one logical writer: the store refuses a Term
// below one that it has seen with fault.StaleEpoch, and answers a repeated
// Sequence as it did the first time.
type Writer struct {
	Name     string
	Term     uint64
	Sequence uint64
}

// Keyed is a store of keyed streams. The newest record of each key is kept
// for good; older ones can be read for a limited time. An error of kind
// fault.Unavailable or fault.Overloaded says that nothing was written, one of
// kind fault.MayHaveRun that the records may be there now or later.
type Keyed interface {
	// Newest returns a page of the newest record of every key, by key; the
	// first one for an empty after. Pages are no snapshot: records written
	// meanwhile may be in them, so a reader goes on from the Next of the first.
	Newest(ctx context.Context, stream, after string) (KeyedPage, error)
	// Read returns records from an offset on, and waits up to wait for the
	// first. An offset that is no longer kept gives fault.Expired.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (KeyedPage, error)
	// Put adds records, all or none. A nil writer writes unfenced.
	Put(ctx context.Context, stream string, writer *Writer, records []KeyedRecord) error
	// Claim adds one record under a writer's new term, if the stream still
	// ends at next. It returns fault.Conflict if it doesn't, and
	// fault.StaleEpoch for a term that isn't the highest.
	Claim(ctx context.Context, stream string, writer Writer, next uint64, record KeyedRecord) error
}
