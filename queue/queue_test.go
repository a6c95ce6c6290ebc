package queue_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/queue"
)

func TestFind(t *testing.T) {
	table := queue.New(1, queue.Limits{}, []queue.Queue{
		{Name: "short", Host: "A.example", Prefix: "/q/", Terms: job.Terms{Service: "s"}},
		{Name: "long", Host: "a.example", Prefix: "/q/deep/"},
		{Name: "other", Host: "b.example", Prefix: "/q/"},
	}, []queue.Service{{Name: "s"}})
	tests := []struct {
		host, path, name, rest string
		ok                     bool
	}{
		{"a.example", "/q/1", "short", "1", true},
		{"a.example", "/q/deep/1", "long", "1", true}, // the longest prefix wins
		{"a.example", "/q/", "short", "", true},
		{"B.EXAMPLE", "/q/1", "other", "1", true},
		{"a.example", "/x/1", "", "", false},
		{"c.example", "/q/1", "", "", false},
	}
	for _, test := range tests {
		t.Run(test.host+test.path, func(t *testing.T) {
			is := is.New(t)
			q, rest, ok := table.Find(test.host, test.path)
			is.Equal(ok, test.ok)
			if ok {
				is.Equal(q.Name, test.name)
				is.Equal(rest, test.rest)
			}
		})
	}
	is := is.New(t)
	is.True(table.Serves("s"))
	is.True(!table.Serves("t"))
}
