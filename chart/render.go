package chart

import (
	"fmt"
	"strings"
)

// Render returns the chart as a Mermaid state diagram.
func (c *Chart) Render() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.states[c.initial])
	for s, row := range c.next {
		final := true
		for e, target := range row {
			if target == absent {
				continue
			}
			final = false
			fmt.Fprintf(&b, "    %s --> %s : %s\n", c.states[s], c.states[target], c.events[e])
		}
		if final {
			fmt.Fprintf(&b, "    %s --> [*]\n", c.states[s])
		}
	}
	return b.String()
}
