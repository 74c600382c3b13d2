package sessioner

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/transport/lender"
)

// Sentinel errors of a [Client].
var (
	ErrInterrupted = errors.New("reading was interrupted")
	ErrMalformed   = errors.New("message is not a statement")
)

// startupTimeout bounds the wait for the startup message and for the first
// configuration. It is shorter than the 2 s after which clients give up.
const startupTimeout = 1500 * time.Millisecond

// proofPollInterval is the time between two checks for the first proof.
const proofPollInterval = 25 * time.Millisecond

// session is the state of one client connection, or of a statement or
// transaction that a peer forwards.
type session struct {
	server   *Server
	client   Client
	database string
	key      string

	settings lender.Settings
	prepared map[string]requester.PreparedStatement
	commits  ownCommits
	tx       *transaction // Nil if no transaction is open.

	// forwarded is true for the session of a peer's client. The peer has
	// already authorized its statements.
	forwarded bool

	started atomic.Bool                 // The startup message was answered.
	request atomic.Pointer[openRequest] // Nil between an answer and the next message.

	closeWhenIdle atomic.Bool // Close once no transaction and no request is open.
	closeNow      atomic.Bool // Close once no request is open, even if a transaction is.
}

// start reads the startup message and replies to it. It reports whether the
// session may serve statements.
func (n *session) start() bool {
	deadline := time.Now().Add(startupTimeout)
	startup, err := n.client.Startup(deadline)
	if err != nil {
		return false
	}
	n.database, n.key = startup.Database, startup.Credential
	n.waitForCatalog(deadline)
	o, refusal := n.authorize()
	if refusal.Code != requester.OK {
		n.logRefused("session_refused", "", o, refusal)
		n.client.Refuse(refusal)
		return false
	}
	if n.server.OpenLinks != nil {
		n.server.OpenLinks(o.route.Service, o.workspace)
	}
	return n.client.Reply(requester.Result{State: requester.Idle, Signature: startupSignature}) == nil
}

// startupSignature marks the reply to a startup message, which has no statement
// outcome.
const startupSignature = "startup"

// IsStartup reports whether the result is the reply to a startup message.
func IsStartup(r requester.Result) bool {
	return r.Signature == startupSignature
}

// waitForCatalog waits until the catalog has a configuration and a first proof, or
// the deadline has passed. An instance that has just started has them soon.
func (n *session) waitForCatalog(deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		changed := n.server.Holder.Changed()
		_, proven := n.server.Holder.Age()
		if c := n.server.Holder.Catalog(); c != nil && c.Configuration != nil && proven {
			return
		}
		select {
		case <-changed:
		case <-time.After(proofPollInterval): // A proof does not change the catalog.
		case <-timer.C:
			return
		}
	}
}

