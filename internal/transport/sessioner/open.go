package sessioner

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/transport/lender"
)

// open borrows a connection and begins the transaction on it. No statement of
// the client has run yet, so after any failure another server may be tried.
func (n *session) open(o operation) requester.Result {
	n.watchPrimary(o)
	if n.tx.onPrimary {
		return n.runOnPrimary(o, primaryUse{pinned: true, writes: true}, func(c *lender.Conn, p fencer.Permit) (requester.Result, error) {
			return n.beginOn(c, p, func(deadline time.Time) (requester.Result, error) {
				return n.server.beginOnPrimary(c, p, deadline)
			})
		})
	}
	return n.runOnReaders(o, func(b cataloger.BackendServer, f floor, _ int) (requester.Result, error) {
		c, err := n.borrow(o, n.connRequest(o, b, true, o.waitDeadline))
		if err != nil {
			return requester.Result{}, err
		}
		return n.beginOn(c, fencer.Permit{}, func(deadline time.Time) (requester.Result, error) {
			return c.Run(deadline, requester.Statement{Kind: requester.BeginReadOnly, After: f.position})
		})
	})
}

// beginOn begins the transaction on the connection and keeps the connection on
// success. The permit matters only for a transaction on the primary. Every error
// is a [lender.ErrNotSent]. The answer may be a repeat of an earlier one, so that its
// position is not recorded; the first signed answer of the transaction has one.
func (n *session) beginOn(c *lender.Conn, p fencer.Permit, begin func(deadline time.Time) (requester.Result, error)) (requester.Result, error) {
	s := n.server
	s.Balancer.Start(c.Server.ID)
	r, err := begin(time.Now().Add(queryTimeout))
	switch {
	case errors.Is(err, errFenced), errors.Is(err, errLogLost):
		s.Balancer.Finish(c.Server.ID, 0)
		s.Balancer.RecordNotLeading(c.Server.Service, c.Server.ID)
		c.MarkBroken()
		s.Lender.Return(c)
		return r, errors.Wrap(lender.ErrNotSent, err.Error())
	case err != nil:
		s.recordUnanswered(c, err)
		s.Lender.Return(c)
		return r, errors.Wrap(lender.ErrNotSent, err.Error())
	}
	s.Balancer.Finish(c.Server.ID, 0)
	s.observeLag(c, r)
	if r.Code.NotRun() {
		s.Lender.Return(c)
		return r, nil
	}
	if r.Code != requester.OK || r.State != requester.InTransaction {
		c.MarkBroken()
		s.Lender.Return(c)
		return r, errors.Wrapf(lender.ErrNotSent, "server %s did not begin the transaction: %s", c.Server.ID, r.Code)
	}
	n.tx.conn, n.tx.permit = c, p
	return r, nil
}
