package aggregation_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/aggregation"
	"github.com/dogwoodladder/dogwoodladder/roster"
)

// Guards against instances of different versions that hand over to different candidates: the
// order for given members is part of the protocol.
func TestOrder(t *testing.T) {
	const now = time.Minute
	members := []roster.Member{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}, {ID: "e4"}, {ID: "e5"}}
	tests := []struct {
		name      string
		members   []roster.Member
		owner     string
		failed    []string // at time now
		succeeded []string // after that
		at        time.Duration
		want      []string
	}{
		{"no members", nil, "e1", nil, nil, now, nil},
		{"owner first", members, "e3", nil, nil, now, []string{"e3", "e2", "e4"}},
		{"owner isn't a member", members, "e9", nil, nil, now, []string{"e2", "e3", "e4"}},
		{"no owner", members, "", nil, nil, now, []string{"e2", "e3", "e4"}},
		{"owner failed", members, "e3", []string{"e3"}, nil, now, []string{"e2", "e4", "e5"}},
		{"owner failed a while ago", members, "e3", []string{"e3"}, nil, now + 2*time.Second, []string{"e3", "e2", "e4"}},
		{"owner answered late", members, "e3", []string{"e3"}, []string{"e3"}, now, []string{"e3", "e2", "e4"}},
		{"all but one failed", members, "e3", []string{"e3", "e5", "e1", "e4"}, nil, now, []string{"e2", "e3", "e4"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := aggregation.NewRouter()
			for _, id := range tt.failed {
				r.Failed(now, id)
			}
			for _, id := range tt.succeeded {
				r.Succeeded(id)
			}
			var ids []string
			for _, m := range r.Order(tt.at, tt.members, tt.owner) {
				ids = append(ids, m.ID)
			}
			is.New(t).Equal(ids, tt.want)
		})
	}
}

func TestIsSuspect(t *testing.T) {
	is := is.New(t)
	members := []roster.Member{{ID: "e1"}, {ID: "e2"}}
	r := aggregation.NewRouter()
	is.True(!r.IsSuspect("e1"))
	r.Failed(0, "e1")
	r.Order(time.Minute, members, "e1")
	is.True(r.IsSuspect("e1")) // it is tried first again, and hasn't succeeded
	r.Succeeded("e1")
	is.True(!r.IsSuspect("e1"))
	r.Failed(time.Minute, "e1")
	r.Order(time.Minute, members[1:], "e2")
	is.True(!r.IsSuspect("e1")) // forgotten, as it has left
}
