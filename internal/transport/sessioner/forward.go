package sessioner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

// errNoHome reports that no home took a statement that cannot run on this
// instance.
var errNoHome = errors.New("no home of the service is reached; use another instance")

// ErrNotForwarded reports that a forwarded statement did not reach the peer.
var ErrNotForwarded = errors.New("statement was not forwarded")

const (
	// forwardSlack is added to the deadline of a forwarded statement, so that
	// the peer's reply arrives even if the statement times out there.
	forwardSlack = 40 * time.Millisecond
	// readForwardShare is the share of a read's remaining time that a peer
	// gets. If the peer has not answered by then, the read runs on this
	// instance.
	readForwardShare = 0.6
)

// ForwardRequest is the message that forwards one statement. The sender has
// authorized the statement and charged it to the rate limit. The keys of its
// fields are integers, because it is most of the traffic between data centres.
type ForwardRequest struct {
	// Transaction identifies the transaction among those of the sender. It is
	// 0 for a statement outside a transaction.
	Transaction   uint64                       `cbor:"1,keyasint,omitempty"`
	Begin         requester.Kind               `cbor:"2,keyasint,omitempty"` // Set on the first statement of a transaction.
	Workspace     identifier.WorkspaceName     `cbor:"3,keyasint"`
	Database      string                       `cbor:"4,keyasint"`
	Route         ForwardedRoute               `cbor:"5,keyasint"`
	Elapsed       time.Duration                `cbor:"6,keyasint"` // Time since the statement arrived at the sender.
	Settings      lender.Settings              `cbor:"7,keyasint,omitempty"`
	LastCommit    identifier.Position          `cbor:"8,keyasint"` // The session's newest at the route's service; builds up to 1e02fda send that of any service.
	LastCommitAge time.Duration                `cbor:"9,keyasint,omitempty"`
	Statement     requester.Statement          `cbor:"10,keyasint"`
	Shape         *requester.PreparedStatement `cbor:"11,keyasint,omitempty"`
	Writes        bool                         `cbor:"12,keyasint,omitempty"`
}

// IsRepeatable reports whether the statement may run twice, so that it can be sent
// to another peer while this one is silent: a read outside a transaction.
func (f ForwardRequest) IsRepeatable() bool {
	return f.Transaction == 0 && !f.Writes
}

// IsNew reports whether the statement is not one of a transaction that is open at the
// peer. A peer that drains refuses it.
func (f ForwardRequest) IsNew() bool {
	return f.Transaction == 0 || f.Begin != requester.Unknown
}

// ForwardedRoute is a [cataloger.Route] with shorter keys.
type ForwardedRoute struct {
	Service          identifier.ServiceName `cbor:"1,keyasint"`
	Consistency      cataloger.Consistency  `cbor:"2,keyasint,omitempty"`
	MaxStaleness     time.Duration          `cbor:"3,keyasint,omitempty"`
	StatementTimeout time.Duration          `cbor:"4,keyasint"`
	TargetLatency    time.Duration          `cbor:"5,keyasint"`
	Priority         int                    `cbor:"6,keyasint,omitempty"`
	Public           bool                   `cbor:"7,keyasint,omitempty"`
	Regions          []identifier.Region    `cbor:"8,keyasint,omitempty"`
}

// ForwardReply is the reply to a [ForwardRequest].
type ForwardReply struct {
	Refused       bool                `cbor:"1,keyasint,omitempty"` // The peer has not run the statement and accepts no new ones.
	Result        requester.Result    `cbor:"2,keyasint"`
	LastCommit    identifier.Position `cbor:"3,keyasint"` // The session's newest at the service of the request.
	LastCommitAge time.Duration       `cbor:"4,keyasint,omitempty"`
	// Unproven means that the peer has not run the statement, and that the proof of
	// its configuration is too old to use a primary.
	Unproven bool `cbor:"5,keyasint,omitempty"`
}

// NotRun reports whether the peer has not run the statement, so that it can be sent
// to another one.
func (r ForwardReply) NotRun() bool {
	return r.Refused || r.Result.Unreached
}

// NeedsPrimary reports whether only the primary can run the statement.
func (f ForwardRequest) NeedsPrimary() bool {
	return f.Writes || f.Route.Consistency == cataloger.PrimaryOnly
}

// remoteTransaction identifies a transaction that is open on a peer.
type remoteTransaction struct {
	peer identifier.InstanceID
	id   uint64
}

// lastRemoteID is the identifier of the newest transaction that this process
// forwarded. It starts at a random value, so that the identifiers of an earlier
// process are not reused.
var lastRemoteID = func() *atomic.Uint64 {
	var n atomic.Uint64
	n.Store(rand.Uint64())
	return &n
}()

// forward runs a statement outside a transaction on a home of its workspace. It
// returns false if the statement has to run on this instance.
func (n *session) forward(o operation, rs resolvedStatement) (requester.Result, bool) {
	primary := rs.writes || o.route.Consistency == cataloger.PrimaryOnly
	for _, peer := range n.homes(o, primary) {
		limit := o.deadline.Add(forwardSlack)
		if !rs.writes {
			limit = time.Now().Add(time.Duration(readForwardShare * float64(time.Until(o.deadline))))
		}
		o.trace.peer = peer
		reply, err := n.sendForward(peer, limit, n.newForward(o, rs))
		switch {
		case err == nil && !reply.NotRun():
			return reply.Result, true
		case err == nil || errors.Is(err, ErrNotForwarded):
		case rs.writes:
			return n.refusal(requester.OutcomeUnknown, err.Error()), true
		case !time.Now().Before(o.deadline):
			return requester.Result{}, false
		}
	}
	return requester.Result{}, false
}

