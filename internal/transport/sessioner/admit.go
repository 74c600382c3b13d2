package sessioner

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/ratelimiter"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// operation holds the route, workspace, backend servers and deadlines of one
// statement.
type operation struct {
	route          cataloger.Route
	workspace      identifier.WorkspaceName
	servers        []cataloger.BackendServer // Of the route's service, see setServers.
	arrived        time.Time
	deadline       time.Time // When the statement times out.
	waitDeadline   time.Time // Until when the statement may wait to run.
	searchDeadline time.Time // Until when to search for the leader.
	trace          *trace
	rateRefusal    ratelimiter.Reason // Set if the rate limit refused the statement.
}

// authorize checks the session's database and key against the catalog. The
// code of the returned result is OK if the session may run statements.
func (n *session) authorize() (operation, requester.Result) {
	now := time.Now()
	isFresh := n.server.Holder.Fresh() // Before the catalog is loaded, which a later proof need not be of.
	c := n.server.Holder.Catalog()
	if c == nil || c.Configuration == nil {
		return operation{}, n.refusal(requester.Overloaded, "no configuration was read yet")
	}
	route, ok := c.Route(n.database)
	if !ok {
		return operation{}, n.refusal(requester.NoDatabase, "no route has this name")
	}
	o := operation{
		route:          route,
		arrived:        now,
		deadline:       now.Add(route.StatementTimeout),
		waitDeadline:   now.Add(maxWait(route)),
		searchDeadline: now.Add(maxWait(route)),
		trace:          &trace{},
	}
	owner, known := c.Owner(n.key)
	o.workspace = owner
	inRegions := n.setServers(&o, c)
	switch {
	case known && owner == "": // The empty name is that of clients without a key.
		return o, n.refusal(requester.Malformed, "the workspace of the key has no name")
	case !inRegions:
		return o, n.refusal(requester.Overloaded, errOutsideRegions.Error())
	case route.Public:
		return o, requester.Result{}
	case !isFresh:
		return o, n.refusal(requester.Overloaded, "the proof of the configuration is too old; use another instance")
	case !known:
		return o, n.refusal(requester.NoAccess, "the key is not known")
	default:
		return o, requester.Result{}
	}
}

// maxWait returns how long a statement may wait before it runs.
func maxWait(r cataloger.Route) time.Duration {
	return min(r.StatementTimeout, r.TargetLatency)
}

// refusal returns a result with the given code and text and the current
// transaction state.
func (n *session) refusal(c requester.Code, text string) requester.Result {
	return requester.Result{Code: c, Text: text, State: n.state()}
}

// unreachedRefusal returns the refusal of a statement for which this instance
// reached no backend server.
func (n *session) unreachedRefusal(c requester.Code, text string) requester.Result {
	r := n.refusal(c, text)
	r.Unreached = true
	return r
}

// watchPrimary reports that the service is used on this instance, so that its
// primary is monitored.
func (n *session) watchPrimary(o operation) {
	if n.server.WatchPrimary != nil {
		n.server.WatchPrimary(o.route.Service)
	}
}

// admit authorizes a statement and charges it to the workspace's rate limit.
func (n *session) admit() (operation, requester.Result) {
	o, refusal := n.authorize()
	if refusal.Code != requester.OK {
		return o, refusal
	}
	if o.workspace == "" {
		return o, requester.Result{}
	}
	err := n.server.Admit(o.workspace, maxWait(o.route)/4)
	waited := time.Since(o.arrived)
	if err != nil {
		return n.refuseForRate(o, err)
	}
	if waited < time.Millisecond {
		return o, requester.Result{}
	}
	// While it waited for the rate, the proof that the configuration is
	// current may have expired.
	renewed, refusal := n.authorize()
	renewed.arrived = o.arrived
	if renewed.trace != nil {
		renewed.trace.rateWait = waited
	}
	return renewed, refusal
}

// refuseForRate counts a statement that the rate limit refused and returns its
// refusal.
func (n *session) refuseForRate(o operation, err error) (operation, requester.Result) {
	var refusal *ratelimiter.RefusalError
	if errors.As(err, &refusal) {
		o.rateRefusal = refusal.Reason()
		n.countRateRefusal(o.rateRefusal)
	}
	return o, n.refusal(requester.Overloaded, err.Error())
}
