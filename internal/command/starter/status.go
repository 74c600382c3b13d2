package starter

import (
	"time"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/reporter"
)

// status tells in one screen why the instance is or is not ready and what it
// believes.
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
}

// serviceStatus is what the instance believes of a service's primary.
type serviceStatus struct {
	Service     identifier.ServiceName     `json:"service"`
	Servers     int                        `json:"servers"`
	Primary     identifier.BackendServerID `json:"primary"`
	Term        identifier.Term            `json:"term"`
	LastLedMs   int64                      `json:"last_led_ms"`   // Since it was last seen leading.
	SampleAgeMs int64                      `json:"sample_age_ms"` // Of the newest position sample.
}

// notReady returns why new sessions should not come here; none when they may.
func (s *Starter) notReady() []string {
	var reasons []string
	if s.draining.Load() {
		reasons = append(reasons, "the instance is draining")
	}
	if wait := time.Until(s.allotter.Begins()); wait > 0 {
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
	now := status{
		Instance: s.Settings.InstanceID, DataCentre: s.Settings.DataCentre, NotReady: s.notReady(),
		ConfigVersion: s.ConfigVersion(), ProofAgeMs: age.Milliseconds(),
		Sessions: s.sessions.Sessions(), Forwarded: s.sessions.ForeignTransactions(),
	}
	c := s.holder.Catalog()
	if c == nil || c.Configuration == nil {
		return now
	}
	now.Members = len(c.Members)
	for name := range c.Configuration.Services {
		id, term, at := s.placer.LastLed(name)
		e := serviceStatus{Service: name, Servers: len(c.Servers[name]), Primary: id, Term: term, LastLedMs: -1, SampleAgeMs: -1}
		if !at.IsZero() {
			e.LastLedMs = time.Since(at).Milliseconds()
		}
		if n, ok := s.sessions.Sampler(name).Latest(); ok {
			e.SampleAgeMs = time.Since(n.Asked).Milliseconds()
		}
		now.Services = append(now.Services, e)
	}
	return now
}

// newReporter serves metrics and the status.
func (s *Starter) newReporter() *reporter.Reporter {
	return &reporter.Reporter{Registry: &s.registry, Ready: s.notReady, Status: func() any { return s.status() }}
}
