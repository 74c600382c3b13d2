package sessioner

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

// ErrNotForwarded reports that a peer has not seen a forwarded statement.
var ErrNotForwarded = errors.New("statement was not forwarded")

const (
	// forwardSlack is added to the deadline of a forwarded statement, so that
	// the answer of the peer's own deadline arrives.
	forwardSlack = 40 * time.Millisecond
	// readForwardPart is the part of a read's time after which it is run here
	// if the peer has not answered.
	readForwardPart = 0.6
)

// Forward is one statement that a peer has authorized and admitted.
type Forward struct {
	// Transaction numbers the transaction at the sender; 0 for a statement
	// outside of any.
	Transaction uint64                   `cbor:"transaction,omitempty"`
	Begin       requester.Kind           `cbor:"begin,omitempty"` // Set on the first statement of a transaction.
	Workspace   identifier.WorkspaceName `cbor:"workspace"`
	Database    string                   `cbor:"database"`
	Route       cataloger.Route          `cbor:"route"`
	Spent       time.Duration            `cbor:"spent"` // Since the statement arrived at the sender.
	Values      lender.Values            `cbor:"values,omitempty"`
	Written     identifier.Position      `cbor:"written"`
	WrittenAge  time.Duration            `cbor:"written_age,omitempty"`
	Statement   requester.Statement      `cbor:"statement"`
	Shape       *requester.Shape         `cbor:"shape,omitempty"`
	Writes      bool                     `cbor:"writes,omitempty"`
}

// Forwarded answers a [Forward].
type Forwarded struct {
	Refused    bool                `cbor:"refused,omitempty"` // The peer has not run it and takes nothing new.
	Result     requester.Result    `cbor:"result"`
	Written    identifier.Position `cbor:"written"`
	WrittenAge time.Duration       `cbor:"written_age,omitempty"`
}

// remote is a transaction that is open at a peer.
type remote struct {
	peer identifier.InstanceID
	id   uint64
}

// transactions numbers the forwarded transactions of this process. It begins at
// random, so that the numbers of an earlier process are not used again.
var transactions = func() *atomic.Uint64 {
	var n atomic.Uint64
	n.Store(rand.Uint64())
	return &n
}()

// forward runs a single statement at a home of its workspace. It returns false
// if it has to run here.
func (n *session) forward(o operation, w work) (requester.Result, bool) {
	primary := w.writes || o.route.Consistency == cataloger.PrimaryOnly
	for _, peer := range n.homes(o, primary) {
		limit := o.deadline.Add(forwardSlack)
		if !w.writes {
			limit = time.Now().Add(time.Duration(readForwardPart * float64(time.Until(o.deadline))))
		}
		o.trace.peer = peer
		reply, err := n.send(peer, limit, n.ask(o, w))
		switch {
		case err == nil && !reply.Refused && !reply.Result.Unreached:
			return reply.Result, true
		case err == nil || errors.Is(err, ErrNotForwarded):
		case w.writes:
			return n.refusal(requester.OutcomeUnknown, err.Error()), true
		default:
			return requester.Result{}, false
		}
	}
	return requester.Result{}, false
}

func (n *session) homes(o operation, primary bool) []identifier.InstanceID {
	if n.forwarded || n.server.Homes == nil {
		return nil
	}
	return n.server.Homes(o.route.Service, o.workspace, primary)
}

// ask is the message for a statement.
func (n *session) ask(o operation, w work) Forward {
	f := Forward{
		Workspace: o.workspace, Database: n.database, Route: o.route, Spent: time.Since(o.arrived),
		Values: n.values, Written: n.written, Statement: w.statement, Shape: w.shape, Writes: w.writes,
	}
	if !n.written.IsZero() {
		f.WrittenAge = time.Since(n.writtenAt)
	}
	return f
}

// send sends the message and takes over what the peer learned of the session.
func (n *session) send(peer identifier.InstanceID, limit time.Time, f Forward) (Forwarded, error) {
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	asked := time.Now()
	reply, err := n.server.Forward(ctx, peer, f)
	if err == nil && !reply.Refused {
		n.written = reply.Written
		n.writtenAt = asked.Add(-reply.WrittenAge)
	}
	return reply, err
}

// forwardInTransaction runs a statement of the transaction at the peer where it
// is open, or opens it at a home. It returns false if the transaction is or has
// to be open here.
func (n *session) forwardInTransaction(o operation, w work) (requester.Result, bool) {
	switch {
	case n.tx.conn != nil:
		return requester.Result{}, false
	case n.tx.remote != nil:
		return n.continueAt(*n.tx.remote, o, w)
	}
	for _, peer := range n.homes(o, n.tx.plain) {
		r := remote{peer, transactions.Add(1)}
		f := n.ask(o, w)
		f.Transaction, f.Begin = r.id, n.tx.kind
		n.tx.remote = &r
		o.trace.peer = peer
		result, ok := n.forwardOpen(r, o, f)
		if ok {
			return result, true
		}
		n.tx.remote = nil
	}
	return requester.Result{}, false
}

// forwardOpen sends the first statement of a transaction. It returns false if
// the peer has not seen it.
func (n *session) forwardOpen(r remote, o operation, f Forward) (requester.Result, bool) {
	reply, err := n.send(r.peer, o.deadline.Add(forwardSlack), f)
	unplaced := err == nil && (reply.Refused || reply.Result.Unreached)
	if unplaced || errors.Is(err, ErrNotForwarded) {
		return requester.Result{}, false
	}
	return n.outcome(reply, err), true
}

func (n *session) continueAt(r remote, o operation, w work) (requester.Result, bool) {
	f := n.ask(o, w)
	f.Transaction = r.id
	reply, err := n.send(r.peer, o.deadline.Add(forwardSlack), f)
	result := n.outcome(reply, err)
	if err != nil && w.statement.Kind == requester.Commit && n.tx.wrote && !errors.Is(err, ErrNotForwarded) {
		result.Code = requester.OutcomeUnknown
	}
	return result, true
}

// outcome is the result of a statement of a transaction at a peer. Without an
// answer nothing is kept, unless the statement was a commit.
func (n *session) outcome(reply Forwarded, err error) requester.Result {
	if err != nil {
		return n.refusal(requester.Aborted, err.Error())
	}
	if reply.Result.State != requester.InTransaction {
		n.tx.remote = nil // The peer has ended it.
	}
	return reply.Result
}

// rollbackRemote tells a peer to roll back. A message that is lost is made up
// for by the peer's limit for idle transactions.
func (n *session) rollbackRemote(r *remote) {
	f := Forward{Transaction: r.id, Statement: requester.Statement{Kind: requester.Rollback}}
	peer, forward, logger := r.peer, n.server.Forward, n.server.Logger
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		if _, err := forward(ctx, peer, f); err != nil {
			logger.Info().Str("event", "rollback_not_forwarded").Str("peer", string(peer)).Err(err).Send()
		}
	}()
}
