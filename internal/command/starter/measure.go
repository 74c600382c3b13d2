package starter

import (
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/transport/reporter"
)

// observeStore counts a call to the store by the kind of its object.
func (s *Starter) observeStore(kind string, err error, took time.Duration) {
	s.registry.Observe(reporter.Series{Name: "store_call_seconds", Reason: kind}, took)
	if err != nil {
		s.registry.Count(reporter.Series{Name: "store_calls_failed", Reason: kind}, 1)
	}
}

// observeProof records how old the proof of the configuration is.
func (s *Starter) observeProof() {
	if age, ok := s.holder.Age(); ok {
		s.registry.Observe(reporter.Series{Name: "proof_age_seconds"}, age)
	}
}

// forgetWorkspaces drops the series of workspaces that the configuration no
// longer has, so that their number stays bounded.
func (s *Starter) forgetWorkspaces(c *cataloger.Catalog) {
	for name := range s.known {
		if _, ok := c.Configuration.Workspaces[name]; !ok {
			s.registry.Forget(name)
		}
	}
	s.known = c.Configuration.Workspaces
}
