package starter

import (
	"maps"
	"slices"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// evacuationStatus is this instance's view of the evacuation of a data centre.
type evacuationStatus struct {
	DataCentre identifier.DataCentre `json:"data_centre"`
	Servers    int                   `json:"servers"` // Registered in the data centre.
	// Withdrawn reports that this instance sends no statements to any of the servers.
	Withdrawn bool `json:"withdrawn"`
	// Primaries has the services whose primary is still in the data centre.
	Primaries []identifier.ServiceName `json:"primaries"`
	// SinceMs is the longest time for which the request may have been in force; -1
	// if that is not known, because it was in force before this instance had a proof.
	SinceMs int64 `json:"since_ms"`
}

// logEvacuations logs the evacuations that have begun or ended with the catalog.
func (s *Starter) logEvacuations(c *cataloger.Catalog) {
	for d, e := range c.Evacuations {
		if _, known := s.evacuations[d]; !known {
			s.Logger.Info().Str("event", "evacuation_began").Str("evacuated", string(d)).Stringer("revision", e.Revision).Send()
		}
	}
	for d := range s.evacuations {
		if _, remains := c.Evacuations[d]; !remains {
			s.Logger.Info().Str("event", "evacuation_ended").Str("evacuated", string(d)).Send()
		}
	}
	s.evacuations = c.Evacuations
}

// evacuationStatuses returns the view of each evacuated data centre.
func (s *Starter) evacuationStatuses(c *cataloger.Catalog) []evacuationStatus {
	statuses := make([]evacuationStatus, 0, len(c.Evacuations))
	for _, d := range slices.Sorted(maps.Keys(c.Evacuations)) {
		statuses = append(statuses, s.evacuationStatus(c, d))
	}
	return statuses
}

func (s *Starter) evacuationStatus(c *cataloger.Catalog, d identifier.DataCentre) evacuationStatus {
	status := evacuationStatus{DataCentre: d, Withdrawn: true, Primaries: []identifier.ServiceName{}, SinceMs: -1}
	for service, servers := range c.Servers {
		leader, _, _ := s.balancer.LastLed(service)
		for _, b := range servers {
			if b.DataCentre != d {
				continue
			}
			status.Servers++
			status.Withdrawn = status.Withdrawn && s.balancer.IsWithdrawn(b)
			if !b.EvacuatedSince.IsZero() {
				status.SinceMs = max(status.SinceMs, time.Since(b.EvacuatedSince).Milliseconds())
			}
			if b.ID == leader {
				status.Primaries = append(status.Primaries, service)
			}
		}
	}
	slices.Sort(status.Primaries)
	return status
}
