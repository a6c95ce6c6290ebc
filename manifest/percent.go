package manifest

import (
	"fmt"
	"strconv"
	"strings"
)

// Percent is a percentage, counted in hundredths of a percent so that sums
// are exact.
type Percent int64

const (
	onePercent     Percent = 100
	hundredPercent Percent = 100 * onePercent
)

// String returns p as it is written in a manifest.
func (p Percent) String() string {
	text := strconv.FormatInt(int64(p/onePercent), 10)
	if rest := p % onePercent; rest != 0 {
		text += strings.TrimRight(fmt.Sprintf(".%02d", int64(rest)), "0")
	}
	return text + "%"
}

func (p Percent) of(amount int64) int64 {
	return amount * int64(p) / int64(hundredPercent)
}

// parsePercent parses 0% to 100% with at most two decimals.
func parsePercent(text string) (Percent, error) {
	number, found := strings.CutSuffix(text, "%")
	units, decimals, dotted := strings.Cut(number, ".")
	if !found || !isDigits(units) || dotted && (!isDigits(decimals) || len(decimals) > 2) {
		return 0, fmt.Errorf("share %q, want a percentage such as 40%% or 12.5%%", text)
	}
	p, err := strconv.ParseInt(units+(decimals + "00")[:2], 10, 64)
	if err != nil || Percent(p) > hundredPercent {
		return 0, fmt.Errorf("share %s, want 0%% to 100%%", text)
	}
	return Percent(p), nil
}

func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}