// runsHere reports whether the operation may run on this instance.
func (n *session) runsHere(o operation) bool {
	return n.server.RunsHere == nil || n.server.RunsHere(o.route.Service)
}

// homes returns the peers to forward the operation to, or none if it runs on
// this instance. A forwarded statement is not forwarded again.
func (n *session) homes(o operation, primary bool) []identifier.InstanceID {
	if n.forwarded || n.server.Homes == nil {
		return nil
	}
	homes := n.server.Homes(o.route.Service, o.workspace, primary)
	return slices.DeleteFunc(homes, func(id identifier.InstanceID) bool { return !n.server.mayForward(id, o.route.Regions) })
}

// newForward returns the message that forwards a statement.
func (n *session) newForward(o operation, rs resolvedStatement) ForwardRequest {
	own := n.commits.at(o.route.Service)
	return ForwardRequest{
		Workspace: o.workspace, Database: n.database, Route: ForwardedRoute(o.route), Elapsed: time.Since(o.arrived),
		Settings: n.settings, LastCommit: own.position, LastCommitAge: own.age(), Statement: rs.statement, Shape: rs.shape, Writes: rs.writes,
	}
}

// sendForward sends the message and updates the session's newest commit at the
// service of the message from the reply.
func (n *session) sendForward(peer identifier.InstanceID, limit time.Time, f ForwardRequest) (ForwardReply, error) {
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	sentAt := time.Now()
	reply, err := n.server.Forward(ctx, peer, f)
	if err == nil {
		n.commits.record(ownCommit{f.Route.Service, reply.LastCommit, sentAt.Add(-reply.LastCommitAge)})
	}
	return reply, err
}

// forwardInTransaction runs a statement on the peer where the transaction is
// open, or opens the transaction on a home of the workspace. It returns false if
// the transaction is open on this instance or has to be opened here.
func (n *session) forwardInTransaction(o operation, rs resolvedStatement) (requester.Result, bool) {
	switch {
	case n.tx.conn != nil:
		return requester.Result{}, false
	case n.tx.remote != nil:
		return n.continueRemote(*n.tx.remote, o, rs)
	}
	for _, peer := range n.homes(o, n.tx.onPrimary) {
		r := remoteTransaction{peer, lastRemoteID.Add(1)}
		f := n.newForward(o, rs)
		f.Transaction, f.Begin = r.id, n.tx.kind
		n.tx.remote = &r
		o.trace.peer = peer
		result, ok := n.openRemote(r, o, f)
		if ok {
			return result, true
		}
		n.tx.remote = nil
	}
	return requester.Result{}, false
}

// openRemote opens a transaction on a peer by sending its first statement. It
// returns false if the peer has not run the statement.
func (n *session) openRemote(r remoteTransaction, o operation, f ForwardRequest) (requester.Result, bool) {
	reply, err := n.sendForward(r.peer, o.deadline.Add(forwardSlack), f)
	notRun := err == nil && reply.NotRun()
	if notRun || errors.Is(err, ErrNotForwarded) {
		return requester.Result{}, false
	}
	return n.remoteResult(reply, err), true
}

// continueRemote runs a further statement of a transaction that is open on a
// peer.
func (n *session) continueRemote(r remoteTransaction, o operation, rs resolvedStatement) (requester.Result, bool) {
	f := n.newForward(o, rs)
	f.Transaction = r.id
	reply, err := n.sendForward(r.peer, o.deadline.Add(forwardSlack), f)
	result := n.remoteResult(reply, err)
	if err != nil && rs.statement.Kind == requester.Commit && n.tx.wrote && !errors.Is(err, ErrNotForwarded) {
		result.Code = requester.OutcomeUnknown
	}
	return result, true
}

// remoteResult returns the result of a statement in a transaction on a peer. If
// there was no reply, the transaction is aborted; the caller handles a commit,
// whose outcome is unknown.
func (n *session) remoteResult(reply ForwardReply, err error) requester.Result {
	if err != nil {
		return n.refusal(requester.Aborted, err.Error())
	}
	if reply.Result.State != requester.InTransaction {
		n.tx.remote = nil // The peer has ended the transaction.
	}
	return reply.Result
}

// rollbackRemote sends a rollback to the peer without waiting for the reply. If
// the message is lost, the peer rolls back after [ForwardedTransactionTimeout].
func (n *session) rollbackRemote(r *remoteTransaction) {
	f := ForwardRequest{Transaction: r.id, Statement: requester.Statement{Kind: requester.Rollback}}
	peer, forward, logger := r.peer, n.server.Forward, n.server.Logger
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		if _, err := forward(ctx, peer, f); err != nil {
			logger.Info().Str("event", "rollback_not_forwarded").Str("peer", string(peer)).Err(err).Send()
		}
	}()
}
