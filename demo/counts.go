package demo

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// counts are numbers of events by kind.
type counts map[string]int

// String returns the counts as kind:number pairs sorted by kind, or "none".
func (c counts) String() string {
	if len(c) == 0 {
		return "none"
	}
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(c)) {
		parts = append(parts, fmt.Sprintf("%s:%d", kind, c[kind]))
	}
	return strings.Join(parts, ",")
}

func (c counts) add(more counts) {
	for kind, n := range more {
		c[kind] += n
	}
}
