package main

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/client"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/standin/instancelist"
	"github.com/dogwoodladder/dogwoodladder/standin/logservice"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

type standinCmd struct {
	Log       logCmd       `cmd:"" help:"Run a log service."`
	List      listCmd      `cmd:"" help:"Run an instance list."`
	Worker    workerCmd    `cmd:"" help:"Run a worker."`
	Entry     entryCmd     `cmd:"" help:"Put an entry instance on the instance list."`
	Instances instancesCmd `cmd:"" help:"Show the instance list."`
	Caller    callerCmd    `cmd:"" help:"Send requests to all entry instances, and compare the answers with what ran."`
	Ledger    ledgerCmd    `cmd:"" help:"Show what batch work ran on all workers."`
}

type logCmd struct {
	Listen    string        `required:"" placeholder:"IP:PORT" help:"Where to listen."`
	Rate      int           `default:"500" help:"Appends a second."`
	Retention time.Duration `default:"1h" help:"How long records are kept."`
	Records   int           `default:"1000000" help:"How many records of a stream are kept."`
	Faults    string        `default:"{}" placeholder:"JSON" help:"Faults in force from the start, such as {\"slow\":\"2s\"}; PUT /faults changes them."`
}

func (c *logCmd) Run(ctx context.Context) error {
	f, err := parseFaults[logservice.Faults](c.Faults)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	service := logservice.New(
		logservice.WithRate(c.Rate),
		logservice.WithRetention(c.Records, c.Retention),
		logservice.WithFaults(f))
	return service.Serve(ctx, l)
}

type listCmd struct {
	Listen string        `required:"" placeholder:"IP:PORT" help:"Where to listen."`
	Lag    time.Duration `help:"How old the list is that is served."`
	Faults string        `default:"{}" placeholder:"JSON" help:"Faults in force from the start, such as {\"down\":true}; PUT /faults changes them."`
}

func (c *listCmd) Run(ctx context.Context) error {
	f, err := parseFaults[instancelist.Faults](c.Faults)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	return instancelist.New(instancelist.WithLag(c.Lag), instancelist.WithFaults(f)).Serve(ctx, l)
}

type workerCmd struct {
	ID     string  `required:"" help:"Worker ID."`
	Zone   string  `required:"" help:"Availability zone."`
	Rack   string  `help:"Rack."`
	Listen string  `required:"" placeholder:"IP:PORT" help:"Where to listen."`
	List   string  `placeholder:"IP:PORT" help:"Instance list to register with."`
	Cores  float64 `default:"64" help:"Processors."`
	Memory int64   `default:"256000" help:"MiB."`
	Accel  int64   `default:"0" help:"Accelerators."`
	Slots  int     `default:"8" help:"Concurrent requests."`
	Faults string  `default:"{}" placeholder:"JSON" help:"Faults in force from the start, such as {\"fail\":true}; PUT /faults changes them."`
}

func (c *workerCmd) Run(ctx context.Context) error {
	const milli = 1000
	f, err := parseFaults[worker.Faults](c.Faults)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	capacity := resource.Vector{Processors: int64(c.Cores * milli), Memory: c.Memory, Accelerators: c.Accel}
	w := worker.New(c.ID, worker.WithCapacity(capacity), worker.WithSlots(c.Slots), worker.WithFaults(f))
	if c.List != "" {
		if err := register(ctx, c.List, w.Instance(c.Zone, c.Rack, l.Addr().String())); err != nil {
			return err
		}
	}
	return w.Serve(ctx, l)
}

// entryCmd registers an entry instance on the instance list, which the platform
// does in production.
type entryCmd struct {
	ID      string `required:"" help:"Instance ID."`
	Zone    string `required:"" help:"Availability zone."`
	Peer    string `required:"" placeholder:"IP:PORT" help:"Peer listener."`
	Caller  string `required:"" placeholder:"IP:PORT" help:"Caller listener."`
	List    string `required:"" placeholder:"IP:PORT" help:"Instance list to register with."`
	Leaving bool   `help:"List it as leaving."`
}

func (c *entryCmd) Run(ctx context.Context) error {
	status := provider.StatusLive
	if c.Leaving {
		status = provider.StatusLeaving
	}
	return register(ctx, c.List, provider.Instance{
		ID:               c.ID,
		Role:             provider.RoleEntry,
		AvailabilityZone: c.Zone,
		Address:          c.Peer,
		Caller:           c.Caller,
		Status:           status,
	})
}

// parseFaults parses faults from JSON and rejects unknown fields.
func parseFaults[F any](text string) (F, error) {
	var f F
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return f, fault.Wrap(fault.Invalid, err, "decode faults %q", text)
	}
	return f, nil
}

func register(ctx context.Context, list string, instance provider.Instance) error {
	return client.NewRegistrar(list).Put(ctx, instance)
}
