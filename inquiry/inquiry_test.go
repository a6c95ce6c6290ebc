package inquiry_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/inquiry"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/roster"
)

type responder struct{}

func (responder) Respond(_ context.Context, q inquiry.Question) (inquiry.Answer, error) {
	switch q.Job {
	case "":
		return inquiry.Answer{Pending: len(q.Queue)}, nil
	case "busy":
		return inquiry.Answer{}, fault.New(fault.Unavailable, "not a standby")
	}
	return inquiry.Answer{Known: true, State: progress.Completed, Age: 7}, nil
}

func TestAsk(t *testing.T) {
	server := httptest.NewServer(inquiry.NewHandler("e1", responder{}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	tests := []struct {
		name     string
		to       string
		question inquiry.Question
		answer   inquiry.Answer
		fails    bool
	}{
		{"state of a job", "e1", inquiry.Question{Job: "j"}, inquiry.Answer{Known: true, State: progress.Completed, Age: 7}, false},
		{"jobs of a queue", "e1", inquiry.Question{Queue: "abc"}, inquiry.Answer{Pending: 3}, false},
		{"not a standby", "e1", inquiry.Question{Job: "busy"}, inquiry.Answer{}, true},
		{"another instance at the address", "e2", inquiry.Question{Job: "j"}, inquiry.Answer{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, err := inquiry.NewClient().Ask(t.Context(), roster.Member{ID: tt.to, Address: address}, tt.question)
			is.Equal(err != nil, tt.fails)
			is.Equal(err != nil, fault.Is(err, fault.Unavailable))
			is.Equal(a, tt.answer)
		})
	}
}
