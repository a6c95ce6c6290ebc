// Package answer builds and checks the bodies of stand-in workers' answers. A
// body depends on the request alone, so that a caller can check that an answer
// is complete and belongs to its own request.
//
// Usage:
//
//	a := answer.Answer{Nonce: "c1-17", Request: answer.Sum(body), Size: 1 << 20}
//	_, err := w.Write(a.Bytes()) // worker
//	err := a.Check(received)     // caller
package answer

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// MaxSize bounds the filler of an answer.
const MaxSize = 64 << 20

// Answer is the answer to one request.
type Answer struct {
	Nonce   string // unique to the request
	Request uint64 // Sum of the request's body
	Size    int    // bytes of filler
}

// Sum returns the checksum of a request's body.
func Sum(body []byte) uint64 {
	return xxhash.Sum64(body)
}

// Bytes returns the body: a head with the nonce, filler that depends on the
// nonce, and the nonce again.
func (a Answer) Bytes() []byte {
	pattern := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(a.Nonce))
	var b bytes.Buffer
	b.Write(a.head())
	b.Write(bytes.Repeat(pattern, a.Size/len(pattern)+1)[:a.Size])
	fmt.Fprintf(&b, "\nend=%s\n", a.Nonce)
	return b.Bytes()
}

// Check returns nil if body is the whole answer, fault.Truncated if it is a
// proper prefix of it, and fault.Internal if it belongs to another request.
func (a Answer) Check(body []byte) error {
	want := a.Bytes()
	switch {
	case bytes.Equal(body, want):
		return nil
	case bytes.HasPrefix(want, body):
		return fault.New(fault.Truncated, "%d bytes of %d", len(body), len(want))
	default:
		return fault.New(fault.Internal, "answer belongs to another request: %.80q", body)
	}
}

func (a Answer) head() []byte {
	return fmt.Appendf(nil, "nonce=%s request=%016x size=%d\n", a.Nonce, a.Request, a.Size)
}
