package cell

import (
	"slices"
	"strings"
)

// cordon takes the availability zones whose workers get no new tasks. What runs
// there goes on: nothing says that the zone is about to go.
func (c *Cell) cordon(zones []string) {
	cordoned := make(map[string]bool, len(zones))
	for _, zone := range zones {
		cordoned[zone] = true
	}
	c.cordoned = cordoned
	c.changed = true
	c.note("cordoned", "zones", strings.Join(slices.Sorted(slices.Values(zones)), ","), "workers", c.cordonedWorkers())
}

func (c *Cell) cordonedWorkers() int {
	n := 0
	for _, w := range c.workers {
		if c.cordoned[w.host.AvailabilityZone] {
			n++
		}
	}
	return n
}
