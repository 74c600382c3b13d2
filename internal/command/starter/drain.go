package starter

import (
	"context"
	"time"
)

// Timing of a planned stop.
const (
	// announcePeriod is the time for which new sessions are still accepted: the
	// load balancer probes once a second and needs two failed probes to stop
	// sending them.
	announcePeriod = 2200 * time.Millisecond
	// drainInterval is the time between two rounds of closing idle sessions.
	drainInterval = 100 * time.Millisecond
	// drainReserve is the part of the grace period that is left for sending the
	// last answers.
	drainReserve = 500 * time.Millisecond
)

// Drain makes the readiness probe fail, closes idle sessions in small groups
// and waits for the others until shortly before the end of the grace period.
// Transactions that are still open after half of the grace period are ended.
func (s *Starter) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.sessions.Draining.Store(true)
	grace := s.Settings.Grace
	started := time.Now()
	s.Logger.Info().Str("event", "drain_started").Int("sessions", s.sessions.Sessions()).Send()
	for {
		elapsed := time.Since(started)
		remaining := s.sessions.EndIdle(1+s.sessions.Sessions()/8) + s.sessions.ForwardedTransactions()
		if elapsed > grace/2 {
			s.sessions.EndTransactions()
			s.sessions.ExpireForwarded(0)
		}
		if (remaining == 0 && elapsed > announcePeriod) || elapsed > grace-drainReserve {
			s.Logger.Info().Str("event", "drain_ended").Int("sessions", s.sessions.Sessions()).
				Int("open_requests", s.sessions.OpenRequests()).Int("forwarded_transactions", s.sessions.ForwardedTransactions()).Send()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainInterval):
		}
	}
}
