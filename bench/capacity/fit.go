package capacity

import (
	"fmt"
	"io"
	"strings"
)

// line is the least-squares fit y = base + slope x.
type line struct {
	base   float64
	slope  float64
	square float64 // R², how much of the variation the line explains
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
	across := n*sxx - sx*sx
	if across == 0 {
		return line{base: sy / n}
	}
	slope := (n*sxy - sx*sy) / across
	l := line{base: (sy - slope*sx) / n, slope: slope, square: 1}
	if total := n*syy - sy*sy; total > 0 {
		l.square = slope * slope * across / total
	}
	return l
}

// series is one quantity by one size.
type series struct {
	size   string // what grows
	value  string // what is measured, with its unit
	xs, ys []float64
}

// write prints a series as a row: its points and its line.
func (s series) row() []string {
	l := fit(s.xs, s.ys)
	points := make([]string, len(s.xs))
	for i := range s.xs {
		points[i] = fmt.Sprintf("%s: %s", number(s.xs[i]), number(s.ys[i]))
	}
	return []string{s.value, s.size, strings.Join(points, ", "), number(l.base), number(l.slope), fmt.Sprintf("%.3f", l.square)}
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
