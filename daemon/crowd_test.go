package daemon_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The machine that the crowds meet: how much memory an instance may use, and
// how many files it may open. The settings leave it far less than this.
const (
	machineMemory = 160 * mebibyte
	machineFiles  = 256
)

// limits lowers the limits of an instance to the machine.
const limits = "limits: {connections: 64, memory: 16MiB}"

const (
	sendTimeout  = 10 * time.Second // for one member of a crowd to send its part
	finishedPart = 10               // one in so many members sends all of its request
	longDeadline = "Dogwood-Deadline: 600000\r\n"
)

// member sends its part on a connection, which then stays open. finishes tells
// whether it sends all of its request.
type member func(w io.Writer, number int, finishes bool) error

// TestCrowds guards against callers, peers or operators that exhaust an
// instance's memory, files or slots by requests of legal size, most of which
// never end.
func TestCrowds(t *testing.T) {
	forward := "Dogwood-Request: crowd-%d\r\nDogwood-Hops: 1\r\n" + longDeadline
	targets := []struct {
		name     string
		listener int
		path     string
		header   string
		bytes    int
		size     int // connections
	}{
		{"caller", caller, "/services/quote/run", longDeadline, 64 << 10, 400},
		{"caller-large", caller, "/services/quote/run", longDeadline, mebibyte, 400},
		{"caller-few", caller, "/services/quote/run", longDeadline, mebibyte, 40}, // below the limit of connections
		{"peer-forward", peers, "/forward/quote/run", forward, mebibyte, 400},
		{"peer-claims", peers, "/claims", "", mebibyte, 400},
		{"operator-apply", operator, "/apply", "", mebibyte, 400},
		{"operator-jobs", operator, "/jobs", "", 4 * mebibyte, 100},
	}
	for _, target := range targets {
		post := func(framing string) string {
			return "POST " + target.path + " HTTP/1.1\r\nHost: a\r\n" + target.header + framing + "\r\n\r\n"
		}
		head := func(w io.Writer, framing string, number int) error {
			text := post(framing)
			if strings.Contains(text, "%d") {
				text = fmt.Sprintf(text, number)
			}
			_, err := io.WriteString(w, text)
			return err
		}
		whole := fmt.Sprintf("Content-Length: %d", target.bytes)
		chunked := "Transfer-Encoding: chunked"
		smallChunks := sync.OnceValue(func() []byte { return bytes.Repeat([]byte("1\r\n \r\n"), target.bytes-1) })
		crowds := []struct {
			name string
			send member
		}{
			{"whole", func(w io.Writer, number int, finishes bool) error {
				if err := head(w, whole, number); err != nil {
					return err
				}
				return sendBody(w, target.bytes, target.bytes, finishes)
			}},
			{"pieces", func(w io.Writer, number int, finishes bool) error {
				if err := head(w, whole, number); err != nil {
					return err
				}
				return sendBody(w, target.bytes, target.bytes/50, finishes)
			}},
			{"one-chunk", func(w io.Writer, number int, finishes bool) error {
				if err := head(w, chunked, number); err != nil {
					return err
				}
				if _, err := fmt.Fprintf(w, "%x\r\n", target.bytes); err != nil {
					return err
				}
				if err := sendBody(w, target.bytes, target.bytes, finishes); err != nil || !finishes {
					return err
				}
				_, err := io.WriteString(w, "\r\n0\r\n\r\n")
				return err
			}},
			{"small-chunks", func(w io.Writer, number int, finishes bool) error {
				if err := head(w, chunked, number); err != nil {
					return err
				}
				if _, err := w.Write(smallChunks()); err != nil || !finishes {
					return err
				}
				_, err := io.WriteString(w, "1\r\n \r\n0\r\n\r\n")
				return err
			}},
		}
		for _, c := range crowds {
			t.Run(target.name+"/"+c.name, func(t *testing.T) {
				playCrowd(t, target.listener, target.size, c.send)
			})
		}
	}
}

// TestCalm guards against limits that refuse a single request of legal size.
func TestCalm(t *testing.T) {
	s := startSystem(t, limits)
	tests := []struct {
		name     string
		listener int
		path     string
		text     string
		size     int
	}{
		{"streamed", caller, "/services/quote/run?nonce=streamed", "", 16 * mebibyte},
		{"buffered", caller, "/services/quote/run?nonce=buffered", "", 64 << 10},
		{"manifest", operator, "/apply?wait=5s", site, mebibyte},
		{"command", operator, "/jobs", `{"tasks":[{"ID":"large","Group":"pricing","Need":{"Processors":1000,"Memory":64}}]}`, 4 * mebibyte},
	}
	for _, tt := range tests {
		body := tt.text + strings.Repeat("\n", tt.size-len(tt.text))
		s.until(tt.name, func() error { return s.post(tt.listener, tt.path, body) })
	}
	s.checkBounds(machineMemory, machineFiles)
}

