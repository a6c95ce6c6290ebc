package logs

import (
	"go.uber.org/zap/zapcore"
)

// splitCore routes the lines of kept messages to one core and all others to another.
type splitCore struct {
	zapcore.LevelEnabler
	keptMessages map[string]bool
	kept         zapcore.Core // for the messages in keptMessages
	others       zapcore.Core
}

func (s *splitCore) With(fields []zapcore.Field) zapcore.Core {
	return &splitCore{LevelEnabler: s.LevelEnabler, keptMessages: s.keptMessages, kept: s.kept.With(fields), others: s.others.With(fields)}
}

func (s *splitCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if s.keptMessages[e.Message] {
		return s.kept.Check(e, checked)
	}
	return s.others.Check(e, checked)
}

// Write implements zapcore.Core. It isn't called, as Check registers the inner cores.
func (s *splitCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return s.others.Write(e, fields)
}

// Sync does nothing, as the writer flushes lines periodically.
func (s *splitCore) Sync() error { return nil }

// bufferCore passes lines to the writer, which drops a line that would grow its buffer
// beyond maxBytes.
type bufferCore struct {
	zapcore.LevelEnabler
	encoder  zapcore.Encoder
	writer   *writer
	maxBytes int
}

func (l *bufferCore) With(fields []zapcore.Field) zapcore.Core {
	encoder := l.encoder.Clone()
	for i := range fields {
		fields[i].AddTo(encoder)
	}
	return &bufferCore{LevelEnabler: l.LevelEnabler, encoder: encoder, writer: l.writer, maxBytes: l.maxBytes}
}

func (l *bufferCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if l.Enabled(e.Level) {
		return checked.AddCore(e, l)
	}
	return checked
}

func (l *bufferCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	line, err := l.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	l.writer.add(e.Message, line.Bytes(), l.maxBytes)
	line.Free()
	return nil
}

// Sync does nothing, as the writer flushes lines periodically.
func (l *bufferCore) Sync() error { return nil }
