package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Place is a position in a file. Lines and columns start at 1.
type Place struct {
	File   string
	Line   int
	Column int
}

// Problem is an error in a file and its position.
type Problem struct {
	Place
	Reason string
}

// String returns p as file:line:column: reason.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Reason)
}

// Problems is the error for a rejected file, sorted by position.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Sort sorts the problems by position.
func (p Problems) Sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
