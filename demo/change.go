package demo

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

const evictionTime = 1500 * time.Millisecond // for evictions to happen

// reconfigure applies a manifest with a second service, whose need can only be
// met by evicting batch tasks.
func (s *scenario) reconfigure(ctx context.Context) error {
	before := s.evictions(ctx)
	if err := s.apply(ctx, "amina", "second"); err != nil {
		return err
	}
	if err := pause(ctx, evictionTime); err != nil {
		return err
	}
	s.report.event("evicted", "tasks=%d to make room for a service", s.evictions(ctx)-before)
	return nil
}

// applyConcurrently lets two operators replace the same revision at the same
// time, and checks that exactly one of them is accepted.
func (s *scenario) applyConcurrently(ctx context.Context) error {
	base := strconv.FormatUint(s.revision, 10)
	type result struct {
		author   string
		revision uint64
		err      error
	}
	results := make([]result, 2)
	var operators sync.WaitGroup
	for n, author := range []string{"shorter", "longer"} {
		at := s.site.firstInstance(zones[n])
		operators.Go(func() {
			a, err := at.operator.apply(ctx, author, base, readManifest(author))
			results[n] = result{author, a.Revision, err}
		})
	}
	operators.Wait()
	winners := 0
	for _, r := range results {
		var refused refusal
		switch {
		case r.err == nil:
			winners++
			s.revision = r.revision
			s.report.event("conflict", "winner=%s revision=%d", r.author, r.revision)
		case errors.As(r.err, &refused):
			s.report.event("conflict", "loser=%s told=%q", r.author, refused)
		default:
			return r.err
		}
	}
	if winners != 1 {
		return fault.New(fault.Internal, "%d of 2 conflicting manifests were accepted", winners)
	}
	return nil
}
