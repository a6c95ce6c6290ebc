package demo

import (
	"context"
	"fmt"
	"time"
)

const pollInterval = 50 * time.Millisecond

// waitUntil polls a condition until it holds or the time limit has passed.
func (s *scenario) waitUntil(ctx context.Context, limit time.Duration, what string, holds func(context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !holds(ctx) {
		if err := pause(ctx, pollInterval); err != nil {
			return fmt.Errorf("waiting until %s: %w", what, err)
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
