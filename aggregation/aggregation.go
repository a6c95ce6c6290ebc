// Package aggregation carries records of submitted and cancelled jobs from an instance to
// an aggregator, an instance that writes them to the store on behalf of others: HTTP
// requests with CBOR bodies between the agents of two instances.
package aggregation

import (
	"context"
	"time"

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
