// Command dogwoodladder runs an instance of the scheduler, sends operators'
// commands to it, runs its benchmarks, and starts stand-ins of the platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli declares the commands and flags for kong.
type cli struct {
	Serve   serveCmd         `cmd:"" help:"Run one instance."`
	Check   checkCmd         `cmd:"" help:"Check a manifest; needs no running system."`
	Apply   applyCmd         `cmd:"" help:"Publish a manifest as the whole desired state."`
	Status  statusCmd        `cmd:"" help:"Show an instance's view of its zone."`
	Dump    dumpCmd          `cmd:"" help:"Show the whole state of an instance."`
	Submit  submitCmd        `cmd:"" help:"Queue batch tasks."`
	Cancel  cancelCmd        `cmd:"" help:"Cancel batch tasks or jobs."`
	Demo    demoCmd          `cmd:"" help:"Run two zones with load and faults in one process, and check what is guaranteed."`
	Bench   benchCmd         `cmd:"" help:"Measure policies with fixed seeds; prints Markdown tables."`
	Explain explainCmd       `cmd:"" help:"Show what the logs of all instances say of one job, or which jobs were late and why."`
	Entry   platformEntryCmd `cmd:"" help:"Run one entry instance of the users' platform."`
	Standin standinCmd       `cmd:"" help:"Run a stand-in of a part of the platform."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	k := kong.Parse(&c,
		kong.Name("dogwoodladder"),
		kong.Description("A scheduler for latency-critical and batch work on the same workers."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
