package starter

import (
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/transport/reporter"
)

// recordStoreCall records the duration and the failure of a store call by the
// kind of object.
func (s *Starter) recordStoreCall(kind string, err error, took time.Duration) {
	s.registry.Observe(reporter.Series{Name: "store_call_seconds", Reason: kind}, took)
	if err != nil {
		s.registry.Count(reporter.Series{Name: "store_calls_failed", Reason: kind}, 1)
	}
}

// recordProofAge records the time since the store last confirmed the
// configuration.
func (s *Starter) recordProofAge() {
	if age, ok := s.holder.Age(); ok {
		s.registry.Observe(reporter.Series{Name: "proof_age_seconds"}, age)
	}
}

// dropRemovedWorkspaces drops the metric series of workspaces that the
// configuration no longer has, so that the number of series stays bounded.
func (s *Starter) dropRemovedWorkspaces(c *cataloger.Catalog) {
	for name := range s.workspaces {
		if _, ok := c.Configuration.Workspaces[name]; !ok {
			s.registry.RemoveWorkspace(name)
		}
	}
	s.workspaces = c.Configuration.Workspaces
}
