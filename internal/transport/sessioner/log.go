package sessioner

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"oleanderpulley/internal/coordination/ratelimiter"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/reporter"
)

// servedPerLogLine is the number of served statements per logged one.
const servedPerLogLine = 512

// Activity counts the statements since the start of the instance, by outcome.
type Activity struct {
	Served, Late, Failed, Refused atomic.Uint64
	ReplicaReads, PrimaryReads    atomic.Uint64 // Reads outside transactions, by the role of the server that ran them.
	Panics                        atomic.Uint64 // Sessions that ended by a panic.
}

// logRefused logs and counts a statement that was not run.
func (n *session) logRefused(event string, id requester.StatementID, o operation, r requester.Result) {
	n.server.Activity.Refused.Add(1)
	n.countCode("statements_refused", r.Code)
	n.server.Logger.Info().Str("event", event).Func(func(e *zerolog.Event) {
		n.addDecisionFields(e, id, r)
		if o.rateRefusal != "" {
			e.Str("cause", string(o.rateRefusal)).Str("workspace", string(o.workspace))
		}
	}).Send()
}

// countRateRefusal counts a statement that the rate limit refused, by the cause.
func (n *session) countRateRefusal(reason ratelimiter.Reason) {
	if n.server.Registry != nil {
		n.server.Registry.Count(reporter.Series{Name: "rate_refusals", Reason: string(reason)}, 1)
	}
}

// addDecisionFields adds the result and the configuration state that it is based
// on.
func (n *session) addDecisionFields(e *zerolog.Event, id requester.StatementID, r requester.Result) {
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

// logFinished counts a statement. It logs one that failed or exceeded the target
// latency, and one of every [servedPerLogLine] served ones.
func (n *session) logFinished(id requester.StatementID, o operation, r requester.Result, took time.Duration) {
	n.observeDuration(o, took)
	var event string
	switch {
	case r.Code != requester.OK:
		n.server.Activity.Failed.Add(1)
		n.countCode("statements_failed", r.Code)
		event = "statement_failed"
	case o.route.TargetLatency > 0 && took > o.route.TargetLatency:
		n.server.Activity.Late.Add(1)
		event = "statement_late"
	case n.server.Activity.Served.Add(1)%servedPerLogLine == 0:
		event = "statement_served"
	default:
		return
	}
	n.server.Logger.Info().Str("event", event).Func(func(e *zerolog.Event) {
		n.addDecisionFields(e, id, r)
		addRunFields(e, o, took)
	}).Send()
}

// addRunFields adds where the statement ran, the floor of its read, and its
// attempts and waits.
func addRunFields(e *zerolog.Event, o operation, took time.Duration) {
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
		e.Str("floor", t.floor.position.String()).Int64("floor_age_ms", t.floor.age.Milliseconds()).Str("floor_from", string(t.floor.source))
	}
	if t.count > 0 {
		e.Str("tries", t.String())
	}
	for name, wait := range map[string]time.Duration{
		"rate_wait_ms": t.rateWait, "position_wait_ms": t.positionWait, "connection_wait_ms": t.connectionWait,
	} {
		if wait >= time.Millisecond {
			e.Int64(name, wait.Milliseconds())
		}
	}
}

// logMovedRoute logs, once in a transaction, that the route of the session has changed
// its service since the BEGIN, with the servers on which the transaction may go on.
func (n *session) logMovedRoute(o operation, to identifier.ServiceName) {
	if n.tx.moved {
		return
	}
	n.tx.moved = true
	servers := make([]string, len(o.servers))
	for i, b := range o.servers {
		servers[i] = string(b.ID)
	}
	n.server.Logger.Info().Str("event", "transaction_route_moved").Str("database", n.database).Str("workspace", string(o.workspace)).
		Str("service", string(o.route.Service)).Str("route_service", string(to)).Strs("servers", servers).
		Uint64("config_version", uint64(n.server.Holder.Catalog().Configuration.Version)).Send()
}

// logForwardedFailure logs a statement forwarded by a peer if it failed.
func (n *session) logForwardedFailure(from identifier.InstanceID, id requester.StatementID, o operation, r requester.Result) {
	if r.Code == requester.OK {
		return
	}
	n.server.Logger.Info().Str("event", "forwarded_failed").Str("from", string(from)).Func(func(e *zerolog.Event) {
		n.addDecisionFields(e, id, r)
		addRunFields(e, o, time.Since(o.arrived))
	}).Send()
}

// observeDuration records the duration of a statement by workspace and by class,
// and its waits. Workspace and class are labels of separate metrics, so that the
// number of series does not grow with their product.
func (n *session) observeDuration(o operation, took time.Duration) {
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

// observeWaits records the waits of a statement before it ran. The wait for a
// slot of a backend server is part of the server's answer time instead.
func (n *session) observeWaits(t *trace) {
	if t == nil {
		return
	}
	for _, wait := range []struct {
		reason string
		took   time.Duration
	}{{"rate", t.rateWait}, {"position", t.positionWait}, {"connection", t.connectionWait}} {
		if wait.took > 0 {
			n.server.Registry.Observe(reporter.Series{Name: "wait_seconds", Reason: wait.reason}, wait.took)
		}
	}
}

// observeAnswer records the time until a server's answer, which includes the wait
// for a slot.
func (s *Server) observeAnswer(b cataloger.BackendServer, took time.Duration) {
	if s.Registry != nil {
		s.Registry.Observe(reporter.Series{Name: "backend_answer_seconds", Service: b.Service, Reason: s.role(b)}, took)
	}
}

// className returns the name of a consistency class in metrics.
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

// countCode increments a counter that is labelled with the result code.
func (n *session) countCode(name string, c requester.Code) {
	if n.server.Registry != nil {
		n.server.Registry.Count(reporter.Series{Name: name, Reason: c.String()}, 1)
	}
}
