package sessioner

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/transport/lender"
)

// open borrows the connection of the transaction and begins it there. Nothing
// of the client has run yet, so any failure may be followed by a try elsewhere.
func (n *session) open(o operation) requester.Result {
	n.need(o)
	if n.tx.plain {
		return n.onPrimary(o, true, func(c *lender.Conn) (requester.Result, error) {
			return n.beginOn(c, requester.Statement{Kind: requester.Begin})
		})
	}
	return n.onReaders(o, func(b cataloger.BackendServer, f floor, _ int) (requester.Result, error) {
		c, err := n.borrow(o, n.wish(o, b, true, o.patience))
		if err != nil {
			return requester.Result{}, err
		}
		return n.beginOn(c, requester.Statement{Kind: requester.BeginReadOnly, After: f.position})
	})
}

// beginOn begins the transaction on the connection and keeps it on success.
// Every error is a [lender.ErrNotSent].
func (n *session) beginOn(c *lender.Conn, st requester.Statement) (requester.Result, error) {
	s := n.server
	s.Placer.Start(c.Server.ID)
	asked := time.Now()
	r, err := c.Run(asked.Add(askTimeout), st)
	if err != nil {
		s.Placer.Fail(c.Server.ID)
		s.Lender.Return(c)
		return r, errors.Wrap(lender.ErrNotSent, err.Error())
	}
	s.Placer.Finish(c.Server.ID, 0)
	s.observeLag(c, r)
	if r.Code.NotRun() {
		s.Lender.Return(c)
		return r, nil
	}
	if r.Code != requester.OK || r.State != requester.InTransaction {
		c.Break()
		s.Lender.Return(c)
		return r, errors.Wrapf(lender.ErrNotSent, "server %s did not begin the transaction: %s", c.Server.ID, r.Code)
	}
	if n.tx.plain {
		s.learn(c, r, asked)
	}
	n.tx.conn = c
	return r, nil
}
