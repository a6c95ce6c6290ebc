package gateway

import (
	"container/list"
	"sync"
	"time"
)

// keyStore holds the idempotency keys for which this instance is a home.
//
// It holds at most maxKeys keys, each for ttl. A full store refuses new claims:
// evicting an old key early would let a repeat run again.
type keyStore struct {
	maxKeys int
	ttl     time.Duration

	mu      sync.Mutex
	entries map[uint64]*list.Element
	order   list.List // of *keyEntry, in the order of expiry
}

type keyEntry struct {
	hash      uint64
	owner     string // id of the request that claimed the key
	expiresAt time.Time
}

// claimResult is the result of a claim.
type claimResult int

const (
	granted claimResult = iota
	duplicate
	storeFull
)

func newKeyStore(maxKeys int, ttl time.Duration) *keyStore {
	return &keyStore{maxKeys: maxKeys, ttl: ttl, entries: make(map[uint64]*list.Element)}
}

// claim records the request as owner of the key, unless another request owns
// it. It is idempotent for the owner.
func (k *keyStore) claim(now time.Time, hash uint64, owner string) claimResult {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(now)
	if e, ok := k.entries[hash]; ok {
		if e.Value.(*keyEntry).owner == owner {
			return granted
		}
		return duplicate
	}
	if len(k.entries) >= k.maxKeys {
		return storeFull
	}
	k.entries[hash] = k.order.PushBack(&keyEntry{hash, owner, now.Add(k.ttl)})
	return granted
}

// release removes a key whose owner provably did not run.
func (k *keyStore) release(hash uint64, owner string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries[hash]
	if !ok || e.Value.(*keyEntry).owner != owner {
		return
	}
	delete(k.entries, hash)
	k.order.Remove(e)
}

// add stores a key received from another home for the rest of its lifetime.
func (k *keyStore) add(now time.Time, entry keyEntry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(now)
	if _, ok := k.entries[entry.hash]; ok || len(k.entries) >= k.maxKeys {
		return
	}
	if latest := now.Add(k.ttl); entry.expiresAt.After(latest) {
		entry.expiresAt = latest
	}
	k.insert(&entry)
}

// insert adds entry in the order of expiry: a key from another home may expire
// before those already stored.
func (k *keyStore) insert(entry *keyEntry) {
	after := k.order.Back()
	for after != nil && after.Value.(*keyEntry).expiresAt.After(entry.expiresAt) {
		after = after.Prev()
	}
	if after == nil {
		k.entries[entry.hash] = k.order.PushFront(entry)
		return
	}
	k.entries[entry.hash] = k.order.InsertAfter(entry, after)
}

// list returns a copy of all unexpired entries.
func (k *keyStore) list(now time.Time) []keyEntry {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(now)
	list := make([]keyEntry, 0, len(k.entries))
	for e := k.order.Front(); e != nil; e = e.Next() {
		list = append(list, *e.Value.(*keyEntry))
	}
	return list
}

// expire removes the expired keys. k.mu is held.
func (k *keyStore) expire(now time.Time) {
	for e := k.order.Front(); e != nil; e = k.order.Front() {
		entry := e.Value.(*keyEntry)
		if now.Before(entry.expiresAt) {
			return
		}
		delete(k.entries, entry.hash)
		k.order.Remove(e)
	}
}

// len returns the number of keys, including expired ones not yet removed.
func (k *keyStore) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.entries)
}
