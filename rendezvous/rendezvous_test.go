package rendezvous_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodladder/dogwoodladder/rendezvous"
)

func init() { // the same cases on every run
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func names(prefix string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("%s-%03d", prefix, i))
	}
	return list
}

// A member that leaves moves only its own keys, each to the next member in
// order; conversely a member that joins only gains keys.
func TestMinimalMovement(t *testing.T) {
	keys := names("worker", 220)
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9-]{1,12}`), 2, 12, rapid.ID[string]).Draw(t, "members")
		leaver := rapid.SampledFrom(members).Draw(t, "leaver")
		rest := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return id == leaver })
		for _, key := range keys {
			before, _ := rendezvous.Pick(key, members)
			after, _ := rendezvous.Pick(key, rest)
			order := rendezvous.Order(key, members)
			if order[0] != before {
				t.Fatalf("order of %s starts with %s, picked %s", key, order[0], before)
			}
			if before != leaver && after != before {
				t.Fatalf("%s moved from %s to %s when %s left", key, before, after, leaver)
			}
			if before == leaver && after != order[1] {
				t.Fatalf("%s went to %s, next in order is %s", key, after, order[1])
			}
		}
	})
}

// The weights are part of the protocol between instances of different
// versions, so the results for fixed keys must not change.
func TestSpreadAndStability(t *testing.T) {
	is := is.New(t)
	members := names("entry", 8)
	count := map[string]int{}
	for _, key := range names("worker", 220) {
		id, ok := rendezvous.Pick(key, members)
		is.True(ok)
		count[id]++
	}
	t.Log(count)
	for _, id := range members {
		is.True(count[id] >= 15 && count[id] <= 40) // 27.5 on average
	}
	is.Equal(rendezvous.Order("worker-000", members[:3]), []string{"entry-002", "entry-001", "entry-000"})
	_, ok := rendezvous.Pick("worker-000", nil)
	is.Equal(ok, false)
}
