package main

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

// Guards against a mistyped value of a flag that counts as on or off.
func TestEntryFlags(t *testing.T) {
	tests := []struct {
		name   string
		args   []string
		values [3]string // aggregation, copies, sharing
		names  string    // flag in the error, empty without one
	}{
		{"defaults", nil, [3]string{"auto", "auto", "off"}, ""},
		{"off", []string{"--aggregation=off", "--copies=off", "--sharing=off"}, [3]string{"off", "off", "off"}, ""},
		{"auto", []string{"--copies=auto", "--sharing=auto"}, [3]string{"auto", "auto", "auto"}, ""},
		{"another value", []string{"--aggregation=on"}, [3]string{}, "--aggregation"},
		{"another case", []string{"--copies=OFF"}, [3]string{}, "--copies"},
		{"empty", []string{"--sharing="}, [3]string{}, "--sharing"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var c cli
			k, err := kong.New(&c)
			is.NoErr(err)
			_, err = k.Parse(append([]string{"entry"}, tt.args...))
			is.Equal(err != nil, tt.names != "")
			if err != nil {
				is.True(strings.Contains(err.Error(), tt.names))
				return
			}
			is.Equal([3]string{c.Entry.Aggregation, c.Entry.Copies, c.Entry.Sharing}, tt.values)
		})
	}
}