// TestConnections guards against connections that cost files or memory without
// a request, or after its answer.
func TestConnections(t *testing.T) {
	const size = 400
	names := [listeners]string{"caller", "peer", "operator"}
	asked := [listeners]string{"/services/quote/run?nonce=idle", "/healthz", "/manifest"}
	large := [listeners]string{"/services/quote/run?nonce=large&size=4MB", "/forward/quote/run?size=4MB", "/dump"}
	for listener, name := range names {
		get := func(path string) string {
			return "GET " + path + " HTTP/1.1\r\nHost: a\r\nDogwood-Request: r\r\nDogwood-Hops: 1\r\n" + longDeadline + "\r\n"
		}
		crowds := []struct {
			name string
			send member
		}{
			{"silent", func(io.Writer, int, bool) error { return nil }},
			{"headers", func(w io.Writer, _ int, _ bool) error {
				_, err := io.WriteString(w, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: "+strings.Repeat("x", 30_000))
				return err
			}},
			{"idle", func(w io.Writer, _ int, _ bool) error {
				_, err := io.WriteString(w, get(asked[listener]))
				return err
			}},
			{"unread", func(w io.Writer, _ int, _ bool) error {
				_, err := io.WriteString(w, get(large[listener]))
				return err
			}},
			{"pipelined", func(w io.Writer, _ int, _ bool) error {
				_, err := io.WriteString(w, strings.Repeat(get(large[listener]), 1000))
				return err
			}},
		}
		for _, c := range crowds {
			t.Run(name+"/"+c.name, func(t *testing.T) { playCrowd(t, listener, size, c.send) })
		}
	}
}

// TestUnread guards against answers that nobody reads and that hold all slots,
// on fewer connections than the limit.
func TestUnread(t *testing.T) {
	const size = 40
	playCrowd(t, caller, size, func(w io.Writer, _ int, _ bool) error {
		_, err := io.WriteString(w, "GET /services/quote/run?nonce=large&size=4MB HTTP/1.1\r\nHost: a\r\n"+longDeadline+"\r\n")
		return err
	})
}

// TestLinks guards against links that hold frames which never end, and against
// strangers that take the places of instances.
func TestLinks(t *testing.T) {
	const size = 400
	frame := make([]byte, mebibyte)
	tests := []struct {
		name string
		send member
	}{
		{"silent", upgrade},
		{"hello-unfinished", func(w io.Writer, number int, finishes bool) error {
			if err := upgrade(w, number, finishes); err != nil {
				return err
			}
			return sendFrame(w, frame, false)
		}},
		{"hello-only", func(w io.Writer, number int, finishes bool) error {
			if err := upgrade(w, number, finishes); err != nil {
				return err
			}
			return sendFrame(w, newHello(fmt.Sprintf("x-%d", number)), true)
		}},
		{"frame-unfinished", func(w io.Writer, number int, finishes bool) error {
			if err := upgrade(w, number, finishes); err != nil {
				return err
			}
			if err := sendFrame(w, newHello(fmt.Sprintf("x-%d", number)), true); err != nil {
				return err
			}
			return sendFrame(w, frame, finishes)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { playCrowd(t, peers, size, tt.send) })
	}
}

// playCrowd opens a crowd of connections, and checks that the instance lives,
// stays within the machine and serves while the crowd is there and afterwards.
func playCrowd(t *testing.T, listener, size int, send member) {
	s := startSystem(t, limits)
	connections := s.open(listener, size, send)
	s.checkServes("beside the crowd")
	s.checkBounds(machineMemory, machineFiles)
	for _, c := range connections {
		c.Close()
	}
	s.checkServes("after the crowd")
	s.checkBounds(machineMemory, machineFiles)
}

// open starts the members of a crowd together and returns their connections
// once each has sent its part, or can't.
func (s *system) open(listener, size int, send member) []net.Conn {
	s.t.Helper()
	connections := make([]net.Conn, size)
	for i := range connections {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.addresses[listener])
		cancel()
		is.New(s.t).NoErr(err)
		is.New(s.t).NoErr(c.SetDeadline(time.Now().Add(sendTimeout)))
		connections[i] = c
	}
	var wait sync.WaitGroup
	for i, c := range connections {
		wait.Go(func() {
			_ = send(c, i, i%finishedPart == 0) // fails when the instance refuses or closes
		})
	}
	wait.Wait()
	return connections
}

// sendBody sends a body in pieces, without its last byte unless it finishes.
func sendBody(w io.Writer, size, piece int, finishes bool) error {
	body := bytes.Repeat([]byte(" "), size)
	if !finishes {
		body = body[:size-1]
	}
	for len(body) > 0 {
		n := min(piece, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// upgrade turns a connection into a WebSocket.
func upgrade(w io.Writer, _ int, _ bool) error {
	_, err := io.WriteString(w, "GET /peer HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")
	return err
}

// sendFrame sends a binary WebSocket frame (RFC 6455, 5.2) with a zero mask,
// without its last byte unless it finishes.
func sendFrame(w io.Writer, payload []byte, finishes bool) error {
	const (
		finalBinary = 0x82
		masked      = 0x80
		longLength  = 127
	)
	frame := []byte{finalBinary, masked | longLength}
	frame = binary.BigEndian.AppendUint64(frame, uint64(len(payload)))
	frame = append(frame, 0, 0, 0, 0)
	frame = append(frame, payload...)
	if !finishes {
		frame = frame[:len(frame)-1]
	}
	_, err := w.Write(frame)
	return err
}
