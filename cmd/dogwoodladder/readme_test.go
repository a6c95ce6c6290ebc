package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/setting"
)

// TestReadme checks that the README's tables of settings and commands are those
// generated from the code.
func TestReadme(t *testing.T) {
	data, err := os.ReadFile("../../README.md")
	is.New(t).NoErr(err)
	tables := []struct{ name, text string }{
		{"settings", setting.Table()},
		{"commands", commandTable(t)},
	}
	for _, table := range tables {
		t.Run(table.name, func(t *testing.T) {
			if !strings.Contains(string(data), "\n\n"+table.text+"\n") {
				t.Errorf("README.md lacks the table\n%s", table.text)
			}
		})
	}
}

// commandTable returns all commands as a Markdown table.
func commandTable(t *testing.T) string {
	t.Helper()
	k, err := kong.New(&cli{})
	is.New(t).NoErr(err)
	var b strings.Builder
	b.WriteString("| Command | What it does |\n|---|---|\n")
	for _, leaf := range k.Model.Leaves(true) {
		name := leaf.Path()
		for _, arg := range leaf.Positional {
			name += " " + arg.Summary()
		}
		fmt.Fprintf(&b, "| `%s` | %s |\n", name, leaf.Help)
	}
	return b.String()
}
