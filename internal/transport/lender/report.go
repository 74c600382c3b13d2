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
	reasonUnrequested = "unrequested"
)

// reportAnswer counts and logs an answer that is not the one to the statement that
// waits for it.
func (l *Lender) reportAnswer(c *Conn, k requester.Kind, v verdict, r requester.Result) {
	event, reason := "answer_out_of_step", reasonOutOfStep
	if v == repeated {
		event, reason = "answer_repeated", reasonRepeated
	}
	l.recordUnexpected(c, reason)
	l.Logger.Warn().Str("event", event).Str("server", string(c.Server.ID)).Str("workspace", string(c.Workspace)).
		Stringer("statement", k).Stringer("code", r.Code).Str("state", string(rune(r.State))).
		Bool("signed", isSigned(r)).Int("rows", len(r.Rows)).Send()
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
	if l.Registry != nil {
		l.Registry.Count(reporter.Series{Name: "unexpected_answers", Service: c.Server.Service, Reason: reason}, 1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.pool.expectRepeats()
}
