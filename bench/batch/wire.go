package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dogwoodladder/dogwoodladder/client"
	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/peer"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/standin/instancelist"
	"github.com/dogwoodladder/dogwoodladder/standin/logservice"
	"github.com/dogwoodladder/dogwoodladder/standin/memory"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

// wireSizes holds the bytes that messages take on a connection in addition to
// their bodies, in both directions together, without TCP and IP headers. They
// are measured with the real clients and servers on an in-memory connection.
type wireSizes struct {
	heartbeat int // a whole heartbeat in which some of the free slots changed
	lease     int // a call about a lease
	call      int // any other call to a worker
	append    int
	read      int
	list      int // a poll of an unchanged instance list
	report    int
	entry     int // an entry of a page, without its data
}

const (
	calibrationTimeout = 10 * time.Second
	calibrationRounds  = 16
	changedDivisor     = 4 // a quarter of the services' free slots change with each heartbeat
)

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

type calibration struct {
	network *memory.Network
	bytes   atomic.Int64
	opts    []client.Option
}

// calibrate measures the message sizes of a site with a number of services.
func calibrate(services int) (wireSizes, error) {
	ctx, cancel := context.WithTimeout(context.Background(), calibrationTimeout)
	defer cancel()
	c := &calibration{network: memory.New()}
	c.opts = []client.Option{client.WithDial(c.dial), client.WithConnections(1)}
	go worker.New("w").Serve(ctx, c.network.Listen("worker"))
	go logservice.New().Serve(ctx, c.network.Listen("log"))
	go instancelist.New().Serve(ctx, c.network.Listen("list"))
	var s wireSizes
	for _, measure := range []func(context.Context, *wireSizes) error{c.worker, c.log, c.list} {
		if err := measure(ctx, &s); err != nil {
			return s, err
		}
	}
	beat, err := c.heartbeat(ctx, services)
	s.heartbeat = beat
	return s, err
}

func (c *calibration) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.network.Dial(ctx, network, address)
	return countingConn{conn, &c.bytes}, err
}

// size returns the bytes of a call on a connection that is already open.
func (c *calibration) size(call func() error) (int, error) {
	if err := call(); err != nil {
		return 0, err
	}
	before := c.bytes.Load()
	err := call()
	return int(c.bytes.Load() - before), err
}

func (c *calibration) worker(ctx context.Context, s *wireSizes) error {
	w := client.NewWorker("worker", c.opts...)
	request := provider.LeaseRequest{Holder: "e00", TTL: time.Minute, TaskExtension: time.Minute}
	var l provider.Lease
	size, err := c.size(func() (err error) {
		l, err = w.Acquire(ctx, request)
		return err
	})
	if err != nil {
		return err
	}
	s.lease = size - jsonSize(request) - jsonSize(l)
	ids := []string{"t"}
	size, err = c.size(func() error { return w.Acknowledge(ctx, l.Epoch, ids) })
	if err != nil {
		return err
	}
	s.call = size - jsonSize(wire.Acknowledge{Epoch: l.Epoch, Tasks: ids})
	var r provider.Report
	size, err = c.size(func() (err error) {
		r, err = w.Report(ctx)
		return err
	})
	s.report = size - jsonSize(r)
	return err
}

func (c *calibration) log(ctx context.Context, s *wireSizes) error {
	l := client.NewLog("log", c.opts...)
	data := [][]byte{make([]byte, 100)}
	body, err := wire.EncodeRecords(data)
	if err != nil {
		return err
	}
	size, err := c.size(func() error { _, err := l.Append(ctx, "zone/zone-a", data); return err })
	if err != nil {
		return err
	}
	s.append = size - len(body)
	empty, err := wire.EncodePage(provider.Page{})
	if err != nil {
		return err
	}
	size, err = c.size(func() error { _, err := l.Read(ctx, "zone/zone-a", 2, readLimit, 0); return err })
	if err != nil {
		return err
	}
	s.read = size
	e := provider.Entry{Offset: 1 << 20, Time: time.Now(), Data: data[0]}
	page, err := wire.EncodePage(provider.Page{Entries: []provider.Entry{e}})
	s.entry = len(page) - len(empty) - len(data[0])
	return err
}

func (c *calibration) list(ctx context.Context, s *wireSizes) error {
	l := client.NewList("list", c.opts...)
	size, err := c.size(func() error { _, err := l.Instances(ctx); return err })
	s.list = size
	return err
}

// heartbeat returns the mean size of a heartbeat on an established link.
func (c *calibration) heartbeat(ctx context.Context, services int) (int, error) {
	a := peer.New(peer.WithSelf(member.Self{ID: "e00", AvailabilityZone: "zone-a", Incarnation: 1}), peer.WithDialer(c.dial))
	b := peer.New(peer.WithSelf(member.Self{ID: "e01", AvailabilityZone: "zone-a", Incarnation: 1}), peer.WithDialer(c.dial))
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
	go server.Serve(c.network.Listen("peer"))
	defer server.Close()
	go a.Run(ctx)
	go b.Run(ctx)
	a.SetPeers([]peer.Peer{{ID: "e01", Address: "peer", AvailabilityZone: "zone-a"}})
	go drain(ctx, a)
	var before int64
	for i := range uint64(calibrationRounds + 1) {
		if err := a.Send("e01", heartbeat(i, services)); err != nil {
			return 0, err
		}
		if err := awaitHeartbeat(ctx, b, i+1); err != nil {
			return 0, err
		}
		if i == 0 {
			before = c.bytes.Load()
		}
	}
	return int(c.bytes.Load()-before) / calibrationRounds, nil
}

func heartbeat(i uint64, services int) peer.Heartbeat {
	free := map[string]int{}
	for s := range services {
		free[fmt.Sprintf("service-%d", s)] = 20
		if s%changedDivisor == 0 {
			free[fmt.Sprintf("service-%d", s)] = 20 + 10*int(i%2)
		}
	}
	return peer.Heartbeat{
		ID: "e00", AvailabilityZone: "zone-a", Address: "10.0.0.1:7000", Incarnation: 1,
		Revision: 1, Digest: "0123456789abcdef", Free: free, Sequence: 1<<20 + i,
	}
}

func awaitHeartbeat(ctx context.Context, m *peer.Mesh, count uint64) error {
	for {
		select {
		case r := <-m.Received():
			if h, ok := r.Message.(peer.Heartbeat); ok && h.Sequence == 1<<20+count-1 {
				return nil
			}
		case <-ctx.Done():
			return fault.New(fault.Internal, "no heartbeat %d", count)
		}
	}
}

func drain(ctx context.Context, m *peer.Mesh) {
	for {
		select {
		case <-m.Received():
		case <-ctx.Done():
			return
		}
	}
}

func jsonSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types are plain data
	}
	return len(data)
}

func recordSize(r record.Record) int {
	data, err := record.Encode(r)
	if err != nil {
		panic(err) // the record was decoded
	}
	return len(data)
}
