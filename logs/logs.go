// Package logs builds a logger that never blocks its process. Lines are queued in
// a bounded buffer, and lines that don't fit are dropped and counted.
//
// Usage:
//
//	logger, stop := logs.New(os.Stdout, zapcore.InfoLevel, logs.WithKeptMessages("owner", "load"))
//	defer stop()
//	logger.Info("accept", zap.String("job", id))
//
// A line consists of key=value pairs. The number of lines with the same message is
// limited per second, except for kept messages, which also have reserved space in
// the buffer. Once a second the number of dropped lines is logged for each message.
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
	bufferBytes        = 512 << 10
	extraKeptBytes     = 64 << 10 // additional space for kept messages
	flushInterval      = 200 * time.Millisecond
	dropReportInterval = time.Second // interval of the reports of dropped lines
	// maxWriteBytes is the maximum size of a write of several lines. A pipe accepts a
	// write of up to 4,096 bytes (PIPE_BUF) completely or not at all. It may accept part
	// of a longer one, so that a line is cut and joined with the next write.
	maxWriteBytes = 4096
)

// DefaultMessageLimit is the default limit of lines per second with the same message. A cell
// of 490 workers logs 700 to 1,500 starts per second.
const DefaultMessageLimit = 1000

// Option configures a logger.
type Option func(*options)

type options struct {
	kept         []string
	messageLimit int
}

// WithKeptMessages sets the messages whose lines are exempt from the limit per message and have
// reserved buffer space. They must be rare; they are for lines that are needed most when
// the process logs a lot.
func WithKeptMessages(messages ...string) Option {
	return func(o *options) { o.kept = messages }
}

// WithMessageLimit sets the limit of lines per second with the same message. The default is
// DefaultMessageLimit.
func WithMessageLimit(n int) Option {
	return func(o *options) { o.messageLimit = n }
}

// New returns a logger for lines of at least the given level, and a function that stops
// it after writing the buffered lines.
func New(out io.Writer, level zapcore.Level, opts ...Option) (*zap.Logger, func()) {
	o := options{messageLimit: DefaultMessageLimit}
	for _, opt := range opts {
		opt(&o)
	}
	w := newWriter(out)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	encoder := zaplogfmt.NewEncoder(config)
	ordinary := &bufferCore{LevelEnabler: level, encoder: encoder, writer: w, maxBytes: bufferBytes}
	kept := &bufferCore{LevelEnabler: level, encoder: encoder, writer: w, maxBytes: bufferBytes + extraKeptBytes}
	core := &splitCore{
		LevelEnabler: level,
		keptMessages: make(map[string]bool),
		kept:         kept,
		others:       zapcore.NewSamplerWithOptions(ordinary, time.Second, o.messageLimit, 0, zapcore.SamplerHook(w.handleSample)),
	}
	for _, name := range o.kept {
		core.keptMessages[name] = true
	}
	return zap.New(core), w.stop
}
