package agent_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dogwoodladder/dogwoodladder/relay/agent"
	"github.com/dogwoodladder/dogwoodladder/relay/wire"
)

// Guards against an owner that makes the agent keep more than it can: the session ends.
func TestSessionIsBounded(t *testing.T) {
	many := make([]wire.Order, wire.MaxOrders)
	for i := range many {
		many[i] = wire.Order{Number: uint64(i), Host: 7} // no such worker, so that the result is immediate
	}
	tests := []struct {
		name    string
		message wire.Orders
		reason  string
	}{
		{"specification number", wire.Orders{Orders: []wire.Order{{Spec: wire.MaxSpecs, SpecText: "x"}}}, "number 256 of a specification"},
		{"orders in a message", wire.Orders{Orders: append(many[:len(many):len(many)], wire.Order{})}, "exceeded max number of elements 4096"},
		{"unread results", wire.Orders{Gap: time.Hour.Microseconds(), Orders: many}, "more than 8192 results"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			core, logs := observer.New(zapcore.DebugLevel)
			server := httptest.NewServer(agent.New("edge-1", nil, agent.WithLogger(zap.New(core))))
			t.Cleanup(server.Close)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			t.Cleanup(cancel)
			socket, _, err := websocket.Dial(ctx, server.URL, &websocket.DialOptions{HTTPHeader: http.Header{wire.ToHeader: {"edge-1"}}})
			is.NoErr(err)
			defer func() { _ = socket.CloseNow() }()
			data, err := wire.Encode(tt.message)
			is.NoErr(err)
			for err == nil {
				err = socket.Write(ctx, websocket.MessageBinary, data)
			}
			for ctx.Err() == nil && logs.Len() == 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(logs.Len(), 1)
			reason, _ := logs.All()[0].ContextMap()["error"].(string)
			is.True(strings.Contains(reason, tt.reason))
		})
	}
}
