package daemon

import (
	"encoding/json"
	"expvar"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// counters holds the metrics of log reads and appends, published by expvar.
type counters struct {
	appends, appendErrors, appendBytes expvar.Int
	reads, readErrors, readBytes       expvar.Int
}

func (c *counters) countAppend(a controller.Append, err error) {
	c.appends.Add(1)
	if err != nil {
		c.appendErrors.Add(1)
	}
	for _, data := range a.Data {
		c.appendBytes.Add(int64(len(data)))
	}
}

func (c *counters) countRead(page provider.Page, err error) {
	c.reads.Add(1)
	if err != nil {
		c.readErrors.Add(1)
	}
	for _, e := range page.Entries {
		c.readBytes.Add(int64(len(e.Data)))
	}
}

// Vars returns the metrics of the process by name.
func (d *Daemon) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("appends", &d.counters.appends)
	m.Set("append_errors", &d.counters.appendErrors)
	m.Set("append_bytes", &d.counters.appendBytes)
	m.Set("reads", &d.counters.reads)
	m.Set("read_errors", &d.counters.readErrors)
	m.Set("read_bytes", &d.counters.readBytes)
	m.Set("gateway", expvar.Func(func() any { return d.gateway.Report() }))
	m.Set("clients", expvar.Func(func() any { return json.RawMessage(d.clients.Vars().String()) }))
	m.Set("links", expvar.Func(func() any { return d.mesh.Links() }))
	return m
}
