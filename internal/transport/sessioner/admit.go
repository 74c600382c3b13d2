package sessioner

import (
	"time"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// operation is what the decisions about one statement are based on.
type operation struct {
	route     cataloger.Route
	workspace identifier.WorkspaceName
	servers   []cataloger.BackendServer
	arrived   time.Time
	deadline  time.Time // Of the statement.
	patience  time.Time // Until when it may wait without running.
	search    time.Time // Until when a server that leads is looked for.
	trace     *trace
}

// authorize checks the database and key against the catalog. The result's code
// is OK if the session may run statements.
func (n *session) authorize() (operation, requester.Result) {
	now := time.Now()
	c := n.server.Holder.Catalog()
	if c == nil || c.Configuration == nil {
		return operation{}, n.refusal(requester.Overloaded, "no configuration was read yet")
	}
	route, ok := c.Route(n.database)
	if !ok {
		return operation{}, n.refusal(requester.NoDatabase, "no route has this name")
	}
	o := operation{
		route:    route,
		servers:  c.Servers[route.Service],
		arrived:  now,
		deadline: now.Add(route.StatementTimeout),
		patience: now.Add(patience(route)),
		search:   now.Add(patience(route)),
		trace:    &trace{},
	}
	owner, known := c.Owner(n.key)
	o.workspace = owner
	switch {
	case route.Public:
		return o, requester.Result{}
	case !n.server.Holder.Fresh():
		return o, n.refusal(requester.Overloaded, "the proof of the configuration is too old; use another instance")
	case !known:
		return o, n.refusal(requester.NoAccess, "the key is not known")
	default:
		return o, requester.Result{}
	}
}

// patience is how long a statement may wait for a place to run.
func patience(r cataloger.Route) time.Duration {
	return min(r.StatementTimeout, r.TargetLatency)
}

func (n *session) refusal(c requester.Code, text string) requester.Result {
	return requester.Result{Code: c, Text: text, State: n.state()}
}

// unreached is the refusal of a statement for which no server was reached.
func (n *session) unreached(c requester.Code, text string) requester.Result {
	r := n.refusal(c, text)
	r.Unreached = true
	return r
}

// need tells that the service is used here, so that its primary is watched.
func (n *session) need(o operation) {
	if n.server.Need != nil {
		n.server.Need(o.route.Service)
	}
}

// admit authorizes an operation and takes it from the workspace's rate.
func (n *session) admit() (operation, requester.Result) {
	o, refusal := n.authorize()
	if refusal.Code != requester.OK {
		return o, refusal
	}
	if o.workspace == "" {
		return o, requester.Result{}
	}
	retryAfter, ok := n.server.Admit(o.workspace, patience(o.route)/4)
	waited := time.Since(o.arrived)
	if !ok {
		return o, n.refusal(requester.Overloaded, "over the rate; retry after "+retryAfter.Round(time.Millisecond).String())
	}
	if waited < time.Millisecond {
		return o, requester.Result{}
	}
	// The wait for the rate may have outlasted the proof.
	again, refusal := n.authorize()
	again.arrived = o.arrived
	if again.trace != nil {
		again.trace.admitted = waited
	}
	return again, refusal
}
