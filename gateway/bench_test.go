package gateway

import (
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/route"
)

// listen serves h on loopback and returns the address.
func listen(b *testing.B, server *http.Server) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go server.Serve(l)
	b.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

func echo(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	io.WriteString(rw, "gold")
}

// benchTable returns a table of ten replicas with enough slots for all requests
// of a benchmark.
func benchTable(address string) *route.Table {
	table := tableOf("e1", slices.Repeat([]string{address}, 10)...)
	for i := range table.Backends["price"] {
		table.Backends["price"][i].Worker += string(rune('a' + i))
		table.Backends["price"][i].Slots = 64
	}
	service := table.Services["price"]
	service.GroupSlots = 640
	service.MaxQueue = 640
	table.Services["price"] = service
	return table
}

// BenchmarkDirect sends to the worker without a gateway, as the baseline of
// BenchmarkGateway.
func BenchmarkDirect(b *testing.B) {
	address := listen(b, &http.Server{Handler: http.HandlerFunc(echo)})
	benchmark(b, "http://"+address+"/services/price/load")
}

func BenchmarkGateway(b *testing.B) {
	address := listen(b, &http.Server{Handler: http.HandlerFunc(echo)})
	g := New(WithSeed(1))
	g.Publish(benchTable(address))
	entry := listen(b, g.Server(g.CallerHandler()))
	benchmark(b, "http://"+entry+"/services/price/load")
}

func benchmark(b *testing.B, url string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	b.Run("latency", func(b *testing.B) {
		b.ReportAllocs()
		var latencies []time.Duration
		for b.Loop() {
			began := time.Now()
			get(b, client, url)
			latencies = append(latencies, time.Since(began))
		}
		slices.Sort(latencies)
		b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
		b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.SetParallelism(8)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				get(b, client, url)
			}
		})
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	})
}

func get(b *testing.B, client *http.Client, url string) {
	resp, err := client.Get(url)
	if err != nil {
		b.Error(err)
		return
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Errorf("status %d: %s", resp.StatusCode, resp.Header.Get(HeaderFault))
	}
}
