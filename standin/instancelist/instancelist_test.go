package instancelist_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/client"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/standin/faults"
	"github.com/dogwoodladder/dogwoodladder/standin/instancelist"
	"github.com/dogwoodladder/dogwoodladder/standin/memory"
)

// TestLagAndStuck checks that the list shows changes after its lag, and doesn't
// show changes of stuck entries. Other tests rely on it to find code that takes
// the list for current, and so sends work to an instance that has left or none to
// a new one.
func TestLagAndStuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memory.New()
		l := instancelist.New(instancelist.WithLag(2 * time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan struct{})
		listener := network.Listen("list")
		go func() {
			defer close(served)
			_ = l.Serve(ctx, listener)
		}()
		reader := client.NewList("list", client.WithDial(network.Dial))
		registrar := client.NewRegistrar("list", client.WithDial(network.Dial))
		shown := func() (ids []string) {
			instances, err := reader.Instances(t.Context())
			is.NoErr(err)
			for _, i := range instances {
				ids = append(ids, i.ID+" "+string(i.Status))
			}
			return ids
		}

		for _, id := range []string{"w2", "w1"} {
			is.NoErr(registrar.Put(t.Context(), provider.Instance{ID: id, Status: provider.StatusLive}))
		}
		is.Equal(shown(), nil)
		time.Sleep(2 * time.Second)
		is.Equal(shown(), []string{"w1 live", "w2 live"})

		l.Set(instancelist.Faults{Stuck: []string{"w1"}})
		is.NoErr(registrar.Put(t.Context(), provider.Instance{ID: "w2", Status: provider.StatusLeaving}))
		is.NoErr(registrar.Delete(t.Context(), "w1"))
		time.Sleep(2 * time.Second)
		is.Equal(shown(), []string{"w1 live", "w2 leaving"})

		l.Set(instancelist.Faults{Lag: faults.Duration(time.Second)})
		is.Equal(shown(), []string{"w1 live", "w2 leaving"})
		time.Sleep(time.Second)
		is.Equal(shown(), []string{"w2 leaving"})
		cancel()
		<-served
	})
}
