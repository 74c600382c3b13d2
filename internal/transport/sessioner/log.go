package sessioner

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/reporter"
)

// servedSample is the number of served statements of which one is logged.
const servedSample = 512

// Activity counts statements since the start of a server.
type Activity struct {
	Served, Late, Failed, Refused atomic.Uint64
	ReplicaReads, PrimaryReads    atomic.Uint64 // Single reads, by the server that ran them.
}

// refused logs and counts a statement that was not run.
func (n *session) refused(event string, id requester.StatementID, r requester.Result) {
	n.server.Activity.Refused.Add(1)
	n.count("statements_refused", r.Code)
	n.server.Logger.Info().Str("event", event).Func(func(e *zerolog.Event) { n.explain(e, id, r) }).Send()
}

// explain adds what decided about the statement.
func (n *session) explain(e *zerolog.Event, id requester.StatementID, r requester.Result) {
	age, proven := n.server.Holder.Age()
	if id != "" {
		e.Str("id", string(id))
	}
	e.Str("database", n.database).Str("code", r.Code.String()).Str("reason", r.Text)
	if proven {
		e.Int64("proof_age_ms", age.Milliseconds())
	}
	if c := n.server.Holder.Catalog(); c != nil && c.Configuration != nil {
		e.Uint64("config_version", uint64(c.Configuration.Version))
	}
}

// finished counts a statement and logs it if it was not served, was late, or is
// the next one of the sample.
func (n *session) finished(id requester.StatementID, o operation, r requester.Result, took time.Duration) {
	n.observe(o, took)
	var event string
	switch {
	case r.Code != requester.OK:
		n.server.Activity.Failed.Add(1)
		n.count("statements_failed", r.Code)
		event = "statement_failed"
	case o.route.TargetLatency > 0 && took > o.route.TargetLatency:
		n.server.Activity.Late.Add(1)
		event = "statement_late"
	case n.server.Activity.Served.Add(1)%servedSample == 0:
		event = "statement_served"
	default:
		return
	}
	n.server.Logger.Info().Str("event", event).Func(func(e *zerolog.Event) {
		n.explain(e, id, r)
		withOutcome(e, o, took)
	}).Send()
}

// withOutcome adds where the statement ran and what it had to find there.
func withOutcome(e *zerolog.Event, o operation, took time.Duration) {
	e.Str("workspace", string(o.workspace)).Str("service", string(o.route.Service)).
		Int64("took_ms", took.Milliseconds())
	t := o.trace
	if t == nil {
		return
	}
	if t.peer != "" {
		e.Str("forwarded_to", string(t.peer))
	}
	if !t.floor.position.IsZero() {
		e.Str("floor", t.floor.position.String()).Int64("floor_age_ms", t.floor.age.Milliseconds())
	}
	if t.count > 0 {
		e.Str("tries", t.String())
	}
	for name, wait := range map[string]time.Duration{
		"rate_wait_ms": t.admitted, "position_wait_ms": t.positioned, "connection_wait_ms": t.connected,
	} {
		if wait >= time.Millisecond {
			e.Int64(name, wait.Milliseconds())
		}
	}
}

// forwardedFailed logs a statement of a peer's client that was not served.
func (n *session) forwardedFailed(from identifier.InstanceID, id requester.StatementID, o operation, r requester.Result) {
	if r.Code == requester.OK {
		return
	}
	n.server.Logger.Info().Str("event", "forwarded_failed").Str("from", string(from)).Func(func(e *zerolog.Event) {
		n.explain(e, id, r)
		withOutcome(e, o, time.Since(o.arrived))
	}).Send()
}

// observe records the time of a statement by workspace and by class, and its
// waits. The labels are apart so that the number of series does not grow with
// their product.
func (n *session) observe(o operation, took time.Duration) {
	if n.server.Registry == nil {
		return
	}
	n.observeWaits(o.trace)
	if took == 0 {
		return
	}
	n.server.Registry.Observe(reporter.Series{Name: "workspace_statement_seconds", Workspace: o.workspace}, took)
	class := reporter.Series{Name: "class_statement_seconds", Service: o.route.Service, Reason: className(o.route.Consistency)}
	n.server.Registry.Observe(class, took)
}

// observeWaits records what an operation waited for before it ran. The wait for
// a slot of a server is part of the server's answer.
func (n *session) observeWaits(t *trace) {
	if t == nil {
		return
	}
	for _, wait := range []struct {
		reason string
		took   time.Duration
	}{{"rate", t.admitted}, {"position", t.positioned}, {"connection", t.connected}} {
		if wait.took > 0 {
			n.server.Registry.Observe(reporter.Series{Name: "wait_seconds", Reason: wait.reason}, wait.took)
		}
	}
}

// observeAnswer records the time of a server's answer, with its wait for a slot.
func (s *Server) observeAnswer(b cataloger.BackendServer, took time.Duration) {
	if s.Registry != nil {
		s.Registry.Observe(reporter.Series{Name: "backend_answer_seconds", Service: b.Service, Reason: s.role(b)}, took)
	}
}

func className(c cataloger.Consistency) string {
	switch c {
	case cataloger.BoundedStaleness:
		return "bounded_staleness"
	case cataloger.ReadOwnWrites:
		return "read_own_writes"
	default:
		return "primary_only"
	}
}

func (n *session) count(name string, c requester.Code) {
	if n.server.Registry != nil {
		n.server.Registry.Count(reporter.Series{Name: name, Reason: c.String()}, 1)
	}
}
