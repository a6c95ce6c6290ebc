package relay

import "expvar"

// counters are the metrics of an Executor.
type counters struct {
	vars     *expvar.Map
	relayed  expvar.Int // orders sent through other instances
	direct   expvar.Int // orders sent directly
	again    expvar.Int // relayed ones that were sent directly then
	up       expvar.Int // connections
	sent     expvar.Int // bytes
	got      expvar.Int // bytes
	frames   expvar.Int // messages sent
	received expvar.Int // messages received
}

func newCounters() *counters {
	c := &counters{vars: new(expvar.Map).Init()}
	c.vars.Set("relayed", &c.relayed)
	c.vars.Set("direct", &c.direct)
	c.vars.Set("again", &c.again)
	c.vars.Set("links_up", &c.up)
	c.vars.Set("sent_bytes", &c.sent)
	c.vars.Set("got_bytes", &c.got)
	c.vars.Set("sent_messages", &c.frames)
	c.vars.Set("got_messages", &c.received)
	return c
}

// messages returns how many messages were sent and received.
func (c *counters) messages() int64 {
	return c.frames.Value() + c.received.Value()
}

// Vars returns the metrics.
func (e *Executor) Vars() *expvar.Map {
	return e.counters.vars
}
