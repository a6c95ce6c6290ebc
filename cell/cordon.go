package cell

import (
	"slices"
	"strings"
)

// handleCordoned replaces the set of cordoned availability zones. Runs in a cordoned zone
// go on: a cordon doesn't mean that the zone is about to fail.
func (c *Cell) handleCordoned(zones []string) {
	cordoned := make(map[string]bool, len(zones))
	for _, zone := range zones {
		cordoned[zone] = true
	}
	c.cordonedZones = cordoned
	c.needsDispatch = true
	c.logEvent("cordoned", "zones", strings.Join(slices.Sorted(slices.Values(zones)), ","), "workers", c.cordonedWorkers())
}

// cordonedWorkers counts the workers in cordoned availability zones.
func (c *Cell) cordonedWorkers() int {
	n := 0
	for _, w := range c.workers {
		if c.cordonedZones[w.host.AvailabilityZone] {
			n++
		}
	}
	return n
}
