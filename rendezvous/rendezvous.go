// Package rendezvous implements rendezvous (highest random weight) hashing of
// keys to members. Instances with the same members get the same result without
// messages, and a member that joins or leaves moves only its own keys.
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

// Pick returns the member with the highest weight for key, and false if there
// are no members.
func Pick(key string, members []string) (string, bool) {
	if len(members) == 0 {
		return "", false
	}
	best := weightOf(key, members[0])
	for _, id := range members[1:] {
		if w := weightOf(key, id); compareWeights(w, best) < 0 {
			best = w
		}
	}
	return best.id, true
}

// Order returns the members by descending weight for key. The first is the
// result of Pick.
func Order(key string, members []string) []string {
	weights := make([]weight, 0, len(members))
	for _, id := range members {
		weights = append(weights, weightOf(key, id))
	}
	slices.SortFunc(weights, compareWeights)
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

func weightOf(key, id string) weight {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(id) // never fails
	_, _ = digest.WriteString(separator)
	_, _ = digest.WriteString(key)
	return weight{id: id, value: digest.Sum64()}
}

// compareWeights orders by descending weight, and equal weights by ID.
func compareWeights(a, b weight) int {
	return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.id, b.id))
}
