package main

import (
	"context"
	"os"
	"runtime/debug"

	"go.uber.org/zap/zapcore"

	"github.com/dogwoodladder/dogwoodladder/logs"
	"github.com/dogwoodladder/dogwoodladder/platform"
)

type platformEntryCmd struct{}

// gcPercent is the garbage collector's target percentage. An instance's live
// heap is a few MB, so collecting at four times that size saves processor time
// for little memory.
const gcPercent = 300

// Run serves as an entry instance of the users' platform until the context is
// done.
func (c *platformEntryCmd) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	logger, stop := logs.New(os.Stdout, zapcore.InfoLevel, logs.WithKeptMessages(platform.KeptLogMessages()...))
	defer stop()
	return platform.Run(ctx, logger)
}