// serveStatements reads and runs statements until the session ends.
func (n *session) serveStatements() {
	defer n.rollBackOpen()
	for {
		st, err := n.client.Next(n.idleDeadline())
		switch {
		case err == nil:
			n.beginRequest(st.ID)
			if n.answer(n.handle(st)) != nil {
				return
			}
		case errors.Is(err, ErrMalformed):
			n.beginRequest("")
			if n.answer(n.refusal(requester.Malformed, "message is not a statement")) != nil {
				return
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			n.expireTransaction()
		case errors.Is(err, ErrInterrupted):
			if n.canClose() {
				return
			}
		default:
			return
		}
		if n.canClose() {
			return
		}
	}
}

// canClose reports whether the session is marked to close and may do so now:
// without leaving a request unanswered that has arrived, and without ending a
// transaction unless it is marked to close at once.
func (n *session) canClose() bool {
	if n.server.ended.Load() {
		return true
	}
	isMarked := n.closeNow.Load() || n.closeWhenIdle.Load() && n.tx == nil
	return isMarked && !n.client.Pending()
}

// idleDeadline returns the time at which the open transaction is rolled back if
// no statement arrives. It is zero if no transaction holds a connection here or
// the configuration sets no limit.
func (n *session) idleDeadline() time.Time {
	if n.tx == nil || n.tx.conn == nil {
		return time.Time{}
	}
	limit := n.server.Holder.Catalog().Configuration.IdleTxLimit
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}

// state returns the transaction state to report in replies.
func (n *session) state() requester.TransactionState {
	switch {
	case n.tx == nil:
		return requester.Idle
	case n.tx.failed:
		return requester.Failed
	default:
		return requester.InTransaction
	}
}

// handle runs one statement and returns the result for the client.
func (n *session) handle(st requester.Statement) requester.Result {
	if n.tx != nil && n.tx.failed && st.Kind != requester.Commit && st.Kind != requester.Rollback {
		return n.refuseFailed()
	}
	if n.server.stopping.Load() {
		if r, refused := n.refuseStopping(st); refused {
			return r
		}
	}
	switch st.Kind {
	case requester.Set:
		n.settings = n.settings.With(st.Name, st.Value)
		return n.success()
	case requester.Prepare:
		n.prepare(st)
		return n.success()
	case requester.Deallocate:
		if _, ok := n.prepared[st.Name]; !ok {
			return n.refusal(requester.NoStatement, "no prepared statement has this name")
		}
		delete(n.prepared, st.Name)
		return n.success()
	case requester.Begin, requester.BeginReadOnly:
		return n.begin(st)
	case requester.Commit, requester.Rollback:
		return n.endTransaction(st)
	case requester.Read, requester.Write, requester.Execute:
		return n.execute(st)
	default:
		return n.refusal(requester.Malformed, "the statement is not known")
	}
}

func (n *session) success() requester.Result {
	return requester.Result{State: n.state()}
}

func (n *session) prepare(st requester.Statement) {
	if n.prepared == nil {
		n.prepared = map[string]requester.PreparedStatement{}
	}
	n.prepared[st.Name] = st.Shape
}

// resolvedStatement is a statement with the properties of the prepared statement
// that it executes, if any.
type resolvedStatement struct {
	statement requester.Statement
	shape     *requester.PreparedStatement // Set for the execution of a prepared statement.
	writes    bool
}

// execute runs a read, a write or an execution of a prepared statement.
func (n *session) execute(st requester.Statement) requester.Result {
	rs := resolvedStatement{statement: st, writes: st.Kind == requester.Write}
	if st.Kind == requester.Execute {
		shape, ok := n.prepared[st.Name]
		if !ok {
			return n.refusal(requester.NoStatement, "no prepared statement has this name")
		}
		rs.shape, rs.writes = &shape, shape.Writes
	}
	if n.tx != nil {
		return n.executeInTransaction(rs)
	}
	o, refusal := n.admit()
	if refusal.Code != requester.OK {
		n.logRefused("statement_refused", st.ID, o, refusal)
		return refusal
	}
	started := time.Now()
	r := n.forwardOrRun(o, rs)
	r.State = requester.Idle
	n.logFinished(st.ID, o, r, time.Since(started))
	return r
}

// forwardOrRun runs a statement outside a transaction on a home of its
// workspace, or on this instance.
func (n *session) forwardOrRun(o operation, rs resolvedStatement) requester.Result {
	if r, ok := n.forward(o, rs); ok {
		return r
	}
	if !n.runsHere(o) {
		return n.unreachedRefusal(requester.Overloaded, errNoHome.Error())
	}
	return n.runLocally(o, rs)
}

// runLocally runs a statement outside a transaction from this instance.
func (n *session) runLocally(o operation, rs resolvedStatement) requester.Result {
	n.watchPrimary(o)
	switch {
	case rs.writes:
		return n.write(o, rs)
	case o.route.Consistency == cataloger.PrimaryOnly:
		return n.readPrimary(o, rs)
	default:
		return n.readReplica(o, rs)
	}
}

// rollBackOpen rolls back the session's open transaction, if any.
func (n *session) rollBackOpen() {
	if n.tx != nil {
		n.tx.rollBack(n)
		n.tx = nil
	}
}
