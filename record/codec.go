package record

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// MaxSize bounds one encoded record, in bytes.
const MaxSize = 8 << 20

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// Encode returns the CBOR encoding of r, in the first version unless r has one.
// Equal records give equal bytes.
func Encode(r Record) ([]byte, error) {
	if r.Version == 0 {
		r.Version = firstVersion
	}
	data, err := encoder.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "encode record")
	}
	return data, nil
}

// Decode returns the record in data. For a record of a newer version it fails
// with fault.Invalid but sets the version in the result, so that a reader can
// distinguish a newer writer from a damaged record.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxSize {
		return Record{}, fault.New(fault.TooLarge, "record of %d bytes, limit %d", len(data), MaxSize)
	}
	var head struct {
		Version uint `cbor:"0,keyasint"`
	}
	if err := decoder.Unmarshal(data, &head); err != nil {
		return Record{}, fault.Wrap(fault.Invalid, err, "decode record")
	}
	if head.Version > Version {
		return Record{Version: head.Version}, fault.New(fault.Invalid, "record version %d, newest known %d", head.Version, Version)
	}
	var r Record
	if err := decoder.Unmarshal(data, &r); err != nil {
		return Record{}, fault.Wrap(fault.Invalid, err, "decode record")
	}
	return r, nil
}

func newEncoder() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeUnixMicro
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}
