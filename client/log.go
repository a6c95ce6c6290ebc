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
		return 0, fault.New(fault.Invalid, "stream name %q", stream)
	}
	body, err := wire.EncodeRecords(records)
	if err != nil {
		return 0, fault.Wrap(fault.Invalid, err, "encode records")
	}
	if len(body) > wire.MaxAppend {
		return 0, fault.New(fault.TooLarge, "append of %d bytes, limit %d", len(body), wire.MaxAppend)
	}
	c := call{
		method: http.MethodPost,
		path:   streamPath(stream),
		media:  wire.TypeCBOR,
		body:   body,
		effect: true,
		limit:  wire.MaxRefusal,
	}
	a, err := l.peer.do(ctx, c)
	if err != nil {
		return 0, err
	}
	if a.refusal != nil {
		return 0, a.refusal
	}
	var appended wire.Appended
	if err := json.Unmarshal(a.body, &appended); err != nil {
		return 0, l.peer.explain(ctx, err, c, true)
	}
	return appended.First, nil
}

func (l *log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (provider.Page, error) {
	if !wire.ValidStream(stream) {
		return provider.Page{}, fault.New(fault.Invalid, "stream name %q", stream)
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
		wait:  wait,
		limit: wire.MaxPage,
	}
	a, err := l.peer.do(ctx, c)
	if err != nil {
		return provider.Page{}, err
	}
	return readPage(a)
}

func readPage(a answer) (provider.Page, error) {
	if a.refusal != nil && a.refusal.Kind != fault.Expired {
		return provider.Page{}, a.refusal
	}
	page, err := wire.DecodePage(a.body)
	if err != nil {
		return provider.Page{}, fault.Wrap(fault.Unavailable, err, "answer of the log service")
	}
	if a.refusal != nil {
		return page, fault.New(fault.Expired, "oldest offset kept is %d", page.Oldest)
	}
	return page, nil
}

func streamPath(stream string) string {
	return wire.PathStreams + stream + wire.PathRecords
}
