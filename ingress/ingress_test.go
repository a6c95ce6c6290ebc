package ingress_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/ingress"
)

const testTimeout = 20 * time.Second

// site is a pool with listeners "a" and "b", each with a quarter of the pool.
type site struct {
	t       *testing.T
	pool    *ingress.Pool
	address map[string]string
	waiting chan struct{} // receives for each handler of /wait that has read the body
	release chan struct{} // handlers of /wait return once it is closed
	errors  chan error    // of reading bodies
}

func newSite(t *testing.T, opts ...ingress.Option) *site {
	s := &site{t: t, pool: ingress.New(opts...), address: make(map[string]string), waiting: make(chan struct{}, 100), release: make(chan struct{}), errors: make(chan error, 100)}
	for _, name := range []string{"a", "b"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		s.address[name] = l.Addr().String()
		server := &http.Server{Handler: s}
		guarded := s.pool.Guard(l, server, name, 0.25)
		go func() { _ = server.Serve(guarded) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	return s
}

func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		s.errors <- err
	}
	if fault.Is(err, fault.Overloaded) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/wait":
		s.waiting <- struct{}{}
		<-s.release
	case "/large":
		_, _ = w.Write(make([]byte, 32<<20))
	}
}

// open opens a connection and sends text on it.
func (s *site) open(listener, text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address[listener])
	is.New(s.t).NoErr(err)
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, text) // the connection may be closed
	return c
}

// status returns the status of the next answer on a connection, zero if it ends without one.
func status(c net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// await waits until a metric of a listener has a value.
func (s *site) await(listener, name string, value int64) {
	s.t.Helper()
	s.awaitRange(listener, name, value, value)
}

func (s *site) awaitRange(listener, name string, least, most int64) {
	s.t.Helper()
	var last int64
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if last = s.value(listener, name); last >= least && last <= most {
			return
		}
	}
	s.t.Fatalf("%s of %s is %d, not %d to %d", name, listener, last, least, most)
}

func (s *site) value(listener, name string) int64 {
	var vars map[string]map[string]int64
	is.New(s.t).NoErr(json.Unmarshal([]byte(s.pool.Vars().String()), &vars))
	return vars[listener][name]
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// post returns a request with the first n bytes of a body.
func post(path string, size, n int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", n))
}

// Guards against connections that keep an ordinary client out because they were there first.
func TestOldestIsClosed(t *testing.T) {
	tests := []struct {
		name, text string
		bytes      int64 // that a connection holds at least
		answered   bool  // whether the connections have an answer before they are closed
	}{
		{"silent", "", 0, false},
		{"header", "GET / HTTP/1.1\r\nHost: h\r\nX: ", 150, false},
		{"body", post("/", 100, 99), 8192, false},
		{"idle", get, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, ingress.WithMaxConnections(8))
			var crowd []net.Conn
			for i := range 8 {
				c := s.open("a", tt.text)
				s.await("a", "open", int64(i+1))
				s.awaitRange("a", "bytes", int64(i+1)*tt.bytes, math.MaxInt64)
				if tt.answered {
					is.Equal(status(c), http.StatusOK)
				}
				crowd = append(crowd, c)
			}
			is.Equal(status(s.open("a", get)), http.StatusOK)
			s.await("a", "closed", 1)
			is.Equal(status(crowd[0]), 0) // the first
			s.await("a", "open", 8)
		})
	}
}

// Guards against bodies that are each legal and together take all memory, and against a complete
// request that is given up for them.
func TestBytesAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSite(t, ingress.WithMaxBytes(1<<20))
	complete := s.open("a", post("/wait", 100_000, 100_000))
	<-s.waiting
	is.True(s.value("a", "bytes") >= 200_000) // twice
	for i := range 20 {                       // two of them fit
		s.open("a", post("/", 200_000, 199_999))
		s.awaitRange("a", "closed", int64(i-1), 20)
	}
	is.Equal(status(s.open("a", post("/", 200_000, 200_000))), http.StatusOK)
	is.True(s.value("a", "bytes") <= 2<<20)
	close(s.release)
	is.Equal(status(complete), http.StatusOK)
	is.True(fault.Is(<-s.errors, fault.Overloaded)) // what the handler of a closed connection reads
}

