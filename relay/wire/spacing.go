package wire

import (
	"context"
	"time"
)

// Spacing keeps the messages of one direction apart.
type Spacing struct {
	last time.Time
}

// Wait returns when the next message may be sent: a gap after the last one, at
// once if none was sent of late.
func (s *Spacing) Wait(ctx context.Context, gap time.Duration) {
	if d := gap - time.Since(s.last); d > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	s.last = time.Now()
}
