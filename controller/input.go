package controller

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/message"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
)

// Input is an external event for the controller.
type Input interface{ input() }

// Tick signals that time has passed. It is due every tick interval.
type Tick struct{}

// Read is the result of a read of the zone stream or the configuration stream.
type Read struct {
	Stream string
	Sent   time.Time // when the read was sent
	Page   provider.Page
	Err    error
}

// Appended is the result of an Append.
type Appended struct {
	Stream string
	Err    error
}

// Listed is the result of a read of the instance list.
type Listed struct {
	Instances []provider.Instance
}

// Heard is a heartbeat from another instance.
type Heard struct {
	Heartbeat member.Heartbeat
}

// Unlinked signals that the link to an instance broke or was refused.
type Unlinked struct {
	ID      string
	Refused bool
}

// Asked is another instance's request for the configuration in force here.
type Asked struct {
	From     string
	Revision uint64
}

// Offered is a configuration that another instance sent.
type Offered struct {
	From   string
	Config message.Config
}

// HandedOver signals that a leaving instance transferred a worker's lease to
// this one.
type HandedOver struct {
	From   string
	Worker string
	Epoch  uint64
}

// Leased is the answer to an Acquire, Renew or Transfer call.
type Leased struct {
	Worker string
	Verb   Verb
	Sent   time.Time
	Lease  provider.Lease
	Err    error
}

// Called is the answer to a Start, Stop, Acknowledge, Throttle or Release
// call.
type Called struct {
	Worker  string
	Verb    Verb
	Task    string
	Attempt uint32 // only for Start
	Sent    time.Time
	Err     error
}

// Reported is a worker's report with its usage measurements.
type Reported struct {
	Worker string
	Report provider.Report
}

// Submit requests that tasks are queued. It is answered once the stream holds
// them.
type Submit struct {
	ID    uint64
	Tasks []record.Task
}

// Cancel requests that tasks and whole jobs are cancelled.
type Cancel struct {
	ID    uint64
	Tasks []string
	Jobs  []string
}

// Apply requests that a configuration replaces revision Base. Anew replaces
// whatever is in force, for when no instance can tell what that is.
type Apply struct {
	ID       uint64
	Base     uint64
	Author   string
	Manifest []byte
	Anew     bool
}

// Free is the number of free request slots by service, for heartbeats.
type Free struct {
	Slots map[string]int
}

// Leave starts a planned shutdown.
type Leave struct{}

func (Tick) input()       {}
func (Read) input()       {}
func (Appended) input()   {}
func (Listed) input()     {}
func (Heard) input()      {}
func (Unlinked) input()   {}
func (Asked) input()      {}
func (Offered) input()    {}
func (HandedOver) input() {}
func (Leased) input()     {}
func (Called) input()     {}
func (Reported) input()   {}
func (Submit) input()     {}
func (Cancel) input()     {}
func (Apply) input()      {}
func (Free) input()       {}
func (Leave) input()      {}
