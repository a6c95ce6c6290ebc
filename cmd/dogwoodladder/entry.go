package main

import (
	"context"
	"os"
	"runtime/debug"

	"go.uber.org/zap/zapcore"

	"github.com/dogwoodladder/dogwoodladder/logs"
	"github.com/dogwoodladder/dogwoodladder/platform"
)

type platformEntryCmd struct {
	Aggregation string `enum:"auto,off" default:"auto" help:"Write records of jobs through aggregators while the store is slow (auto, off)."`
	Copies      string `enum:"auto,off" default:"auto" help:"Run tasks a second time whose steps allow copies (auto, off)."`
	Sharing     string `enum:"auto,off" default:"off" help:"Share full pools by queue and availability zone (auto, off)."`
}

// flagAuto is the value of a flag that leaves the decision to the platform's settings and the
// jobs.
const flagAuto = "auto"

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
	return platform.Run(ctx, logger, c.options()...)
}

func (c *platformEntryCmd) options() []platform.Option {
	return []platform.Option{
		platform.WithAggregation(c.Aggregation == flagAuto),
		platform.WithCopies(c.Copies == flagAuto),
		platform.WithSharing(c.Sharing == flagAuto),
	}
}
