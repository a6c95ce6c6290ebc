package client

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/nesting"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// list caches the latest instance list with its entity tag, since the list is
// read often and changes rarely.
type list struct {
	peer   *peer
	logger *zap.Logger

	mu        sync.Mutex
	etag      string
	instances []provider.Instance
	invalid   map[string]error // of the latest list
}

// NewList returns a client of the instance list at address.
func NewList(address string, opts ...Option) provider.List {
	return &list{peer: newPeer(address, opts), logger: newOptions(opts).logger}
}

func (l *list) Instances(ctx context.Context) ([]provider.Instance, error) {
	tag, known := l.cached()
	c := call{method: http.MethodGet, path: wire.PathInstances, etag: tag, maxResponseBytes: wire.MaxControlBytes}
	resp, err := l.peer.do(ctx, c)
	switch {
	case err != nil:
		return nil, err
	case resp.refusal != nil:
		return nil, resp.refusal
	case resp.notModified && tag != "":
		return known, nil
	}
	entries, err := splitList(resp.body)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "decode instance list")
	}
	instances, invalid := decodeEntries(entries)
	l.store(resp.etag, instances, invalid)
	return slices.Clone(instances), nil
}

// maxNesting bounds the nesting of the list. Its entries have two levels.
const maxNesting = 16

func splitList(body []byte) (entries []json.RawMessage, err error) {
	if json.Unmarshal(body, &entries) == nil {
		return entries, nil
	}
	return entries, json.Unmarshal(nesting.Prune(body, maxNesting), &entries)
}

// decodeEntries returns the valid instances of a list, and the errors of its invalid entries
// by their text. The list has many writers, and an invalid entry must not hide the others.
func decodeEntries(entries []json.RawMessage) (instances []provider.Instance, invalid map[string]error) {
	invalid = make(map[string]error)
	for _, e := range entries {
		i, err := decodeEntry(e)
		if err != nil {
			invalid[err.Error()] = err
			continue
		}
		instances = append(instances, i)
	}
	return instances, invalid
}

// maxSlots bounds the requests that one worker serves at once.
const maxSlots = 1 << 20

func decodeEntry(entry []byte) (provider.Instance, error) {
	var i provider.Instance
	if err := json.Unmarshal(entry, &i); err != nil {
		return i, fault.Wrap(fault.Invalid, err, "instance %q", i.ID)
	}
	if i.ID == "" || !i.Capacity.IsValid() || i.Slots < 0 || i.Slots > maxSlots {
		return i, fault.New(fault.Invalid, "instance %q with capacity %v and %d slots", i.ID, i.Capacity, i.Slots)
	}
	return i, nil
}

func (l *list) cached() (string, []provider.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, slices.Clone(l.instances)
}

// store keeps a list, and logs the invalid entries that the list before didn't have.
func (l *list) store(tag string, instances []provider.Instance, invalid map[string]error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for text, err := range invalid {
		if l.invalid[text] == nil {
			l.logger.Warn("invalid entry in the instance list", zap.Error(err))
		}
	}
	l.invalid = invalid
	l.etag = tag
	l.instances = instances
}
