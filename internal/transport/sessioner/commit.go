package sessioner

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/transport/lender"
)

// endTransaction commits or rolls back the session's transaction.
func (n *session) endTransaction(st requester.Statement) requester.Result {
	t := n.tx
	if t == nil {
		return n.refusal(requester.Malformed, "no transaction is open")
	}
	if st.Kind == requester.Rollback || t.failed {
		t.rollBack(n)
		n.tx = nil
		if st.Kind == requester.Rollback {
			return n.success()
		}
		return n.refusal(requester.Aborted, "the transaction had failed and was rolled back")
	}
	r := n.commit(st)
	n.logTransactionEnd(st.ID, r)
	n.tx = nil
	r.State = requester.Idle
	return r
}

// commit commits the transaction. If the transaction wrote and the backend
// server does not answer, the outcome is unknown.
func (n *session) commit(st requester.Statement) requester.Result {
	t := n.tx
	o, refusal := n.statementOperation()
	if refusal.Code != requester.OK {
		t.rollBack(n)
		return refusal
	}
	if r, ok := n.forwardInTransaction(o, resolvedStatement{statement: st}); ok {
		t.remote = nil
		return r
	}
	if t.conn == nil {
		if r := n.open(o); r.Code != requester.OK {
			return r
		}
	}
	if err := n.checkConn(); err != nil && (t.wrote || errors.Is(err, errEvacuated)) {
		t.rollBack(n)
		return n.refusal(requester.Aborted, err.Error())
	}
	if _, err := n.prepareConn(t.conn, o.deadline, resolvedStatement{}); err != nil { // A SET may precede the COMMIT.
		t.rollBack(n)
		return n.refusal(requester.Aborted, err.Error())
	}
	sentAt := time.Now()
	r, err := n.runInTransaction(o, st)
	c := t.conn
	t.conn = nil
	defer n.server.Lender.Return(c)
	if r.Code == requester.OK && t.wrote {
		n.commits.record(ownCommit{o.route.Service, r.Position, sentAt}) // Also if the permit has ended since.
	}
	if err != nil {
		c.MarkBroken()
		if t.wrote && !errors.Is(err, lender.ErrNotSent) {
			return n.refusal(requester.OutcomeUnknown, err.Error())
		}
		return n.refusal(requester.Aborted, err.Error())
	}
	if r.State != requester.Idle {
		c.MarkBroken()
	}
	return r
}
