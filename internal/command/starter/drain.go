package starter

import (
	"context"
	"time"
)

// Periods of a planned stop.
const (
	// announce is the time for which new sessions are still accepted: the
	// balancer needs two failed probes, one a second, to stop sending them.
	announce = 2200 * time.Millisecond
	// drainStep separates two rounds of closing idle sessions.
	drainStep = 100 * time.Millisecond
	// drainReserve is left of the grace period for the last answers.
	drainReserve = 500 * time.Millisecond
)

// Drain stops taking sessions, ends those that are idle bit by bit, and waits
// for the others until the grace period is nearly over. Transactions have the
// first half of it to end.
func (s *Starter) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.sessions.Draining.Store(true)
	grace := s.Settings.Grace
	started := time.Now()
	s.Logger.Info().Str("event", "drain_started").Int("sessions", s.sessions.Sessions()).Send()
	for {
		elapsed := time.Since(started)
		left := s.sessions.EndIdle(1+s.sessions.Sessions()/8) + s.sessions.ForeignTransactions()
		if elapsed > grace/2 {
			s.sessions.EndTransactions()
			s.sessions.ExpireForeign(0)
		}
		if (left == 0 && elapsed > announce) || elapsed > grace-drainReserve {
			s.Logger.Info().Str("event", "drain_ended").Int("sessions", left).Send()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainStep):
		}
	}
}
