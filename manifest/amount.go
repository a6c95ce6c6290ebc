package manifest

import (
	"fmt"
	"strconv"
	"strings"
)

// Bounds of amounts. They are small enough that sums over a whole manifest can't
// overflow.
const (
	maxProcessors   = 1_000_000_000 // thousandths of a core
	maxMemory       = 1 << 32       // MiB
	maxAccelerators = 1_000_000
)

// unit is a unit suffix and its size in base units.
type unit struct {
	suffix string
	size   int64
}

var (
	processorUnits   = []unit{{"m", 1}, {"", 1000}}
	memoryUnits      = []unit{{"MiB", 1}, {"GiB", 1 << 10}, {"TiB", 1 << 20}}
	acceleratorUnits = []unit{{"", 1}}
)

func parseProcessors(text string) (int64, error) {
	return parseAmount("processors", text, "cores such as 8 or thousandths such as 500m", processorUnits, 1, maxProcessors)
}

func parseMemory(text string) (int64, error) {
	return parseAmount("memory", text, "a number with its unit, such as 512MiB or 4GiB", memoryUnits, 1, maxMemory)
}

func parseAccelerators(text string) (int64, error) {
	return parseAmount("accelerators", text, "whole devices such as 2", acceleratorUnits, 0, maxAccelerators)
}

func parseAmount(name, text, want string, units []unit, low, high int64) (int64, error) {
	for _, u := range units {
		number, found := strings.CutSuffix(text, u.suffix)
		digits, negative := strings.CutPrefix(number, "-")
		if !found || !isDigits(digits) {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n > high/u.size {
			return 0, fmt.Errorf("%s %q, want at most %s", name, text, formatAmount(high, units))
		}
		if negative || n*u.size < low {
			return 0, fmt.Errorf("%s %q, want at least %s", name, text, formatAmount(low, units))
		}
		return n * u.size, nil
	}
	return 0, fmt.Errorf("%s %q, want %s", name, text, want)
}

// formatAmount formats n in the largest unit that represents it exactly.
func formatAmount(n int64, units []unit) string {
	best := units[0]
	for _, u := range units {
		if n != 0 && n%u.size == 0 {
			best = u
		}
	}
	return strconv.FormatInt(n/best.size, 10) + best.suffix
}
