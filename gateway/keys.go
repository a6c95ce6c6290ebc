package gateway

import (
	"container/list"
	"sync"
	"time"
)

// keys remembers idempotency keys for which this instance is a home.
//
// It holds at most limit keys, each for the time keep. A full memory grants
// nothing more: dropping an old key early would let a repeat run again.
type keys struct {
	limit int
	keep  time.Duration

	mu      sync.Mutex
	entries map[uint64]*list.Element
	order   list.List // of *keyEntry, oldest first
}

type keyEntry struct {
	hash  uint64
	owner string // id of the request that claimed the key
	until time.Time
}

// grant is the answer to a claim.
type grant int

const (
	granted grant = iota
	duplicate
	crowded
)

func newKeys(limit int, keep time.Duration) *keys {
	return &keys{limit: limit, keep: keep, entries: make(map[uint64]*list.Element)}
}

// claim gives the key to the request, unless another has it. A claim may be
// repeated by its owner.
func (k *keys) claim(now time.Time, hash uint64, owner string) grant {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(now)
	if e, ok := k.entries[hash]; ok {
		if e.Value.(*keyEntry).owner == owner {
			return granted
		}
		return duplicate
	}
	if len(k.entries) >= k.limit {
		return crowded
	}
	k.entries[hash] = k.order.PushBack(&keyEntry{hash, owner, now.Add(k.keep)})
	return granted
}

// release forgets a key whose owner provably did not run.
func (k *keys) release(hash uint64, owner string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries[hash]
	if !ok || e.Value.(*keyEntry).owner != owner {
		return
	}
	delete(k.entries, hash)
	k.order.Remove(e)
}

// adopt remembers a key for another home, for the time that is left of it.
func (k *keys) adopt(now time.Time, entry keyEntry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(now)
	if _, ok := k.entries[entry.hash]; ok || len(k.entries) >= k.limit {
		return
	}
	if latest := now.Add(k.keep); entry.until.After(latest) {
		entry.until = latest
	}
	k.insert(&entry)
}

// insert keeps the order by time; an adopted key goes before newer ones.
func (k *keys) insert(entry *keyEntry) {
	after := k.order.Back()
	for after != nil && after.Value.(*keyEntry).until.After(entry.until) {
		after = after.Prev()
	}
	if after == nil {
		k.entries[entry.hash] = k.order.PushFront(entry)
		return
	}
	k.entries[entry.hash] = k.order.InsertAfter(entry, after)
}

// list returns a copy of all keys.
func (k *keys) list(now time.Time) []keyEntry {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(now)
	list := make([]keyEntry, 0, len(k.entries))
	for e := k.order.Front(); e != nil; e = e.Next() {
		list = append(list, *e.Value.(*keyEntry))
	}
	return list
}

// expire forgets the keys whose time is over; k.mu is held.
func (k *keys) expire(now time.Time) {
	for e := k.order.Front(); e != nil; e = k.order.Front() {
		entry := e.Value.(*keyEntry)
		if now.Before(entry.until) {
			return
		}
		delete(k.entries, entry.hash)
		k.order.Remove(e)
	}
}

// len returns the number of keys.
func (k *keys) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.entries)
}
