package setting

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/dogwoodladder/dogwoodladder/document"
)

// Limits bounds what the clients of all listeners hold together.
type Limits struct {
	Connections int   // open at a time
	Memory      int64 // bytes of requests in progress, each counted twice
}

// Bounds of the limits. A command of an operator fits the least memory.
const (
	minConnections = 32
	maxConnections = 1 << 20
	minMemoryMiB   = 16
	maxMemoryMiB   = 1 << 20
	mebibyte       = 1 << 20
	gibibyteMiB    = 1 << 10
)

func defaultLimits() Limits {
	return Limits{Connections: 16_384, Memory: 256 * mebibyte}
}

func (p *parser) readLimits(n document.Node) {
	l := &p.settings.Limits
	n.Map(
		document.Optional("connections", document.Into(&l.Connections, document.Count(minConnections, maxConnections))),
		document.Optional("memory", document.Into(&l.Memory, parseMemory)),
	)
}

// parseMemory parses an amount of memory, such as 256MiB, and returns bytes.
func parseMemory(text string) (int64, error) {
	digits, unit := strings.CutSuffix(text, "MiB")
	factor := 1
	if !unit {
		digits, unit = strings.CutSuffix(text, "GiB")
		factor = gibibyteMiB
	}
	n, err := strconv.Atoi(digits)
	if err != nil || !unit {
		return 0, fmt.Errorf("memory %q, want a whole number with its unit, such as 256MiB or 1GiB", text)
	}
	if n < 0 || n > maxMemoryMiB/factor || n*factor < minMemoryMiB {
		return 0, fmt.Errorf("memory %s, want %dMiB to %dGiB", text, minMemoryMiB, maxMemoryMiB/gibibyteMiB)
	}
	return int64(n) * int64(factor) * mebibyte, nil
}

func formatMemory(n int64) string { return strconv.FormatInt(n/mebibyte, 10) + "MiB" }
