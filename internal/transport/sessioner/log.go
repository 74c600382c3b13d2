package sessioner

import (
	"time"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/transport/reporter"
)

// refused logs and counts a statement that was not run.
func (n *session) refused(event string, id requester.StatementID, r requester.Result) {
	n.count("refused", r.Code)
	age, _ := n.server.Holder.Age()
	n.server.Logger.Info().Str("event", event).Str("id", string(id)).Str("database", n.database).
		Str("code", r.Code.String()).Str("reason", r.Text).Dur("proof_age_ms", age).Send()
}

// finished counts a statement and logs it if it was not served.
func (n *session) finished(id requester.StatementID, o operation, r requester.Result, took time.Duration) {
	if n.server.Registry != nil {
		n.server.Registry.Observe(reporter.Series{
			Name: "statement_seconds", Workspace: o.workspace, Service: o.route.Service,
		}, took)
	}
	if r.Code == requester.OK {
		return
	}
	n.count("failed", r.Code)
	n.server.Logger.Info().Str("event", "statement_failed").Str("id", string(id)).Str("database", n.database).
		Str("workspace", string(o.workspace)).Str("service", string(o.route.Service)).
		Str("code", r.Code.String()).Str("reason", r.Text).Dur("took_ms", took).Send()
}

func (n *session) count(what string, c requester.Code) {
	if n.server.Registry != nil {
		n.server.Registry.Count(reporter.Series{Name: "statements_" + what, Reason: c.String()}, 1)
	}
}
