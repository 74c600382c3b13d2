package lender

import (
	"time"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/transport/reporter"
)

// Reasons in the counter unexpected_answers.
const (
	reasonRepeated    = "repeated"
	reasonOutOfStep   = "out_of_step"
	reasonAmbiguous   = "ambiguous"
	reasonUnrequested = "unrequested"
	reasonMalformed   = "malformed"
)

// reportAnswer counts and logs an answer that is not the one to the statement that
// waits for it.
func (l *Lender) reportAnswer(c *Conn, k requester.Kind, v verdict, r requester.Result) {
	event := "answer_out_of_step"
	switch v {
	case repeated:
		event = "answer_repeated"
		l.recordUnexpected(c, reasonRepeated)
	case ambiguous, ambiguousOlder:
		event = "answer_ambiguous"
		l.countUnexpected(c, reasonAmbiguous)
	default:
		l.recordUnexpected(c, reasonOutOfStep)
	}
	l.Logger.Warn().Str("event", event).Str("server", string(c.Server.ID)).Str("workspace", string(c.Workspace)).
		Stringer("statement", k).Stringer("code", r.Code).Str("state", string(rune(r.State))).
		Bool("signed", isSigned(r)).Int("rows", len(r.Rows)).Send()
}

// reportMalformed counts and logs an answer that cannot be read.
func (l *Lender) reportMalformed(c *Conn, k requester.Kind, err error) {
	l.recordUnexpected(c, reasonMalformed)
	l.Logger.Warn().Str("event", "answer_malformed").Str("server", string(c.Server.ID)).Str("workspace", string(c.Workspace)).
		Stringer("statement", k).Err(err).Send()
}

// reportUnrequested counts and logs a connection on which data has arrived though no
// answer was outstanding.
func (l *Lender) reportUnrequested(c *Conn) {
	l.recordUnexpected(c, reasonUnrequested)
	l.Logger.Warn().Str("event", "unrequested_data").Str("server", string(c.Server.ID)).Str("workspace", string(c.Workspace)).
		Dur("answered_ms", time.Since(c.LastAnswer)).Send()
}

// recordUnexpected counts what has arrived on the connection, and expects more of it from
// the server.
func (l *Lender) recordUnexpected(c *Conn, reason string) {
	l.countUnexpected(c, reason)
	l.mu.Lock()
	defer l.mu.Unlock()
	c.pool.expectRepeats()
}

func (l *Lender) countUnexpected(c *Conn, reason string) {
	if l.Registry != nil {
		l.Registry.Count(reporter.Series{Name: "unexpected_answers", Service: c.Server.Service, Reason: reason}, 1)
	}
}

// expectsRepeats reports whether the server of the pool has sent an answer twice, or
// data that belongs to no statement, within the last [repeatMemory].
func (l *Lender) expectsRepeats(s *serverPool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(s.repeatsUntil)
}
