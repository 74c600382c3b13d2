package sessioner

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/transport/lender"
)

// transaction is the open transaction of a session. Its connection is borrowed
// at the first statement, so that a client that pauses after BEGIN holds none.
type transaction struct {
	operation operation
	kind      requester.Kind // Begin or BeginReadOnly, as the client requested.
	onPrimary bool           // Opened on the primary, with [requester.Begin].
	conn      *lender.Conn
	permit    fencer.Permit      // To use the primary, if onPrimary is set and conn is not nil.
	remote    *remoteTransaction // Set while the transaction is open on a peer.
	wrote     bool
	failed    bool
	expired   bool // Failed because it was idle for too long.
	moved     bool // The route of the session has another service than at the BEGIN; logged.
}

// begin admits a transaction. It is opened at a backend server only with its
// first statement.
func (n *session) begin(st requester.Statement) requester.Result {
	if n.tx != nil {
		return n.refusal(requester.Malformed, "a transaction is open")
	}
	o, refusal := n.admit()
	if refusal.Code != requester.OK {
		n.logRefused("statement_refused", st.ID, o, refusal)
		return refusal
	}
	n.tx = newTransaction(o, st.Kind)
	return n.success()
}

// newTransaction returns a transaction that is not open at a backend server yet.
// On primary-only routes a read-only transaction is opened with
// [requester.Begin] as well, so that a server that has lost leadership refuses
// it.
func newTransaction(o operation, kind requester.Kind) *transaction {
	onPrimary := kind == requester.Begin || o.route.Consistency == cataloger.PrimaryOnly
	return &transaction{operation: o, kind: kind, onPrimary: onPrimary}
}

// statementOperation returns the operation of the transaction's next statement,
// after authorizing the session again unless the sender has done so. The
// transaction goes on at the service of its BEGIN, also if the route of the session
// has another one now.
func (n *session) statementOperation() (operation, requester.Result) {
	o := n.tx.operation
	if n.forwarded {
		return o, requester.Result{}
	}
	now, refusal := n.authorize()
	if refusal.Code == requester.OK && now.workspace != o.workspace {
		refusal = n.refusal(requester.NoAccess, "the key has changed its owner")
	}
	if refusal.Code != requester.OK {
		return o, refusal
	}
	if !n.setServers(&o, n.server.Holder.Catalog()) { // A server may have left since the transaction began.
		return o, n.refusal(requester.Overloaded, errOutsideRegions.Error())
	}
	if now.route.Service != o.route.Service {
		n.logMovedRoute(o, now.route.Service)
	}
	o.arrived = time.Now()
	o.deadline = o.arrived.Add(o.route.StatementTimeout)
	o.waitDeadline = o.arrived.Add(maxWait(o.route))
	o.searchDeadline = o.waitDeadline
	return o, requester.Result{}
}

// executeInTransaction runs a statement of the open transaction, on a peer or on
// the transaction's own connection.
func (n *session) executeInTransaction(rs resolvedStatement) requester.Result {
	o, refusal := n.statementOperation()
	if refusal.Code != requester.OK {
		return n.fail(rs.statement.ID, refusal)
	}
	if r, ok := n.forwardInTransaction(o, rs); ok {
		n.tx.wrote = n.tx.wrote || rs.writes
		if r.Code != requester.OK || r.State != requester.InTransaction {
			return n.fail(rs.statement.ID, r)
		}
		return r
	}
	if n.tx.conn == nil && !n.runsHere(o) {
		return n.fail(rs.statement.ID, n.unreachedRefusal(requester.Overloaded, errNoHome.Error()))
	}
	if n.tx.conn == nil {
		if r := n.open(o); r.Code != requester.OK {
			return n.fail(rs.statement.ID, r)
		}
	}
	if err := n.checkConn(); err != nil {
		return n.fail(rs.statement.ID, n.refusal(requester.Aborted, err.Error()))
	}
	rs, err := n.prepareConn(n.tx.conn, o.deadline, rs)
	if err != nil {
		return n.fail(rs.statement.ID, n.refusal(requester.Aborted, err.Error()))
	}
	r, err := n.runInTransaction(o, rs.statement)
	if err != nil {
		return n.fail(rs.statement.ID, n.refusal(requester.Aborted, err.Error()))
	}
	n.tx.wrote = n.tx.wrote || rs.writes
	if rs.writes && (r.Code.NotRun() || r.Code == requester.OK) && r.State == requester.Idle {
		// The answer may be that to the BEGIN, and the write may have run without a transaction.
		return n.fail(rs.statement.ID, n.refusal(requester.OutcomeUnknown, "the backend server shows no transaction"))
	}
	if r.Code != requester.OK || r.State != requester.InTransaction {
		return n.fail(rs.statement.ID, r)
	}
	return r
}

