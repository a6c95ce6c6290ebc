package provider

import (
	"context"
	"time"
)

// KeyedRecord is one record of a keyed stream. A record without a value
// deletes its key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset uint64 // set by the store
	// Malformed is set by the store for a record whose content it can't decode. Such a
	// record has neither key nor value, and changes nothing but the reader's position.
	Malformed bool
}

// KeyedPage is a run of a keyed stream's records. Next is the offset of the
// next record to be written. In a page of newest records, ResumeAfter is the
// key after which the next page starts, empty in the last page.
type KeyedPage struct {
	Records     []KeyedRecord
	Next        uint64
	ResumeAfter string
}

// Writer identifies a write of one logical writer, for fencing: the store
// refuses a Term below the highest one that it has seen with fault.StaleEpoch,
// and answers a repeated Sequence as it did the first time.
type Writer struct {
	Name     string
	Term     uint64
	Sequence uint64
}

// ReadLimit bounds a read of a stream. A page holds at least one record if there is one,
// even if that is larger than Bytes.
type ReadLimit struct {
	Wait  time.Duration // longest wait for the first record
	Bytes int           // largest size of the page; zero sets no bound
}

// Keyed is a store of keyed streams. The newest record of each key is kept
// forever; older ones can be read for a limited time. An error of kind
// fault.Unavailable or fault.Overloaded means that nothing was written, one of
// kind fault.MayHaveRun that the records may be written now or later.
type Keyed interface {
	// Newest returns a page of the newest records, one per key and ordered by key;
	// an empty after returns the first page. The pages don't form a snapshot: they
	// can include records written in the meantime, so a reader continues from the
	// Next of the first page.
	Newest(ctx context.Context, stream, after string) (KeyedPage, error)
	// Read returns records starting at an offset. An offset that is no longer kept
	// gives fault.Expired.
	Read(ctx context.Context, stream string, from uint64, limit ReadLimit) (KeyedPage, error)
	// Append writes all records or none. A nil writer writes without fencing.
	Append(ctx context.Context, stream string, writer *Writer, records []KeyedRecord) error
	// Claim writes one record under a new term of the writer, if the stream still
	// ends at next. It returns fault.Conflict otherwise, and fault.StaleEpoch for
	// a term that isn't the highest.
	Claim(ctx context.Context, stream string, writer Writer, next uint64, record KeyedRecord) error
}
