package zone

import "time"

// Option changes a setting of a State.
type Option func(*settings)

type settings struct {
	Retention  time.Duration `cbor:"1,keyasint"`
	Quarantine time.Duration `cbor:"2,keyasint"`
	MaxTasks   int           `cbor:"3,keyasint"`
	MaxEnded   int           `cbor:"4,keyasint"`
	MaxBytes   int           `cbor:"5,keyasint"`
}

// maxGrowth bounds by how many bytes checkpoints, reasons and results may take
// the tasks' encoded size above MaxBytes.
const maxGrowth = 1 << 20

func defaultSettings() settings {
	return settings{
		Retention:  24 * time.Hour,
		Quarantine: 10 * time.Minute,
		MaxTasks:   20000,
		MaxEnded:   20000,
		MaxBytes:   5 << 20,
	}
}

// WithRetention sets how long an ended task is kept after its end. A task
// submitted again later than that runs again.
func WithRetention(d time.Duration) Option {
	return func(s *settings) { s.Retention = d }
}

// WithQuarantine sets how long a worker stays quarantined if it completes no
// task in the meantime.
func WithQuarantine(d time.Duration) Option {
	return func(s *settings) { s.Quarantine = d }
}

// WithMaxTasks bounds the tasks that haven't ended; more are refused.
func WithMaxTasks(n int) Option {
	return func(s *settings) { s.MaxTasks = n }
}

// WithMaxEnded bounds the ended tasks that are kept; the oldest are forgotten
// first.
func WithMaxEnded(n int) Option {
	return func(s *settings) { s.MaxEnded = n }
}

// WithMaxBytes bounds the encoded size of all tasks as they are submitted.
// Ended tasks are forgotten first; then new tasks are refused. Checkpoints,
// reasons and results may exceed it by up to maxGrowth (1 MiB) and are dropped
// beyond that.
func WithMaxBytes(n int) Option {
	return func(s *settings) { s.MaxBytes = n }
}
