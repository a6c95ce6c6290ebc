package demo

import (
	"context"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

const (
	outageTime = 3 * time.Second
	killTime   = 2500 * time.Millisecond
	stopTime   = time.Second
)

// breakLog takes the log service down for outageTime.
func (s *scenario) breakLog(ctx context.Context) error {
	before := completions(s.site.ledger(""))
	s.report.event("log down", "for=%v", outageTime)
	repair := s.site.breakLog()
	defer repair()
	if err := pause(ctx, outageTime); err != nil {
		return err
	}
	s.report.event("log back", "tasks_completed_meanwhile=%d", completions(s.site.ledger(""))-before)
	return nil
}

// kill stops an instance without a handover, like a crash. Its leases stay in
// force until they expire, and its requests are cut off.
func (s *scenario) kill(ctx context.Context) error {
	start := time.Now()
	in := s.site.findInstance(victim)
	in.stopped.Store(true)
	in.kill()
	<-in.ended
	s.report.event("killed", "instance=%s after=%v", in.id, roundLatency(time.Since(start)))
	if err := pause(ctx, killTime/2); err != nil {
		return err
	}
	s.site.list.Delete(victim)
	return pause(ctx, killTime/2)
}

// stop performs a planned stop of an instance with requests in flight.
func (s *scenario) stop(ctx context.Context) error {
	if err := pause(ctx, stopTime/2); err != nil {
		return err
	}
	leaving := s.site.lastInstance(zones[1])
	if err := s.site.list.Put(leaving.listEntry(provider.StatusLeaving)); err != nil {
		return err
	}
	inFlight := leaving.operator.inFlight(ctx)
	start := time.Now()
	leaving.stop()
	select {
	case <-leaving.ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	s.site.list.Delete(leaving.id)
	s.report.event("stopped", "instance=%s requests_in_flight=%d after=%v", leaving.id, inFlight, roundLatency(time.Since(start)))
	if leaving.err != nil {
		return fault.Wrap(fault.Internal, leaving.err, "planned stop of %s", leaving.id)
	}
	return pause(ctx, stopTime)
}
