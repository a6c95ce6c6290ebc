package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

type log struct {
	peer *peer
}

// NewLog returns a client of the log service at address.
func NewLog(address string, opts ...Option) provider.Log {
	return &log{peer: newPeer(address, opts)}
}

func (l *log) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	if !wire.ValidStream(stream) {
		return 0, fault.New(fault.Invalid, "invalid stream name %q", stream)
	}
	body, err := wire.EncodeRecords(records)
	if err != nil {
		return 0, fault.Wrap(fault.Invalid, err, "encode records")
	}
	if len(body) > wire.MaxAppendBytes {
		return 0, fault.New(fault.TooLarge, "append of %d bytes, limit %d", len(body), wire.MaxAppendBytes)
	}
	c := call{
		method:           http.MethodPost,
		path:             streamPath(stream),
		contentType:      wire.TypeCBOR,
		body:             body,
		hasEffect:        true,
		maxResponseBytes: wire.MaxRefusalBytes,
	}
	resp, err := l.peer.do(ctx, c)
	if err != nil {
		return 0, err
	}
	if resp.refusal != nil {
		return 0, resp.refusal
	}
	var appended wire.AppendResponse
	if err := json.Unmarshal(resp.body, &appended); err != nil {
		return 0, l.peer.callFault(ctx, err, c, true)
	}
	return appended.First, nil
}

func (l *log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (provider.Page, error) {
	if !wire.ValidStream(stream) {
		return provider.Page{}, fault.New(fault.Invalid, "invalid stream name %q", stream)
	}
	wait = min(max(wait, 0), wire.MaxWait)
	c := call{
		method: http.MethodGet,
		path:   streamPath(stream),
		query: url.Values{
			"from":  {strconv.FormatUint(from, 10)},
			"limit": {strconv.Itoa(limit)},
			"wait":  {wait.String()},
		},
		serverWait:       wait,
		maxResponseBytes: wire.MaxPageBytes,
	}
	resp, err := l.peer.do(ctx, c)
	if err != nil {
		return provider.Page{}, err
	}
	return readPage(resp)
}

func readPage(resp response) (provider.Page, error) {
	if resp.refusal != nil && resp.refusal.Kind != fault.Expired {
		return provider.Page{}, resp.refusal
	}
	page, err := wire.DecodePage(resp.body)
	if err != nil {
		return provider.Page{}, fault.Wrap(fault.Unavailable, err, "decode response of the log service")
	}
	if resp.refusal != nil {
		return page, fault.New(fault.Expired, "the oldest retained offset is %d", page.Oldest)
	}
	return page, nil
}

func streamPath(stream string) string {
	return wire.PathStreams + stream + wire.PathRecords
}
