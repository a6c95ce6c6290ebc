package document_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/document"
)

// Guards against a file whose value contains itself: it was read until the bound on values.
func TestValueWithinItself(t *testing.T) {
	tests := []struct {
		name string
		text string
		err  string
	}{
		{"mapping", "a: &x\n  b: *x\n", `f.yaml:2:6: alias of anchor "x" within its own value`},
		{"nested anchor", "a: &x\n  b: &y\n    c: *x\n", `f.yaml:3:8: alias of anchor "x" within its own value`},
		{"within a sequence", "a: &x {b: [1, *x]}\n", "f.yaml:1:11: want a mapping\nf.yaml:1:15: alias of anchor \"x\" within its own value"},
		{"used twice, not within itself", "a: &x {b: {}}\nc: *x\n", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			values := 0
			err := document.Read("f.yaml", []byte(tt.text), func(root document.Node) { values = count(root) })
			is.True(values < 10)
			if tt.err == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.Equal(err.Error(), tt.err)
		})
	}
}

// count returns the number of values under a node.
func count(n document.Node) int {
	sum := 1
	n.Entries(func(_ string, _, value document.Node) { sum += count(value) })
	return sum
}
