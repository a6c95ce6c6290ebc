package batch

import (
	"fmt"
	"reflect"
	"syscall"
	"time"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/message"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// traffic is a kind of control traffic.
type traffic int

// Kinds of control traffic of an instance, both directions together.
const (
	zoneRead traffic = iota
	zoneWrite
	snapshotRead
	snapshotWrite
	configRead
	configWrite
	heartbeatBytes
	leaseBytes // renewals and other calls about leases
	callBytes  // starts, stops and acknowledgements
	reportBytes
	listBytes
	trafficKinds
)

var trafficNames = [trafficKinds]string{
	"zone stream, read", "zone stream, written", "snapshots, read", "snapshots, written",
	"configuration, read", "configuration, written", "heartbeats", "worker leases", "task calls", "worker reports", "instance list",
}

// minSnapshotBytes is the size above which a record counts as a snapshot.
const minSnapshotBytes = 64 << 10

// usage is the traffic and processor time of one instance.
type usage struct {
	bytes       [trafficKinds]int64
	stepTime    time.Duration // total of Step
	longestStep time.Duration
}

// meter holds counts and times since its last reset.
type meter struct {
	usage     map[string]*usage
	steps     map[string]int // by kind of input
	times     map[string]time.Duration
	appends   map[string]int // calls, by stream
	events    map[string]int
	calls     map[controller.Verb]int
	submitted int // tasks
	refused   int // tasks
}

func newMeter() meter {
	return meter{
		usage:   map[string]*usage{},
		steps:   map[string]int{},
		times:   map[string]time.Duration{},
		appends: map[string]int{},
		events:  map[string]int{},
		calls:   map[controller.Verb]int{},
	}
}

func (m *meter) reset() {
	*m = newMeter()
}

func (m *meter) usageOf(id string) *usage {
	u, ok := m.usage[id]
	if !ok {
		u = &usage{}
		m.usage[id] = u
	}
	return u
}

func (m *meter) add(id string, kind traffic, n int) {
	m.usageOf(id).bytes[kind] += int64(n)
}

func (m *meter) step(id string, in controller.Input, d time.Duration) {
	u := m.usageOf(id)
	u.stepTime += d
	u.longestStep = max(u.longestStep, d)
	kind := kindOf(in)
	m.steps[kind]++
	m.times[kind] += d
}

func kindOf(in controller.Input) string {
	if r, ok := in.(controller.Read); ok && r.Stream == controller.ConfigStream {
		return "Read of configuration"
	}
	return reflect.TypeOf(in).Name()
}

func (m *meter) read(id, stream string, page provider.Page, w wireSizes) {
	if stream == controller.ConfigStream {
		n := w.read
		for _, e := range page.Entries {
			n += len(e.Data) + w.entry
		}
		m.add(id, configRead, n)
		return
	}
	m.add(id, zoneRead, w.read)
	for _, e := range page.Entries {
		kind := zoneRead
		if len(e.Data) > minSnapshotBytes {
			kind = snapshotRead
		}
		m.add(id, kind, len(e.Data)+w.entry)
	}
}

func (m *meter) append(id string, a controller.Append, w wireSizes) {
	body, err := wire.EncodeRecords(a.Data)
	if err != nil {
		panic(err) // byte strings always encode
	}
	kind := zoneWrite
	switch {
	case a.Stream == controller.ConfigStream:
		kind = configWrite
	case len(body) > minSnapshotBytes:
		kind = snapshotWrite
	}
	m.add(id, kind, len(body)+w.append)
}

func (m *meter) call(id string, a controller.Call, l provider.Lease, w wireSizes) {
	m.calls[a.Verb]++
	switch a.Verb {
	case controller.Acquire, controller.Renew:
		m.add(id, leaseBytes, w.lease+jsonSize(a.Lease)+jsonSize(l))
	case controller.Transfer:
		m.add(id, leaseBytes, w.lease+jsonSize(wire.Transfer{Epoch: a.Epoch, To: a.To})+jsonSize(l))
	case controller.Start:
		m.add(id, callBytes, w.call+jsonSize(wire.Start{Epoch: a.Epoch, Task: a.Spec}))
	case controller.Acknowledge:
		m.add(id, callBytes, w.call+jsonSize(wire.Acknowledge{Epoch: a.Epoch, Tasks: a.Tasks}))
	default:
		m.add(id, callBytes, w.call+jsonSize(wire.Stop{Epoch: a.Epoch, Task: a.Task, Checkpoint: a.Checkpoint}))
	}
}

func (m *meter) sent(from, to string, sent message.Message, w wireSizes) {
	n := w.heartbeat
	if c, ok := sent.(message.Config); ok {
		n = len(c.Manifest)
	}
	m.add(from, heartbeatBytes, n)
	m.add(to, heartbeatBytes, n)
}

func (m *meter) event(e controller.Event) {
	if e.Level != controller.Debug {
		m.events[fmt.Sprintf("%v %s", e.Level, e.Name)]++
	}
}

// threadTime returns the processor time of the calling thread. Unlike wall
// time, it doesn't include time in which other processes run.
func threadTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_THREAD, &u); err != nil {
		panic(err) // the arguments are constant
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
