package nesting_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodladder/dogwoodladder/nesting"
)

func TestPrune(t *testing.T) {
	deep := strings.Repeat("[", 1<<20) + strings.Repeat("]", 1<<20)
	tests := []struct {
		name, data, want string
	}{
		{"flat", `[1,"a"]`, `[1,"a"]`},
		{"at the depth", `[{"a":1}]`, `[{"a":1}]`},
		{"below it", `[{"a":{"b":1},"c":[[]]},2]`, `[{"a":null,"c":null},2]`},
		{"very deep", `[{"a":` + deep + `},2]`, `[{"a":null},2]`},
		{"brackets in a string", `["[[[\"[[","\\",[[3]]]`, `["[[[\"[[","\\",[null]]`},
		{"a string below it", `[[["]]]\"]"]],4]`, `[[null],4]`},
		{"no JSON", `]]{`, `]]{`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(string(nesting.Prune([]byte(tt.data), 2)), tt.want)
		})
	}
}

// Checks that a valid document stays valid, and unchanged if it isn't nested too deeply.
func TestPruneKeepsValidity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data, err := json.Marshal(drawValue(t, 5))
		if err != nil {
			t.Fatal(err)
		}
		if pruned := nesting.Prune(data, 5); string(pruned) != string(data) {
			t.Fatalf("%s became %s", data, pruned)
		}
		if pruned := nesting.Prune(data, rapid.IntRange(1, 4).Draw(t, "depth")); !json.Valid(pruned) {
			t.Fatalf("%s became %s", data, pruned)
		}
	})
}

func drawValue(t *rapid.T, depth int) any {
	if depth == 0 || rapid.Bool().Draw(t, "flat") {
		return rapid.StringOf(rapid.SampledFrom([]rune(`"\[]{}a,:`))).Draw(t, "string")
	}
	if rapid.Bool().Draw(t, "object") {
		return map[string]any{`"{`: drawValue(t, depth-1), "k": rapid.Int().Draw(t, "number")}
	}
	values := []any{}
	for range rapid.IntRange(0, 3).Draw(t, "values") {
		values = append(values, drawValue(t, depth-1))
	}
	return values
}
