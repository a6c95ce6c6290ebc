package chart

import (
	"os"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

func read(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	is.New(t).NoErr(err)
	return data
}

func TestNewRefuses(t *testing.T) {
	var cases []struct{ Name, Want, Chart string }
	is.New(t).NoErr(yaml.Unmarshal(read(t, "bad.yaml"), &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			_, err := New([]byte(c.Chart))
			is.True(fault.Is(err, fault.Invalid))
			if !strings.Contains(err.Error(), c.Want) {
				t.Fatalf("got %q, want %q in it", err, c.Want)
			}
		})
	}
}

func TestNext(t *testing.T) {
	is := is.New(t)
	c, err := New(read(t, "door.yaml"))
	is.NoErr(err)
	open, ok := c.Event("open")
	is.True(ok)
	_, ok = c.Event("paint")
	is.True(!ok)
	opened, ok := c.State("opened")
	is.True(ok)

	next, err := c.Next(c.Initial(), open)
	is.NoErr(err)
	is.Equal(next, opened)
	next, err = c.Next(opened, open)
	is.True(fault.Is(err, fault.Conflict))
	is.Equal(err.Error(), "Conflict: state opened takes no open")
	is.Equal(next, opened)
	_, err = c.Next(State(9), open)
	is.True(fault.Is(err, fault.Conflict))

	allocated := testing.AllocsPerRun(100, func() {
		_, _ = c.Next(c.Initial(), open)
		_, _ = c.Next(opened, open)
	})
	is.Equal(allocated, 0.0)
}

func TestRender(t *testing.T) {
	is := is.New(t)
	c, err := New(read(t, "door.yaml"))
	is.NoErr(err)
	is.Equal(c.Render(), string(read(t, "door.mermaid")))
}
