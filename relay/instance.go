package relay

import (
	"net"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Stream is the keyed stream of the instances that accept orders. An instance writes a
// record under its ID when its process starts, and deletes it when it leaves. The record
// of a killed instance remains, and connections to it fail.
const Stream = "instances"

// Instance is an instance that accepts orders for workers.
type Instance struct {
	ID               string `cbor:"-"`
	Address          string `cbor:"1,keyasint"` // host:port of its agent
	AvailabilityZone string `cbor:"2,keyasint"`
	// Processors is the number of processors, which may be a fraction. It is zero in the
	// record of an instance that can't be a standby.
	Processors float64 `cbor:"3,keyasint,omitempty"`
}

// EncodeRecord encodes an instance as a record of Stream.
func EncodeRecord(i Instance) (provider.KeyedRecord, error) {
	value, err := cbor.Marshal(i)
	if err != nil {
		return provider.KeyedRecord{}, fault.Wrap(fault.Internal, err, "instance %s", i.ID)
	}
	return provider.KeyedRecord{Key: i.ID, Value: value}, nil
}

// ParseRecord decodes and validates a record of Stream.
func ParseRecord(r provider.KeyedRecord) (Instance, error) {
	i := Instance{ID: r.Key}
	if err := cbor.Unmarshal(r.Value, &i); err != nil {
		return i, fault.Wrap(fault.Invalid, err, "instance %s", r.Key)
	}
	_, port, err := net.SplitHostPort(i.Address)
	if err != nil {
		return i, fault.Wrap(fault.Invalid, err, "instance %s", r.Key)
	}
	if n, err := strconv.Atoi(port); err != nil || n <= 0 || i.ID == "" || i.AvailabilityZone == "" {
		return i, fault.New(fault.Invalid, "instance %q at %q in zone %q", i.ID, i.Address, i.AvailabilityZone)
	}
	return i, nil
}
