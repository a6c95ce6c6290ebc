package relay

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Checks that an owner connects only to the instances that it uses and a spare one in
// each zone, that another replaces a lost one, and that the lost one is tried again.
func TestWanted(t *testing.T) {
	var instances []Instance
	for n := range 20 {
		instances = append(instances, Instance{ID: fmt.Sprintf("e%d", n), AvailabilityZone: "a"})
	}
	r := newRoutes()
	r.setInstances(instances)
	first := r.zones["a"]
	tests := []struct {
		name    string
		workers int
		lost    []string
		want    []string
	}{
		{"178 workers", 178, nil, first[:4]},
		{"the first one is lost", 178, first[:1], first[:5]},
		{"all are lost", 178, first, first},
		{"nothing is known of the workers", 0, nil, first[:2]},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r.setWorkers(map[string]int{"a": test.workers})
			is.New(t).Equal(r.wanted(func(id string) bool { return !slices.Contains(test.lost, id) }), test.want)
		})
	}
}
