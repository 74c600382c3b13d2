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
	// answerPeriod is the time before the end of a drain in which no further statement
	// is run, so that those that were read can be answered. The load balancer may send
	// sessions until the end: while too few instances of a data centre are ready, it
	// uses all of them.
	answerPeriod = 1200 * time.Millisecond
	// closeTimeout limits the last answers and the closing of connections.
	closeTimeout = 250 * time.Millisecond
)

// Drain makes the readiness probe fail and ends the sessions: idle ones in small groups,
// open transactions after half of the grace period. Shortly before the end it stops
// to accept sessions and to run statements, and waits for the answers of those that
// were read. What is still open at the end is answered with an unknown outcome.
func (s *Starter) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.sessions.Draining.Store(true)
	started := time.Now()
	s.Logger.Info().Str("event", "drain_started").Int("sessions", s.sessions.Sessions()).Send()
	grace := s.Settings.Grace
	end := max(grace-drainReserve, grace/2)
	readUntil := max(end-answerPeriod, grace/2)
	if !s.endSessions(ctx, started, readUntil) {
		return
	}
	_ = s.clientListener.Close()
	s.sessions.EndReading()
	if !s.awaitAnswers(ctx, started.Add(end)) {
		return
	}
	givenUp, closed := s.sessions.AnswerOpenRequests()
	select {
	case <-closed:
	case <-time.After(closeTimeout):
	}
	s.Logger.Info().Str("event", "drain_ended").Int("sessions", s.sessions.Sessions()).
		Int("open_requests", givenUp).Int("forwarded_transactions", s.sessions.ForwardedTransactions()).Send()
}

// endSessions ends the sessions until none is open or the time is over. It returns false
// if the context has ended.
func (s *Starter) endSessions(ctx context.Context, started time.Time, readUntil time.Duration) bool {
	for {
		elapsed := time.Since(started)
		remaining := s.sessions.EndIdle(1+s.sessions.Sessions()/8) + s.sessions.OpenForwarded()
		if elapsed > s.Settings.Grace/2 {
			s.sessions.EndTransactions()
			s.sessions.ExpireForwarded(0)
		}
		if (remaining == 0 && elapsed > announcePeriod) || elapsed > readUntil {
			return true
		}
		if !pause(ctx, drainInterval) {
			return false
		}
	}
}

// awaitAnswers waits until no session and no statement of a peer is open, or until the
// end. It returns false if the context has ended.
func (s *Starter) awaitAnswers(ctx context.Context, end time.Time) bool {
	for s.sessions.Sessions()+s.sessions.OpenForwarded() > 0 && time.Now().Before(end) {
		s.sessions.ExpireForwarded(0)
		if !pause(ctx, min(drainInterval, time.Until(end))) {
			return false
		}
	}
	return true
}

// pause waits for d and reports whether the context goes on.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
