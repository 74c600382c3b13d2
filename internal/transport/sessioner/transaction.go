package sessioner

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
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
	s.finish(c.Server.ID, time.Since(asked), r)
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

// open borrows the connection of the transaction and begins it there.
func (n *session) open(o operation) requester.Result {
	n.need(o)
	if n.tx.plain {
		return n.onPrimaryOpen(o)
	}
	return n.onReplicaOpen(o)
}

func (n *session) onPrimaryOpen(o operation) requester.Result {
	last := n.unreached(requester.Overloaded, "no primary is known")
	for first := true; first || time.Now().Before(o.patience); first = false {
		p, ok := n.server.primary(o)
		if !ok {
			return last
		}
		c, err := n.server.borrow(lender.Wish{Server: p, Workspace: o.workspace, Values: n.values, Pinned: true, Priority: o.route.Priority, Deadline: o.patience})
		if err != nil {
			last = n.borrowRefusal(err)
			if errors.Is(err, lender.ErrNoConnection) || !time.Now().Before(o.search) {
				return last
			}
			n.server.Placer.NotLeading(p.Service, p.ID)
			n.pauseAfter(err, o)
			continue
		}
		r, err := n.beginOn(c, requester.Statement{Kind: requester.Begin})
		if err == nil && r.Code == requester.OK {
			return r
		}
		last = n.refusal(requester.Overloaded, "the primary could not open a transaction")
		if err == nil && r.Code == requester.ReadOnly {
			n.server.Placer.NotLeading(p.Service, p.ID)
		}
	}
	return last
}

func (n *session) onReplicaOpen(o operation) requester.Result {
	var tried []identifier.BackendServerID
	last := n.unreached(requester.Lagging, "no primary showed a position in time")
	for time.Now().Before(o.deadline) {
		floor, ok := n.floor(o)
		if !ok {
			return last
		}
		b, ok := n.nextReader(o, floor.age, tried)
		if !ok {
			if !sleepUntil(nil, retryPause, o.patience) {
				return last
			}
			tried = nil
			continue
		}
		tried = append(tried, b.ID)
		c, err := n.server.borrow(lender.Wish{Server: b, Workspace: o.workspace, Values: n.values, Pinned: true, Priority: o.route.Priority, Deadline: o.patience})
		if err != nil {
			last = n.refusal(requester.Overloaded, err.Error())
			continue
		}
		r, err := n.beginOn(c, requester.Statement{Kind: requester.BeginReadOnly, After: floor.position})
		switch {
		case err != nil:
			last = n.refusal(requester.Overloaded, err.Error())
		case r.Code == requester.OK:
			return r
		default:
			last = r
			if r.Code == requester.Lagging {
				n.forgetDiscarded(o.route.Service)
			}
		}
	}
	return last
}

// beginOn begins the transaction on the connection and keeps it on success.
// Nothing of the client has run yet, so any failure may be followed by a try
// elsewhere.
func (n *session) beginOn(c *lender.Conn, st requester.Statement) (requester.Result, error) {
	s := n.server
	s.Placer.Start(c.Server.ID)
	asked := time.Now()
	r, err := c.Run(asked.Add(askTimeout), st)
	if err != nil {
		s.Placer.Fail(c.Server.ID)
		s.Lender.Return(c)
		return r, err
	}
	s.Placer.Finish(c.Server.ID, 0)
	s.observeLag(c, r)
	if r.Code != requester.OK || r.State != requester.InTransaction {
		s.Lender.Return(c)
		return r, nil
	}
	if n.tx.plain {
		s.learn(c, r, asked)
	}
	n.tx.conn = c
	return r, nil
}

// end commits or rolls back.
func (n *session) end(st requester.Statement) requester.Result {
	t := n.tx
	if t == nil {
		return n.refusal(requester.Malformed, "no transaction is open")
	}
	if st.Kind == requester.Rollback || t.failed {
		t.drop(n)
		n.tx = nil
		if st.Kind == requester.Rollback {
			return n.done()
		}
		return n.refusal(requester.Aborted, "the transaction had failed and was rolled back")
	}
	r := n.commit(st)
	n.finishedInTransaction(st.ID, r)
	n.tx = nil
	r.State = requester.Idle
	return r
}

// commit sends the commit. Without an answer the outcome is unknown if the
// transaction wrote.
func (n *session) commit(st requester.Statement) requester.Result {
	t := n.tx
	o, refusal := n.statementOperation()
	if refusal.Code != requester.OK {
		t.drop(n)
		return refusal
	}
	if r, ok := n.forwardInTransaction(o, work{statement: st}); ok {
		t.remote = nil
		return r
	}
	if t.conn == nil {
		if r := n.open(o); r.Code != requester.OK {
			return r
		}
	}
	asked := time.Now()
	r, err := n.runInTransaction(o, st)
	c := t.conn
	t.conn = nil
	defer n.server.Lender.Return(c)
	if err != nil {
		c.Break()
		if t.wrote && !errors.Is(err, lender.ErrNotSent) {
			return n.refusal(requester.OutcomeUnknown, err.Error())
		}
		return n.refusal(requester.Aborted, err.Error())
	}
	if r.State != requester.Idle {
		c.Break()
	}
	if r.Code == requester.OK && t.wrote {
		n.written, n.writtenAt = r.Position, asked
	}
	return r
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
