package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/manifest"
)

const startTimeout = 8 * time.Second

// begin applies the first manifest and waits until every instance answers
// requests.
func (s *scenario) begin(ctx context.Context) error {
	s.report.event("started", "zones=%d instances=%d workers=%d", len(zones), len(s.site.instances), len(s.site.workers))
	if err := s.waitUntil(ctx, startTimeout, "instances know each other", s.membershipComplete); err != nil {
		return err
	}
	m, err := manifest.Parse("first.yaml", readManifest("first"))
	if err != nil {
		return err
	}
	s.manifest = m
	s.workload = newWorkload(m)
	if err := s.apply(ctx, "amina", "first"); err != nil {
		return err
	}
	return s.waitUntil(ctx, startTimeout, "service answers everywhere", s.serviceReady)
}

// membershipComplete reports whether every instance is ready, sees all instances
// live and knows its zone's workers.
func (s *scenario) membershipComplete(ctx context.Context) bool {
	for _, in := range s.site.running() {
		status, err := in.operator.status(ctx)
		if err != nil || !status.Ready || status.live() < len(s.site.instances) || len(status.Workers) < workersPerZone {
			return false
		}
	}
	return true
}

// serviceReady reports whether a request to every instance is answered.
func (s *scenario) serviceReady(ctx context.Context) bool {
	for _, address := range s.site.callerAddresses() {
		response, err := http.Get("http://" + address + "/services/" + service + "/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// apply publishes an embedded manifest and checks that it is in force on all
// instances.
func (s *scenario) apply(ctx context.Context, author, name string) error {
	start := time.Now()
	a, err := s.site.running()[0].operator.apply(ctx, author, "", readManifest(name))
	if err != nil {
		return fmt.Errorf("apply %s: %w", name, err)
	}
	if len(a.Missing) > 0 {
		return fault.New(fault.Internal, "revision %d isn't in force at %v", a.Revision, a.Missing)
	}
	s.revision = a.Revision
	s.report.event("applied", "manifest=%s author=%s revision=%d in_force_everywhere_after=%v", name, author, a.Revision, roundLatency(time.Since(start)))
	return nil
}
