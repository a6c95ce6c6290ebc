package relay

import (
	"math"
	"net"
	"net/url"
	"strconv"
	"unicode/utf8"

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
	if !isAddress(i.Address) || i.ID == "" || !utf8.ValidString(i.ID) || i.AvailabilityZone == "" {
		return i, fault.New(fault.Invalid, "instance %q at %q in zone %q", i.ID, i.Address, i.AvailabilityZone)
	}
	if math.IsNaN(i.Processors) || i.Processors < 0 || i.Processors > maxProcessors {
		return i, fault.New(fault.Invalid, "instance %q with %v processors", i.ID, i.Processors)
	}
	return i, nil
}

// maxProcessors bounds the processors of an instance.
const maxProcessors = 1 << 20

// isAddress reports whether an address has a port and stands in a URL for itself.
func isAddress(address string) bool {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return false
	}
	u, err := url.Parse("http://" + address)
	return err == nil && u.Host == address && u.String() == "http://"+address
}
