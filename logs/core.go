package logs

import (
	"go.uber.org/zap/zapcore"
)

// split sends lines of some messages one way and the others another.
type split struct {
	zapcore.LevelEnabler
	names  map[string]bool
	kept   zapcore.Core // of the messages named
	others zapcore.Core
}

func (s *split) With(fields []zapcore.Field) zapcore.Core {
	return &split{LevelEnabler: s.LevelEnabler, names: s.names, kept: s.kept.With(fields), others: s.others.With(fields)}
}

func (s *split) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if s.names[e.Message] {
		return s.kept.Check(e, checked)
	}
	return s.others.Check(e, checked)
}

// Write isn't called: Check names the cores that write.
func (s *split) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return s.others.Write(e, fields)
}

// Sync does nothing: lines are written out on their own.
func (s *split) Sync() error { return nil }

// lane hands lines to the writer while its buffer holds less than bound bytes.
type lane struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	writer  *writer
	bound   int
}

func (l *lane) With(fields []zapcore.Field) zapcore.Core {
	encoder := l.encoder.Clone()
	for i := range fields {
		fields[i].AddTo(encoder)
	}
	return &lane{LevelEnabler: l.LevelEnabler, encoder: encoder, writer: l.writer, bound: l.bound}
}

func (l *lane) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if l.Enabled(e.Level) {
		return checked.AddCore(e, l)
	}
	return checked
}

func (l *lane) Write(e zapcore.Entry, fields []zapcore.Field) error {
	line, err := l.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	l.writer.add(e.Message, line.Bytes(), l.bound)
	line.Free()
	return nil
}

// Sync does nothing, as that of split.
func (l *lane) Sync() error { return nil }
