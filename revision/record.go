package revision

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Version is the newest record version that this program reads and writes.
const Version = 1

// Bounds of a record, in bytes.
const (
	MaxManifest = 1 << 20
	MaxName     = 128 // of an author or a key
	MaxRecord   = MaxManifest + 4096
)

// Record is one entry of the configuration stream. One body is set.
type Record struct {
	Version uint     `cbor:"0,keyasint"`
	Publish *Publish `cbor:"1,keyasint,omitempty"`
	Restate *Restate `cbor:"2,keyasint,omitempty"`
}

// Publish replaces the revision Base by Base+1. It is void unless Base is in
// force at its offset.
type Publish struct {
	Base     uint64 `cbor:"1,keyasint"`
	Author   string `cbor:"2,keyasint"`
	Key      string `cbor:"3,keyasint"` // chosen by the writer; the same in each copy that it appends
	Manifest []byte `cbor:"4,keyasint"` // the whole desired state
	// Anew makes the record valid whatever Base is, as revision offset+1, unless
	// another revision was published at or after Next. It is only for the case
	// that no instance knows the revision in force.
	Anew bool   `cbor:"5,keyasint,omitempty"`
	Next uint64 `cbor:"6,keyasint,omitempty"` // offset up to which the writer has read
}

// Restate repeats the revision that is in force before the offset Next, for
// readers that can't read the record that published it.
type Restate struct {
	Next     uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Author   string `cbor:"3,keyasint,omitempty"`
	Key      string `cbor:"4,keyasint,omitempty"`
	Offset   uint64 `cbor:"5,keyasint,omitempty"` // of the record that published it
	Manifest []byte `cbor:"6,keyasint,omitempty"`
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// Encode returns the CBOR encoding of r. It fails for a record that Decode would
// refuse.
func Encode(r Record) ([]byte, error) {
	r.Version = Version
	if err := r.check(); err != nil {
		return nil, err
	}
	data, err := encoder.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "encode configuration record")
	}
	return data, nil
}

// Decode returns the record in data. A record of a newer version gives
// fault.Invalid with its version set in the result.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxRecord {
		return Record{}, fault.New(fault.TooLarge, "configuration record of %d bytes, limit %d", len(data), MaxRecord)
	}
	var head struct {
		Version uint `cbor:"0,keyasint"`
	}
	if err := decoder.Unmarshal(data, &head); err != nil {
		return Record{}, fault.Wrap(fault.Invalid, err, "decode configuration record")
	}
	if head.Version > Version {
		return Record{Version: head.Version}, fault.New(fault.Invalid, "configuration record version %d, newest known %d", head.Version, Version)
	}
	var r Record
	if err := decoder.Unmarshal(data, &r); err != nil {
		return Record{}, fault.Wrap(fault.Invalid, err, "decode configuration record")
	}
	return r, r.check()
}

func (r Record) check() error {
	switch {
	case (r.Publish == nil) == (r.Restate == nil):
		return fault.New(fault.Invalid, "configuration record without exactly one body")
	case r.Publish != nil:
		return checkBody(r.Publish.Author, r.Publish.Key, r.Publish.Manifest, true)
	default:
		return checkBody(r.Restate.Author, r.Restate.Key, r.Restate.Manifest, r.Restate.Revision > 0)
	}
}

// checkBody checks the fields that both bodies share. Before the first revision
// there is no author, key or manifest.
func checkBody(author, key string, manifest []byte, published bool) error {
	if len(manifest) > MaxManifest {
		return fault.New(fault.TooLarge, "manifest of %d bytes, limit %d", len(manifest), MaxManifest)
	}
	if len(author) > MaxName || len(key) > MaxName {
		return fault.New(fault.TooLarge, "author or key of more than %d bytes", MaxName)
	}
	if published && (author == "" || key == "" || len(manifest) == 0) {
		return fault.New(fault.Invalid, "revision without author, key or manifest")
	}
	return nil
}

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 16, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}
