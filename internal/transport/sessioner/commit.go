package sessioner

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/transport/lender"
)

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
