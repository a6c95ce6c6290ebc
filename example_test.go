package dogwoodladder_test

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/setting"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// An instance runs within any process, here until SIGTERM.
func Example() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	data, err := os.ReadFile("kurasini-1.yaml")
	if err != nil {
		fmt.Println(err)
		return
	}
	settings, err := setting.Parse("kurasini-1.yaml", data)
	if err != nil {
		fmt.Println(err)
		return
	}
	instance := dogwoodladder.New(*settings, dogwoodladder.WithLogger(zap.Must(zap.NewProduction())))
	if err := instance.Run(ctx); err != nil {
		fmt.Println(err)
	}
}

// A decision package can be used alone: here the state of a zone's batch work,
// built from records of any source. A record that breaks a rule is void.
func Example_decision() {
	state := zone.New("kurasini")
	writer := record.Writer{ID: "kurasini-1", Incarnation: 1}
	worker := resource.Vector{Processors: 2000, Memory: 4096}
	task := record.Task{ID: "grade-17", Group: "grading", Need: resource.Vector{Processors: 1000, Memory: 512}}
	attempt := record.Attempt{Task: task.ID, Number: 1}
	for offset, r := range []record.Record{
		{Limits: &record.Limits{Revision: 1, Groups: map[string]resource.Vector{"grading": worker}}},
		{Own: &record.Own{Worker: "w1", Epoch: 1, Capacity: worker}},
		{Submit: &record.Submit{Tasks: []record.Task{task}}},
		{Claim: &record.Claim{Tasks: []string{task.ID}}},
		{Done: &record.Done{Attempt: attempt, Worker: "w1"}},
		{Done: &record.Done{Attempt: attempt, Worker: "w1"}},
	} {
		r.Writer = writer
		r.Sequence = uint64(offset + 1)
		r.Version = record.Version
		outcome := state.Apply(uint64(offset), time.Unix(int64(offset), 0), r)
		fmt.Println(outcome.Effect, outcome.Reason, outcome.Changed)
	}
	// Output:
	// Applied None []
	// Applied None []
	// Applied None [grade-17]
	// Applied None [grade-17]
	// Applied None [grade-17]
	// Void AlreadyEnded []
}
