package capacity

import (
	"fmt"
	"io"
	"strings"
)

// line is the least-squares fit y = base + slope x.
type line struct {
	base     float64
	slope    float64
	rSquared float64 // R², the share of the variation that the line explains
}

func fit(xs, ys []float64) line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy, syy float64
	for i, x := range xs {
		y := ys[i]
		sx += x
		sy += y
		sxx += x * x
		sxy += x * y
		syy += y * y
	}
	spread := n*sxx - sx*sx
	if spread == 0 {
		return line{base: sy / n}
	}
	slope := (n*sxy - sx*sy) / spread
	l := line{base: (sy - slope*sx) / n, slope: slope, rSquared: 1}
	if total := n*syy - sy*sy; total > 0 {
		l.rSquared = slope * slope * spread / total
	}
	return l
}

// series holds the values of one quantity as another one grows.
type series struct {
	grows  string // what grows
	value  string // what is measured, with its unit
	xs, ys []float64
}

// row formats a series as a row of a table: its points and the fitted line.
func (s series) row() []string {
	l := fit(s.xs, s.ys)
	points := make([]string, len(s.xs))
	for i := range s.xs {
		points[i] = fmt.Sprintf("%s: %s", number(s.xs[i]), number(s.ys[i]))
	}
	return []string{s.value, s.grows, strings.Join(points, ", "), number(l.base), number(l.slope), fmt.Sprintf("%.3f", l.rSquared)}
}

var seriesHeader = []string{"value", "by", "points", "base", "slope", "R²"}

func table(w io.Writer, title string, header []string, rows [][]string) error {
	var s strings.Builder
	fmt.Fprintf(&s, "\n### %s\n\n| %s |\n|%s\n", title, strings.Join(header, " | "), strings.Repeat("---|", len(header)))
	for _, row := range rows {
		fmt.Fprintf(&s, "| %s |\n", strings.Join(row, " | "))
	}
	_, err := io.WriteString(w, s.String())
	return err
}

func seriesTable(w io.Writer, title string, all []series) error {
	var rows [][]string
	for _, s := range all {
		rows = append(rows, s.row())
	}
	return table(w, title, seriesHeader, rows)
}

func number(v float64) string {
	return strings.TrimSuffix(fmt.Sprintf("%.4g", v), ".0")
}
