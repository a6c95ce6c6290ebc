package main

import (
	"context"
	"os"
	"runtime/debug"

	"go.uber.org/zap/zapcore"

	"github.com/dogwoodladder/dogwoodladder/logs"
	"github.com/dogwoodladder/dogwoodladder/platform"
)

type nodeCmd struct{}

// collectAt is the garbage collector's target: an instance holds a few MB, so
// collecting at four times that spares processor time for little memory.
const collectAt = 300

// Run serves as an entry instance of the users' platform until the context is
// done.
func (c *nodeCmd) Run(ctx context.Context) error {
	debug.SetGCPercent(collectAt)
	logger, stop := logs.New(os.Stdout, zapcore.InfoLevel, logs.WithKept(platform.KeptLines()...))
	defer stop()
	return platform.Run(ctx, logger)
}
