// Package logs builds a logger that never holds up its process: lines wait in
// a bounded buffer, and what doesn't fit is counted and left out.
//
// Usage:
//
//	logger, stop := logs.New(os.Stdout, zapcore.InfoLevel, logs.WithKept("owner", "load"))
//	defer stop()
//	logger.Info("accept", zap.String("job", id))
//
// A line is key=value pairs. Of lines with the same message only so many a
// second are written; those of the messages that are kept always are, and have
// room in the buffer that the others don't take. Once a second a line for each
// message tells how many of its lines were left out.
package logs

import (
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of the buffer. At 200 bytes a line it holds 2,600 lines, several
// seconds of an owner's decisions.
const (
	bufferBytes = 512 << 10
	keptBytes   = 64 << 10 // in addition, for lines that are kept
	flushEvery  = 200 * time.Millisecond
	tellEvery   = time.Second // of what was left out
	// writeBytes is the longest write. A pipe takes one of up to 4,096 bytes
	// whole or not at all (PIPE_BUF); of a longer one it may take a part, after
	// which lines of two writes run into each other.
	writeBytes = 4096
)

// DefaultRepeats is how many lines with the same message are written in a
// second. A cell of 490 workers logs 700 to 1,500 starts a second.
const DefaultRepeats = 1000

// Option changes a logger.
type Option func(*options)

type options struct {
	kept    []string
	repeats int
}

// WithKept sets the messages whose lines are never left out for others. They
// have to be rare, and tell what the process is at when it logs most.
func WithKept(messages ...string) Option {
	return func(o *options) { o.kept = messages }
}

// WithRepeats sets how many lines with the same message are written in a
// second, DefaultRepeats by default.
func WithRepeats(n int) Option {
	return func(o *options) { o.repeats = n }
}

// New returns a logger of lines from a level on, and what writes out the last
// of them.
func New(out io.Writer, level zapcore.Level, opts ...Option) (*zap.Logger, func()) {
	o := options{repeats: DefaultRepeats}
	for _, opt := range opts {
		opt(&o)
	}
	w := newWriter(out)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	encoder := zaplogfmt.NewEncoder(config)
	ordinary := &lane{LevelEnabler: level, encoder: encoder, writer: w, bound: bufferBytes}
	kept := &lane{LevelEnabler: level, encoder: encoder, writer: w, bound: bufferBytes + keptBytes}
	core := &split{
		LevelEnabler: level,
		names:        make(map[string]bool),
		kept:         kept,
		others:       zapcore.NewSamplerWithOptions(ordinary, time.Second, o.repeats, 0, zapcore.SamplerHook(w.sampled)),
	}
	for _, name := range o.kept {
		core.names[name] = true
	}
	return zap.New(core), w.stop
}
