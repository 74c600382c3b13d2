package starter

import (
	"time"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/reporter"
)

// status is the status page for operators: why the instance is not ready, and
// its view of the services.
type status struct {
	Instance      identifier.InstanceID `json:"instance"`
	DataCentre    identifier.DataCentre `json:"data_centre"`
	NotReady      []string              `json:"not_ready"`
	ConfigVersion uint64                `json:"config_version"`
	ProofAgeMs    int64                 `json:"proof_age_ms"`
	Members       int                   `json:"members"`
	Sessions      int                   `json:"sessions"`
	Forwarded     int                   `json:"forwarded_transactions"`
	Services      []serviceStatus       `json:"services"`
	Evacuations   []evacuationStatus    `json:"evacuations,omitempty"`
}

// serviceStatus is the instance's view of a service and its primary.
type serviceStatus struct {
	Service     identifier.ServiceName     `json:"service"`
	Servers     int                        `json:"servers"`
	Primary     identifier.BackendServerID `json:"primary"`
	Term        identifier.Term            `json:"term"`
	LastLedMs   int64                      `json:"last_led_ms"`   // Since the primary was last seen leading; -1 if never.
	SampleAgeMs int64                      `json:"sample_age_ms"` // Of the newest position sample; -1 if there is none.
}

// notReadyReasons returns why the instance should not get new sessions, nothing
// if it should.
func (s *Starter) notReadyReasons() []string {
	var reasons []string
	if s.draining.Load() {
		reasons = append(reasons, "the instance is draining")
	}
	if wait := time.Until(s.limiter.OwnershipStart()); wait > 0 {
		reasons = append(reasons, "the instance was registered just now; its part of the rates begins in "+wait.Round(time.Millisecond).String())
	}
	switch age, ok := s.holder.Age(); {
	case !ok:
		reasons = append(reasons, "no configuration was read from the store")
	case age > s.holder.MaxAge:
		reasons = append(reasons, "the proof of the configuration is "+age.Round(time.Millisecond).String()+" old; the store is not reached")
	}
	return reasons
}

func (s *Starter) status() status {
	age, _ := s.holder.Age()
	result := status{
		Instance: s.Settings.InstanceID, DataCentre: s.Settings.DataCentre, NotReady: s.notReadyReasons(),
		ConfigVersion: s.ConfigVersion(), ProofAgeMs: age.Milliseconds(),
		Sessions: s.sessions.Sessions(), Forwarded: s.sessions.ForwardedTransactions(),
	}
	c := s.holder.Catalog()
	if c == nil || c.Configuration == nil {
		return result
	}
	result.Members = len(c.Instances)
	result.Evacuations = s.evacuationStatuses(c)
	for name := range c.Configuration.Services {
		id, term, at := s.balancer.LastLed(name)
		service := serviceStatus{Service: name, Servers: len(c.Servers[name]), Primary: id, Term: term, LastLedMs: -1, SampleAgeMs: -1}
		if !at.IsZero() {
			service.LastLedMs = time.Since(at).Milliseconds()
		}
		if sample, ok := s.sessions.Sampler(name).Latest(); ok {
			service.SampleAgeMs = (s.holder.Clock() - sample.RequestedAt).Milliseconds()
		}
		result.Services = append(result.Services, service)
	}
	return result
}

// newReporter returns the server of the metrics and the status page.
func (s *Starter) newReporter() *reporter.Reporter {
	return &reporter.Reporter{Registry: &s.registry, Ready: s.notReadyReasons, Status: func() any { return s.status() }}
}