// Guards against parsed header fields that take many times their bytes.
func TestHeaderFieldsAreCounted(t *testing.T) {
	is := is.New(t)
	s := newSite(t, ingress.WithMaxBytes(1<<20))
	var fields strings.Builder
	for i := range 5000 {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	for range 20 {
		s.open("a", "GET / HTTP/1.1\r\nHost: h\r\n"+fields.String())
	}
	is.Equal(status(s.open("a", get)), http.StatusOK)
	s.awaitRange("a", "open", 0, 10) // the others were closed or refused
}

// Guards against a listener whose clients lock out those of another.
func TestShareIsReserved(t *testing.T) {
	is := is.New(t)
	s := newSite(t, ingress.WithMaxConnections(16), ingress.WithMaxBytes(1<<20))
	for range 16 {
		s.open("a", post("/wait", 20_000, 20_000)) // complete, and never closed
		<-s.waiting
	}
	for range 4 {
		is.Equal(status(s.open("b", post("/", 50_000, 50_000))), http.StatusOK)
	}
	is.Equal(status(s.open("a", get)), 0)
	s.await("a", "not_accepted", 1)
	is.Equal(s.value("a", "closed"), int64(0))
}

// Guards against a request that is kept waiting, or handed on, when there is no room for it.
func TestNoRoomIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSite(t, ingress.WithMaxBytes(256<<10))
	s.open("a", post("/wait", 100_000, 100_000))
	<-s.waiting
	is.Equal(status(s.open("a", post("/", 100_000, 90_000))), http.StatusServiceUnavailable)
	is.True(fault.Is(<-s.errors, fault.Overloaded))
	is.Equal(status(s.open("a", "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 31_000))), http.StatusServiceUnavailable)
	s.await("a", "refused", 2)
	is.Equal(status(s.open("a", get)), http.StatusOK) // small ones are served
}

// Guards against bodies that never end.
func TestBodyHasADeadline(t *testing.T) {
	is := is.New(t)
	s := newSite(t, ingress.WithProgressTimeout(50*time.Millisecond))
	s.open("a", post("/", 100, 99))
	is.True(<-s.errors != nil)
	s.await("a", "open", 0)

	s = newSite(t, ingress.WithProgressTimeout(testTimeout), ingress.WithBodyTimeout(100*time.Millisecond))
	slow := s.open("a", post("/", 1000, 0))
	for err := error(nil); err == nil; time.Sleep(10 * time.Millisecond) {
		select {
		case err = <-s.errors:
		default:
			_, _ = slow.Write([]byte{'x'})
		}
	}
	_ = slow.Close()
	s.await("a", "open", 0)
}

// Guards against clients that read no answers.
func TestUnreadAnswers(t *testing.T) {
	is := is.New(t)
	s := newSite(t, ingress.WithMaxConnections(2))
	for range 2 {
		s.open("a", "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	for end := time.Now().Add(testTimeout); status(s.open("a", get)) != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	is.True(s.value("a", "closed") > 0)

	s = newSite(t, ingress.WithProgressTimeout(50*time.Millisecond))
	s.open("a", "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	s.await("a", "open", 1)
	s.await("a", "open", 0)
}

// Guards against counts that don't return to zero, so that the process refuses more and more.
func TestNothingIsLeftCounted(t *testing.T) {
	s := newSite(t, ingress.WithMaxConnections(8), ingress.WithMaxBytes(256<<10))
	texts := []string{"", get, get + get, post("/", 100_000, 100_000), post("/", 100_000, 50_000), "GET / HTTP/1.1\r\nX", post("/", 10, 10) + get}
	var conns []net.Conn
	for i := range 70 {
		conns = append(conns, s.open("a", texts[i%len(texts)]))
	}
	for _, c := range conns {
		_ = c.Close()
	}
	s.await("a", "open", 0)
	s.await("a", "bytes", 0)
}
