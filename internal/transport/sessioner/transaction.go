package sessioner

import (
	"time"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/transport/lender"
)

// transaction is the open transaction of a session. Its connection is borrowed
// at the first statement, so that the pause before it holds none.
type transaction struct {
	operation operation
	kind      requester.Kind // Begin or BeginReadOnly, as the client asked.
	plain     bool           // Opened on the primary as a plain transaction.
	conn      *lender.Conn
	remote    *remote // Set while the transaction is open at a peer.
	wrote     bool
	failed    bool
	expired   bool // Failed while no statement was outstanding.
}

// begin admits a transaction and answers for it; the backend server sees it at
// the first statement.
func (n *session) begin(st requester.Statement) requester.Result {
	if n.tx != nil {
		return n.refusal(requester.Malformed, "a transaction is open")
	}
	o, refusal := n.admit()
	if refusal.Code != requester.OK {
		n.refused("statement_refused", st.ID, refusal)
		return refusal
	}
	n.tx = newTransaction(o, st.Kind)
	return n.done()
}

// newTransaction returns a transaction that is not open at a backend server
// yet. On routes to the primary a read-only one is plain as well, so that a
// server that has lost the lead refuses it.
func newTransaction(o operation, kind requester.Kind) *transaction {
	plain := kind == requester.Begin || o.route.Consistency == cataloger.PrimaryOnly
	return &transaction{operation: o, kind: kind, plain: plain}
}

// statementOperation is the operation of the next statement of the transaction.
func (n *session) statementOperation() (operation, requester.Result) {
	o := n.tx.operation
	if n.forwarded {
		return o, requester.Result{}
	}
	now, refusal := n.authorize()
	if refusal.Code == requester.OK && now.workspace != o.workspace {
		refusal = n.refusal(requester.NoAccess, "the key has changed its owner")
	}
	o.arrived = time.Now()
	o.deadline = o.arrived.Add(o.route.StatementTimeout)
	o.patience = o.arrived.Add(patience(o.route))
	o.search = o.patience
	return o, refusal
}

// executeInTransaction runs a statement on the transaction's connection.
func (n *session) executeInTransaction(w work) requester.Result {
	o, refusal := n.statementOperation()
	if refusal.Code != requester.OK {
		return n.fail(w.statement.ID, refusal)
	}
	if r, ok := n.forwardInTransaction(o, w); ok {
		n.tx.wrote = n.tx.wrote || w.writes
		if r.Code != requester.OK || r.State != requester.InTransaction {
			return n.fail(w.statement.ID, r)
		}
		return r
	}
	if n.tx.conn == nil {
		if r := n.open(o); r.Code != requester.OK {
			return n.fail(w.statement.ID, r)
		}
	}
	w, err := n.adapt(n.tx.conn, o.deadline, w)
	if err != nil {
		return n.fail(w.statement.ID, n.refusal(requester.Aborted, err.Error()))
	}
	r, err := n.runInTransaction(o, w.statement)
	if err != nil {
		return n.fail(w.statement.ID, n.refusal(requester.Aborted, err.Error()))
	}
	n.tx.wrote = n.tx.wrote || w.writes
	if r.Code != requester.OK || r.State != requester.InTransaction {
		return n.fail(w.statement.ID, r)
	}
	return r
}

// runInTransaction sends a statement on the transaction's connection and
// learns from the answer.
func (n *session) runInTransaction(o operation, st requester.Statement) (requester.Result, error) {
	s, c := n.server, n.tx.conn
	s.Placer.Start(c.Server.ID)
	asked := time.Now()
	r, err := c.Run(o.deadline, st)
	o.trace.add(c.Server.ID, r, err, time.Since(asked))
	if err != nil {
		s.Placer.Fail(c.Server.ID)
		return r, err
	}
	s.finish(c.Server, time.Since(asked), r)
	switch {
	case r.Code == requester.OK && n.tx.plain && (n.tx.wrote || st.Kind != requester.Commit):
		// A server that has lost the lead still commits a transaction
		// that wrote nothing, so that is no proof of the lead.
		s.learn(c, r, asked)
	case r.Code == requester.ReadOnly:
		s.Placer.NotLeading(c.Server.Service, c.Server.ID)
	}
	return r, nil
}

// fail ends the transaction at the backend server and leaves the session in
// the failed state. The result keeps its code only if that promises no more
// than that nothing is kept, which the rollback makes true.
func (n *session) fail(id requester.StatementID, r requester.Result) requester.Result {
	n.tx.drop(n)
	n.tx.failed = true
	r.State = requester.Failed
	if r.Code == requester.OK {
		r = n.refusal(requester.Aborted, "the backend server ended the transaction")
	}
	n.finishedInTransaction(id, r)
	return r
}

// finishedInTransaction counts and logs the end of a transaction. At a home the
// sender does it.
func (n *session) finishedInTransaction(id requester.StatementID, r requester.Result) {
	o := n.tx.operation
	if n.forwarded {
		return
	}
	// The pauses of the client do not count, so that the time tells nothing
	// unless the transaction failed.
	took := time.Duration(0)
	if r.Code != requester.OK {
		took = time.Since(o.arrived)
	}
	n.finished(id, o, r, took)
}

// drop rolls the transaction back and returns its connection.
func (t *transaction) drop(n *session) {
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
	if c.Broken() {
		return
	}
	r, err := c.Run(time.Now().Add(askTimeout), requester.Statement{Kind: requester.Rollback})
	if err != nil || r.State != requester.Idle {
		c.Break()
	}
}

// refuseFailed answers a statement of a failed transaction. The first one after
// an expiry learns of the rollback.
func (n *session) refuseFailed() requester.Result {
	if n.tx.expired {
		n.tx.expired = false
		return n.refusal(requester.Aborted, "the transaction was idle for too long and was rolled back")
	}
	return n.refusal(requester.Malformed, "the transaction has failed; end it first")
}

// expireTransaction ends a transaction that was idle for too long. The client
// learns of it at its next statement.
func (n *session) expireTransaction() {
	if n.tx == nil || n.tx.failed {
		return
	}
	n.tx.drop(n)
	n.tx.failed = true
	n.tx.expired = true
	n.server.Logger.Info().Str("event", "transaction_expired").Str("database", n.database).Send()
}