// checkConn returns an error if no further statement of the transaction may be sent
// on its connection. The connection to a withdrawn server is closed without a
// rollback statement; the server rolls back when it ends.
func (n *session) checkConn() error {
	if n.server.isWithdrawn(n.tx.conn.Server) {
		n.tx.conn.MarkBroken()
		return errEvacuated
	}
	if n.tx.onPrimary && !n.server.Fencer.IsHeld(n.tx.permit) {
		return errReplacing
	}
	return nil
}

// runInTransaction runs a statement on the transaction's connection and reports
// to the balancer what the answer shows about the server. It returns errFenced
// if the permission to use the primary ended before the answer.
func (n *session) runInTransaction(o operation, st requester.Statement) (requester.Result, error) {
	s, c := n.server, n.tx.conn
	defer c.BreakOnPanic()
	if err := n.awaitCold(o, c.Server); err != nil {
		return requester.Result{}, err
	}
	// The permission to use the server may have ended during a wait.
	if err := n.checkConn(); err != nil && (n.tx.wrote || st.Kind != requester.Commit || errors.Is(err, errEvacuated)) {
		return requester.Result{}, errors.Wrap(lender.ErrNotSent, err.Error())
	}
	s.Balancer.Start(c.Server.ID)
	sent, sentAt := s.Holder.Clock(), time.Now()
	r, err := c.Run(o.deadline, st)
	o.trace.addAttempt(c.Server.ID, r, err, time.Since(sentAt))
	if err != nil {
		s.recordUnanswered(c, err)
		return r, err
	}
	s.recordAnswer(c.Server, time.Since(sentAt), r)
	switch {
	case r.Code == requester.OK && n.tx.onPrimary && (n.tx.wrote || st.Kind != requester.Commit):
		// The commit of a transaction without writes does not prove
		// leadership: a server that has lost it still accepts the commit.
		return r, s.recordLeader(c, n.tx.permit, r, sent)
	case r.Code == requester.ReadOnly:
		s.Balancer.RecordNotLeading(c.Server.Service, c.Server.ID)
	}
	return r, nil
}

// awaitCold waits until a server that is still slow after its start may get the
// next statement of the transaction. Its error is a [lender.ErrNotSent].
func (n *session) awaitCold(o operation, b cataloger.BackendServer) error {
	for !n.server.Balancer.TakeCold(b) {
		if !waitWithin(nil, retryPause, o.waitDeadline) {
			return errors.Wrapf(lender.ErrNotSent, "server %s: %v", b.ID, errCold)
		}
	}
	return nil
}

// fail rolls back the transaction at the backend server and puts the session into
// the failed state. The result keeps its code only if the code promises no more
// than that no write was kept, which the rollback ensures; OK is replaced.
func (n *session) fail(id requester.StatementID, r requester.Result) requester.Result {
	n.tx.rollBack(n)
	n.tx.failed = true
	r.State = requester.Failed
	if r.Code == requester.OK {
		r = n.refusal(requester.Aborted, "the backend server ended the transaction")
	}
	n.logTransactionEnd(id, r)
	return r
}

// logTransactionEnd counts and logs the end of a transaction. For a forwarded
// transaction the sender does so.
func (n *session) logTransactionEnd(id requester.StatementID, r requester.Result) {
	o := n.tx.operation
	if n.forwarded {
		return
	}
	// The duration would include the pauses of the client, so it is reported
	// only for a failed transaction.
	took := time.Duration(0)
	if r.Code != requester.OK {
		took = time.Since(o.arrived)
	}
	n.logFinished(id, o, r, took)
}

// rollBack rolls back the transaction and returns its connection to the lender. After
// an error, which may be that of an earlier statement, it closes the connection: the
// answer to a ROLLBACK on it would prove nothing.
func (t *transaction) rollBack(n *session) {
	if t.remote != nil {
		n.rollbackRemote(t.remote)
		t.remote = nil
	}
	c := t.conn
	if c == nil {
		return
	}
	t.conn = nil
	defer n.server.Lender.Return(c)
	if c.Failed() {
		c.MarkBroken()
	}
	if c.Broken() {
		return
	}
	r, err := c.Run(time.Now().Add(queryTimeout), requester.Statement{Kind: requester.Rollback})
	if err != nil || r.State != requester.Idle {
		c.MarkBroken()
	}
}

// refuseFailed refuses a statement of a failed transaction. The first one after
// an expiry gets the reason for the rollback.
func (n *session) refuseFailed() requester.Result {
	if n.tx.expired {
		n.tx.expired = false
		return n.refusal(requester.Aborted, "the transaction was idle for too long and was rolled back")
	}
	return n.refusal(requester.Malformed, "the transaction has failed; end it first")
}

// expireTransaction rolls back a transaction that was idle for too long. The
// client is notified with its next statement.
func (n *session) expireTransaction() {
	if n.tx == nil || n.tx.failed {
		return
	}
	n.tx.rollBack(n)
	n.tx.failed = true
	n.tx.expired = true
	n.server.Logger.Info().Str("event", "transaction_expired").Str("database", n.database).Send()
}
