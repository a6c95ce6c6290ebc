package main

import (
	"context"
	"expvar"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/dogwoodladder/dogwoodladder/daemon"
	"github.com/dogwoodladder/dogwoodladder/setting"
)

type serveCmd struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file of the process."`
}

// Run serves until the context is done. On SIGUSR1 it writes a dump of the
// state to standard error.
func (c *serveCmd) Run(ctx context.Context) error {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	s, err := setting.Parse(c.Settings, data)
	if err != nil {
		return err
	}
	d := daemon.New(*s, daemon.WithLogger(newLogger(s.LogLevel)))
	expvar.Publish("dogwoodladder", d.Vars())
	go dumpOnSignal(ctx, d)
	return d.Run(ctx)
}

func newLogger(level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zaplogfmt.NewEncoder(config)
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(os.Stderr), level))
}

func dumpOnSignal(ctx context.Context, d *daemon.Daemon) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			fmt.Fprintln(os.Stderr, d.Dump())
		}
	}
}
