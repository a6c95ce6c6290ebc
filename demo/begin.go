package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/manifest"
)

const startLimit = 8 * time.Second

// begin puts the first configuration in force and waits until every instance
// answers requests.
func (s *scenario) begin(ctx context.Context) error {
	s.report.event("started", "zones=%d instances=%d workers=%d", len(zones), len(s.site.instances), len(s.site.workers))
	if err := s.until(ctx, startLimit, "instances know each other", s.acquainted); err != nil {
		return err
	}
	m, err := manifest.Parse("first.yaml", read("first"))
	if err != nil {
		return err
	}
	s.manifest = m
	s.work = newWorkload(m)
	if err := s.apply(ctx, "amina", "first"); err != nil {
		return err
	}
	return s.until(ctx, startLimit, "service answers everywhere", s.serving)
}

// acquainted reports whether every instance sees all others live and has
// read its zone's stream.
func (s *scenario) acquainted(ctx context.Context) bool {
	for _, in := range s.site.running() {
		status, err := in.operator.status(ctx)
		if err != nil || !status.Ready || status.live() < len(s.site.instances) || len(status.Workers) < workersPerZone {
			return false
		}
	}
	return true
}

// serving reports whether a request to every instance is answered.
func (s *scenario) serving(ctx context.Context) bool {
	for _, address := range s.site.callers() {
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

func (s *scenario) apply(ctx context.Context, author, name string) error {
	start := time.Now()
	a, err := s.site.running()[0].operator.apply(ctx, author, "", read(name))
	if err != nil {
		return fmt.Errorf("apply %s: %w", name, err)
	}
	if len(a.Missing) > 0 {
		return fault.New(fault.Internal, "revision %d isn't in force at %v", a.Revision, a.Missing)
	}
	s.revision = a.Revision
	s.report.event("applied", "manifest=%s author=%s revision=%d in_force_everywhere_after=%v", name, author, a.Revision, short(time.Since(start)))
	return nil
}
