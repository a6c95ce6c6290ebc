// Package rendezvous maps keys to members by highest random weight. Every
// instance with the same members gives the same answer, with no messages,
// and a member that joins or leaves moves only the keys it gains or held.
//
// Usage:
//
//	owner, ok := rendezvous.Pick(worker, table.Live(zone))
//	candidates := rendezvous.Order(worker, table.Live(zone))
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const separator = "\x00" // keeps ("ab", "c") and ("a", "bc") apart

// Pick returns the member with the highest weight for key, and false when
// there are no members.
func Pick(key string, members []string) (string, bool) {
	if len(members) == 0 {
		return "", false
	}
	best := weigh(key, members[0])
	for _, id := range members[1:] {
		if w := weigh(key, id); compare(w, best) < 0 {
			best = w
		}
	}
	return best.id, true
}

// Order returns the members by falling weight for key; the first is the one
// that Pick returns.
func Order(key string, members []string) []string {
	weights := make([]weight, 0, len(members))
	for _, id := range members {
		weights = append(weights, weigh(key, id))
	}
	slices.SortFunc(weights, compare)
	order := make([]string, 0, len(weights))
	for _, w := range weights {
		order = append(order, w.id)
	}
	return order
}

type weight struct {
	id    string
	value uint64
}

func weigh(key, id string) weight {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(id) // never fails
	_, _ = digest.WriteString(separator)
	_, _ = digest.WriteString(key)
	return weight{id: id, value: digest.Sum64()}
}

// compare sorts the heavier first, and equal weights by ID.
func compare(a, b weight) int {
	return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.id, b.id))
}
