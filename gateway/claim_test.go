package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/matryer/is"
)

// newInstances starts entry instances e1, e2, ... that are peers of each other,
// each with a worker of its own that w serves.
func newInstances(n *network, count int, w http.Handler) []*entryInstance {
	var instances []*entryInstance
	for i := range count {
		instances = append(instances, addInstance(n, fmt.Sprintf("e%d", i+1), w))
	}
	publishPeers(instances)
	return instances
}

func addInstance(n *network, id string, w http.Handler) *entryInstance {
	n.serve("w-"+id, &http.Server{Handler: w})
	return newInstance(n, id, tableOf(id, "w-"+id))
}

// publishPeers publishes to each instance that the others are its peers.
func publishPeers(instances []*entryInstance) {
	for _, s := range instances {
		table := tableOf(s.id, "w-"+s.id)
		for _, other := range instances {
			if other != s {
				table.Peers = append(table.Peers, other.peer("a", 8))
			}
		}
		s.gateway.Publish(table)
	}
}

// Guards against running a repeated request twice: a caller loses the response
// and repeats the request under the same key at another entry instance, and
// entry instances may have been replaced in between.
func TestRepeatUnderTheSameKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		w := newWorker(nil)
		w.handler = func(_ http.ResponseWriter, r *http.Request) { w.run(r) }
		instances := newInstances(n, 4, w)
		const keys = 24
		sendAll := func(s *entryInstance, fault string) {
			for i := range keys {
				a := s.send(http.MethodPost, "load", HeaderKey, fmt.Sprint(i))
				is.NoErr(a.err)
				is.Equal(a.fault(), fault)
			}
		}
		sendAll(instances[0], "")
		sendAll(instances[0], "Duplicate")
		sendAll(instances[1], "Duplicate")
		publishPeers(instances[1:]) // the first has left
		synctest.Wait()
		sendAll(instances[2], "Duplicate")
		joined := addInstance(n, "e5", w)
		publishPeers(append(instances[1:], joined))
		synctest.Wait()
		sendAll(joined, "Duplicate")
		is.Equal(w.totalRuns(), keys)

		// The remaining original instances leave: one dies, one drains, and the
		// last dies before it observed that.
		publishPeers([]*entryInstance{instances[2], instances[3], joined})
		synctest.Wait()
		is.NoErr(instances[2].gateway.Drain(t.Context()))
		publishPeers([]*entryInstance{joined})
		sendAll(joined, "Duplicate")
		is.Equal(w.totalRuns(), keys)

		time.Sleep(defaultKeyTTL)
		sendAll(joined, "")
	})
}

// Guards against refusing the retry of a request that did not run as Duplicate:
// the worker refuses a request with a key, and the caller retries it at another
// instance.
func TestRefusedRequestFreesItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		full := true
		w := newWorker(nil)
		w.handler = func(rw http.ResponseWriter, r *http.Request) {
			if full {
				refuseWith(fault.Overloaded)(rw, r)
				return
			}
			w.run(r)
		}
		instances := newInstances(n, 3, w)
		a := instances[0].send(http.MethodPost, "load", HeaderKey, "k")
		is.Equal(a.ran(), "not-run")
		full = false
		is.Equal(instances[1].send(http.MethodPost, "load", HeaderKey, "k").status, http.StatusOK)
		is.Equal(instances[2].send(http.MethodPost, "load", HeaderKey, "k").fault(), "Duplicate")
		is.Equal(w.totalRuns(), 1)
	})
}

// Guards against running a request twice during a network partition: the homes
// of its key can't be reached, so it must not be sent.
func TestUnreachableHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		w := newWorker(nil)
		w.handler = func(_ http.ResponseWriter, r *http.Request) { w.run(r) }
		s := newInstances(n, 3, w)[0]
		n.remove("e2-peer")
		n.remove("e3-peer")
		a := s.send(http.MethodPost, "load", HeaderKey, "k")
		is.Equal(a.fault(), fault.Unavailable.String())
		is.Equal(a.ran(), "not-run")
		is.Equal(w.totalRuns(), 0)
		is.Equal(s.send(http.MethodPost, "load").status, http.StatusOK) // without a key
	})
}

func TestKeysAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	k := newKeyStore(2, time.Minute)
	is.Equal(k.claim(now, 1, "a"), granted)
	is.Equal(k.claim(now, 1, "a"), granted) // idempotent
	is.Equal(k.claim(now, 1, "b"), duplicate)
	is.Equal(k.claim(now.Add(time.Second), 2, "b"), granted)
	is.Equal(k.claim(now, 3, "c"), storeFull) // no unexpired key is evicted
	k.release(2, "c")                         // not its owner
	is.Equal(k.len(), 2)
	is.Equal(k.claim(now.Add(time.Minute), 3, "c"), granted)
	is.Equal(k.claim(now.Add(time.Minute), 2, "c"), duplicate)

	k.release(2, "b")
	k.add(now, keyEntry{4, "d", now.Add(90 * time.Second)})
	k.add(now, keyEntry{5, "d", now.Add(90 * time.Second)}) // the store is full
	is.Equal(len(k.list(now)), 2)
	is.Equal(k.list(now)[0].hash, uint64(4)) // the first to expire
}
