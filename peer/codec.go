package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Version is the newest version of the messages between instances that this
// program supports. Both ends of a link use the lower of their versions.
const Version = 1

// Bounds of a frame.
const (
	MaxFrame  = 1 << 20 // bytes
	maxHello  = 4 << 10 // bytes of the first frame
	maxFree   = 1024    // services in a heartbeat
	maxName   = 128     // bytes of a name in a hello or heartbeat
	maxPairs  = 2 * maxFree
	maxNested = 8
)

// hello is the first frame in each direction.
type hello struct {
	Version          uint   `cbor:"1,keyasint"`
	ID               string `cbor:"2,keyasint"`
	AvailabilityZone string `cbor:"3,keyasint"`
	Incarnation      uint64 `cbor:"4,keyasint"`
	To               string `cbor:"5,keyasint,omitempty"` // ID of the instance that the dialer expects
}

func (h *hello) isValid() bool {
	return h.Version > 0 && h.ID != "" && len(h.ID) <= maxName && len(h.AvailabilityZone) <= maxName
}

// frame is the content of one WebSocket message. It has one body, or none that
// this version knows.
type frame struct {
	Hello         *hello         `cbor:"1,keyasint,omitempty"`
	Beat          *beat          `cbor:"2,keyasint,omitempty"`
	ConfigRequest *ConfigRequest `cbor:"3,keyasint,omitempty"`
	Config        *Config        `cbor:"4,keyasint,omitempty"`
	Handover      *Handover      `cbor:"5,keyasint,omitempty"`
	Call          *Call          `cbor:"6,keyasint,omitempty"`
	Reply         *Reply         `cbor:"7,keyasint,omitempty"`
}

// message returns the body of a frame, and nil for a hello, a heartbeat or an
// unknown body.
func (f *frame) message() Message {
	switch {
	case f.ConfigRequest != nil:
		return *f.ConfigRequest
	case f.Config != nil:
		return *f.Config
	case f.Handover != nil:
		return *f.Handover
	case f.Call != nil:
		return *f.Call
	case f.Reply != nil:
		return *f.Reply
	}
	return nil
}

func newFrame(m Message) (frame, error) {
	switch m := m.(type) {
	case ConfigRequest:
		return frame{ConfigRequest: &m}, nil
	case Config:
		return frame{Config: &m}, nil
	case Handover:
		return frame{Handover: &m}, nil
	case Call:
		return frame{Call: &m}, nil
	case Reply:
		return frame{Reply: &m}, nil
	}
	return frame{}, fault.New(fault.Invalid, "messages of type %T can't be sent", m)
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func encode(f frame) ([]byte, error) {
	data, err := encoder.Marshal(f)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "encode frame")
	}
	if len(data) > MaxFrame {
		return nil, fault.New(fault.TooLarge, "frame of %d bytes, limit %d", len(data), MaxFrame)
	}
	return data, nil
}

// decode decodes a frame. Keys of newer versions are ignored.
func decode(data []byte) (frame, error) {
	var f frame
	if len(data) > MaxFrame {
		return f, fault.New(fault.TooLarge, "frame of %d bytes, limit %d", len(data), MaxFrame)
	}
	if err := decoder.Unmarshal(data, &f); err != nil {
		return frame{}, fault.Wrap(fault.Invalid, err, "decode frame")
	}
	return f, nil
}

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxPairs,
		MaxMapPairs:      maxPairs,
		MaxNestedLevels:  maxNested,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}
