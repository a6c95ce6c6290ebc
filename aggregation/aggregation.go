// Package aggregation carries records of submitted and cancelled jobs from an instance to
// an aggregator, an instance that writes them to the store on behalf of others: HTTP
// requests with CBOR bodies between the agents of two instances.
//
// Usage, at the aggregator:
//
//	mux.Handle(aggregation.Path, aggregation.NewHandler("edge-1", dispatcher.Aggregator()))
//
// and at the other instance:
//
//	c := aggregation.NewClient(aggregation.WithInstance("edge-2"))
//	result := c.Write(ctx, member, records)
//
// The outcome is NotWritten only if the records will never be written: no connection could be
// opened, or the aggregator answered 421 (it is another instance) or 503 (it refused). A
// request that was sent and has no such answer may be carried out at any later time.
package aggregation

import (
	"context"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

//go:generate go tool stringer -type=Outcome -linecomment -output=strings.go

// Outcome tells what became of records that an instance handed over.
type Outcome uint8

// Outcomes of a write.
const (
	NotWritten Outcome = iota // not written
	Unknown                   // unknown
	Written                   // written
)

// Result is the outcome of a write. Records with outcome NotWritten will never be written.
type Result struct {
	Outcome    Outcome
	AppendTime time.Duration // time that the append to the store took; zero unless it was written
}

// Sink writes records to the store. Writes are idempotent.
type Sink interface {
	Write(ctx context.Context, records []provider.KeyedRecord) Result
}

// Path is the HTTP path of writes; its number is the version of the protocol.
const Path = "/records/1"

// Bounds of the records of one write.
const (
	MaxRecords = 1024
	MaxBytes   = 1 << 20 // half of what the store takes in one call
)

// Sizes of records.
const (
	recordOverhead = 8   // bytes that precede a key and a value, at most
	maxKey         = 255 // bytes; the store encodes their number in one byte
)

// Size returns the size of records in bytes.
func Size(records []provider.KeyedRecord) int {
	size := 0
	for _, r := range records {
		size += recordOverhead + len(r.Key) + len(r.Value)
	}
	return size
}

// Check returns an error unless the records can be written on behalf of another instance. Their
// number and size are bounded. A record without a value would delete its key, which only an
// owner may do.
func Check(records []provider.KeyedRecord) error {
	if len(records) == 0 || len(records) > MaxRecords {
		return fault.New(fault.Invalid, "%d records; 1 to %d can be written", len(records), MaxRecords)
	}
	if size := Size(records); size > MaxBytes {
		return fault.New(fault.Invalid, "records of %d bytes; at most %d can be written", size, MaxBytes)
	}
	for _, r := range records {
		if r.Key == "" || len(r.Key) > maxKey || len(r.Value) == 0 {
			return fault.New(fault.Invalid, "record with a key of %d bytes and a value of %d bytes", len(r.Key), len(r.Value))
		}
	}
	return nil
}

// request is the body of a write.
type request struct {
	Records   []wireRecord `cbor:"1,keyasint"`
	Remaining int64        `cbor:"2,keyasint"` // milliseconds after which the write isn't begun any more
}

type wireRecord struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
}

// response is the body of an answer with status 200. Without Written the outcome is Unknown.
type response struct {
	Written    bool  `cbor:"1,keyasint,omitempty"`
	AppendTime int64 `cbor:"2,keyasint,omitempty"` // milliseconds, rounded up
}

// Headers of a request.
const (
	toHeader   = "Records-To"   // ID of the intended instance, as an address may have passed to another one
	fromHeader = "Records-From" // ID of the instance that sends the request
)

type callerKey struct{}

// Caller returns the ID of the instance for which a Handler calls its Sink, empty if the
// context is of no such call.
func Caller(ctx context.Context) string {
	id, _ := ctx.Value(callerKey{}).(string)
	return id
}
