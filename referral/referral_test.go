package referral_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/referral"
	"github.com/dogwoodladder/dogwoodladder/roster"
)

func keepOrder(int, func(i, j int)) {}

func TestOrder(t *testing.T) {
	members := []roster.Member{
		{ID: "b1", AvailabilityZone: "b"}, {ID: "a1", AvailabilityZone: "a"}, {ID: "a2", AvailabilityZone: "a"},
		{ID: "a3", AvailabilityZone: "a"}, {ID: "b2", AvailabilityZone: "b"},
	}
	tests := []struct {
		name   string
		self   string
		owner  string
		failed []string
		order  string
	}{
		{"own zone first, then others", "a9", "c1", nil, "a1 a2 b1 b2 a3"},
		{"the owner last", "a9", "a1", nil, "a2 a3 b1 b2 a1"},
		{"not itself", "a1", "c1", nil, "a2 a3 b1 b2"},
		{"failed ones after the others", "a9", "c1", []string{"a1", "a2", "a3"}, "b1 b2 a1 a2 a3"},
		{"failed ones rather than none", "a9", "c1", []string{"a1", "a2", "a3", "b1", "b2"}, "b1 a1 a2 a3 b2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := referral.New(tt.self, "a", keepOrder)
			for _, id := range tt.failed {
				r.Failed(0, id)
			}
			order := ""
			for _, m := range r.Order(time.Second, members, tt.owner) {
				order += " " + m.ID
			}
			is.Equal(order, " "+tt.order)
		})
	}
}

// Guards against a standby that is never asked again after one lost answer.
func TestFailuresExpire(t *testing.T) {
	is := is.New(t)
	members := []roster.Member{{ID: "a1", AvailabilityZone: "a"}, {ID: "b1", AvailabilityZone: "b"}}
	r := referral.New("a9", "a", keepOrder)
	r.Failed(0, "a1")
	is.Equal(r.Order(time.Second, members, "")[0].ID, "b1")
	is.Equal(r.Order(3*time.Second, members, "")[0].ID, "a1")
}
