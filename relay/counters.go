package relay

import "expvar"

// counters are the metrics of an Executor.
type counters struct {
	vars             *expvar.Map
	relayed          expvar.Int // orders sent through other instances
	direct           expvar.Int // orders sent directly
	repeated         expvar.Int // relayed orders that were repeated directly
	linksUp          expvar.Int // open connections
	sentBytes        expvar.Int
	receivedBytes    expvar.Int
	sentMessages     expvar.Int
	receivedMessages expvar.Int
}

func newCounters() *counters {
	c := &counters{vars: new(expvar.Map).Init()}
	c.vars.Set("relayed", &c.relayed)
	c.vars.Set("direct", &c.direct)
	c.vars.Set("again", &c.repeated)
	c.vars.Set("links_up", &c.linksUp)
	c.vars.Set("sent_bytes", &c.sentBytes)
	c.vars.Set("got_bytes", &c.receivedBytes)
	c.vars.Set("sent_messages", &c.sentMessages)
	c.vars.Set("got_messages", &c.receivedMessages)
	return c
}

// messages returns how many messages were sent and received.
func (c *counters) messages() int64 {
	return c.sentMessages.Value() + c.receivedMessages.Value()
}

// Vars returns the metrics.
func (e *Executor) Vars() *expvar.Map {
	return e.counters.vars
}
