package main

import (
	"context"
	"os"

	"go.uber.org/zap/zapcore"

	"github.com/dogwoodladder/dogwoodladder/demo"
)

type demoCmd struct {
	Rate float64       `default:"150" help:"Requests per second."`
	Logs zapcore.Level `default:"error" help:"Least level of the instances' events that is shown: debug, info, warn or error."`
}

// Run returns an error when a step failed or a guarantee didn't hold.
func (c *demoCmd) Run(ctx context.Context) error {
	return demo.New(demo.WithRate(c.Rate), demo.WithLogger(newLogger(c.Logs))).Run(ctx, os.Stdout)
}
