package controller

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/message"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
)

// Input is something that happened outside the controller.
type Input interface{ input() }

// Tick says that time has passed. It is due every tick interval.
type Tick struct{}

// Read is the answer to a read of the zone stream or the configuration
// stream.
type Read struct {
	Stream string
	Sent   time.Time // when the read was sent
	Page   provider.Page
	Err    error
}

// Appended is the answer to an Append.
type Appended struct {
	Stream string
	Err    error
}

// Listed is an answer of the instance list.
type Listed struct {
	Instances []provider.Instance
}

// Heard is a heartbeat from another instance.
type Heard struct {
	Heartbeat member.Heartbeat
}

// Unlinked says that the link to an instance broke or was refused.
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

// HandedOver says that a leaving instance transferred a worker's lease here.
type HandedOver struct {
	From   string
	Worker string
	Epoch  uint64
}

// Leased is the answer to Acquire, Renew or Transfer.
type Leased struct {
	Worker string
	Verb   Verb
	Sent   time.Time
	Lease  provider.Lease
	Err    error
}

// Called is the answer to Start, Stop, Acknowledge, Throttle or Release.
type Called struct {
	Worker  string
	Verb    Verb
	Task    string
	Attempt uint32 // of Start
	Sent    time.Time
	Err     error
}

// Reported is a worker's report with its usage measurements.
type Reported struct {
	Worker string
	Report provider.Report
}

// Submit asks to queue tasks. It is answered once the stream holds them.
type Submit struct {
	ID    uint64
	Tasks []record.Task
}

// Cancel asks to cancel tasks and whole jobs.
type Cancel struct {
	ID    uint64
	Tasks []string
	Jobs  []string
}

// Apply asks to publish a configuration in place of a revision. Anew replaces
// whatever was in force, for when no instance can tell what that was.
type Apply struct {
	ID       uint64
	Base     uint64
	Author   string
	Manifest []byte
	Anew     bool
}

// Free is what the traffic side has free, by service, for heartbeats.
type Free struct {
	Slots map[string]int
}

// Leave starts a planned stop.
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
