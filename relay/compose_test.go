package relay

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/relay/wire"
)

// Checks that all queued orders go into one message, urgent ones first, and that a
// specification is sent in full once, also when more jobs start than the other end
// remembers specifications.
func TestCompose(t *testing.T) {
	const (
		jobs        = wire.MaxSpecs + 50
		tasksPerJob = 20
		orderBytes  = 25 // bytes, without specifications
		specBytes   = 500
	)
	is := is.New(t)
	s := newSession(New(nil), nil)
	specs := make(map[string]string) // by task
	bytes := 0
	known := make(map[uint64]string) // specifications known at the other end, by number
	for round := range 2 {
		for i := range jobs * tasksPerJob {
			task := fmt.Sprintf("%d.%d", round, i)
			specs[task] = fmt.Sprintf("%0*d", specBytes, i/tasksPerJob)
			host := provider.Host{ID: fmt.Sprintf("w%d", i%10)}
			// the queue holds at most maxQueued orders, so it is drained before that
			is.True(s.enqueue(&call{host: host, order: wire.Order{Kind: wire.Start, Task: task}, spec: specs[task]}))
			if len(s.starts) == maxQueued-1 || i == jobs*tasksPerJob-1 {
				is.True(s.enqueue(&call{host: host, order: wire.Order{Kind: wire.Stop, Task: task}}))
				bytes += checkMessage(is, s, known, specs)
			}
		}
	}
	t.Logf("%d bytes", bytes)
	is.True(bytes < 2*jobs*(tasksPerJob*orderBytes+specBytes+20))
}

// checkMessage composes a message, decodes it like the other end, and returns its
// encoded size.
func checkMessage(is *is.I, s *session, known map[uint64]string, specs map[string]string) int {
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

// Checks that an order cancelled before it was sent stays unsent and is reported so.
func TestCancelBeforeSend(t *testing.T) {
	is := is.New(t)
	s := newSession(New(nil), nil)
	first := &call{order: wire.Order{Kind: wire.Start, Task: "a"}}
	second := &call{order: wire.Order{Kind: wire.Start, Task: "b"}}
	is.True(s.enqueue(first))
	is.True(s.enqueue(second))
	is.True(!s.cancel(first))
	message := s.compose()
	is.Equal(len(message.Orders), 1)
	is.Equal(message.Orders[0].Task, "b")
	is.True(s.cancel(second))
}
