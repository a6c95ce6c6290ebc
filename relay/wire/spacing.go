package wire

import (
	"context"
	"time"
)

// Spacing enforces a least time between the messages of one direction.
type Spacing struct {
	last time.Time
}

// Wait blocks until the next message may be sent: a gap after the last one, which is
// immediately if the connection was idle for longer.
func (s *Spacing) Wait(ctx context.Context, gap time.Duration) {
	if d := gap - time.Since(s.last); d > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	s.last = time.Now()
}
