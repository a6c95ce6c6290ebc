package relay

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/relay/wire"
)

// What waits goes in one message, what is urgent first, and a specification whole
// once, also where more jobs start than the other end remembers.
func TestCompose(t *testing.T) {
	const (
		jobs     = specNumbers + 50
		each     = 20
		perOrder = 25 // bytes, without specifications
		spec     = 500
	)
	is := is.New(t)
	s := newSession(New(nil), nil)
	specs := make(map[string]string) // by task
	bytes := 0
	known := make(map[uint64]string) // at the other end
	for round := range 2 {
		for i := range jobs * each {
			task := fmt.Sprintf("%d.%d", round, i)
			specs[task] = fmt.Sprintf("%0*d", spec, i/each)
			host := provider.Host{ID: fmt.Sprintf("w%d", i%10)}
			// maxQueued bounds what waits; here it is taken out in time
			is.True(s.enqueue(&call{host: host, order: wire.Order{Kind: wire.Start, Task: task}, spec: specs[task]}))
			if len(s.starts) == maxQueued-1 || i == jobs*each-1 {
				is.True(s.enqueue(&call{host: host, order: wire.Order{Kind: wire.Stop, Task: task}}))
				bytes += check(is, s, known, specs)
			}
		}
	}
	t.Logf("%d bytes", bytes)
	is.True(bytes < 2*jobs*(each*perOrder+spec+20))
}

// check takes a message as the other end does, and returns how long it is.
func check(is *is.I, s *session, known map[uint64]string, specs map[string]string) int {
	waiting := len(s.starts) + len(s.urgent)
	message := s.compose()
	is.Equal(len(message.Orders), waiting)
	is.Equal(message.Orders[0].Kind, wire.Stop)
	for _, o := range message.Orders {
		if o.SpecText != "" {
			known[o.Spec] = o.SpecText
		}
		if o.Kind == wire.Start {
			is.Equal(known[o.Spec], specs[o.Task])
		}
	}
	is.Equal(len(s.compose().Orders), 0)
	data, err := wire.Encode(message)
	is.NoErr(err)
	return len(data)
}

// An order that was given up before it was sent isn't sent, and is known not to be.
func TestGivenUpBeforeItWasSent(t *testing.T) {
	is := is.New(t)
	s := newSession(New(nil), nil)
	first := &call{order: wire.Order{Kind: wire.Start, Task: "a"}}
	second := &call{order: wire.Order{Kind: wire.Start, Task: "b"}}
	is.True(s.enqueue(first))
	is.True(s.enqueue(second))
	is.True(!s.giveUp(first))
	message := s.compose()
	is.Equal(len(message.Orders), 1)
	is.Equal(message.Orders[0].Task, "b")
	is.True(s.giveUp(second))
}
