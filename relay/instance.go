package relay

import (
	"net"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Stream is where instances say that they take orders: one record each, under
// the instance's ID, written when its process starts and dropped when it leaves.
// One that was killed leaves its record behind; it can't be reached then.
const Stream = "instances"

// Instance is one that takes orders.
type Instance struct {
	ID               string `cbor:"-"`
	Address          string `cbor:"1,keyasint"` // host:port of its agent
	AvailabilityZone string `cbor:"2,keyasint"`
}

// Record returns an instance's record.
func Record(i Instance) (provider.KeyedRecord, error) {
	value, err := cbor.Marshal(i)
	if err != nil {
		return provider.KeyedRecord{}, fault.Wrap(fault.Internal, err, "instance %s", i.ID)
	}
	return provider.KeyedRecord{Key: i.ID, Value: value}, nil
}

// ParseRecord reads an instance's record.
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
