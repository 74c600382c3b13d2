package sessioner

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/transport/lender"
)

// retryPause separates two tries at servers that refused for their load.
const retryPause = 15 * time.Millisecond

// write runs a single write on the primary.
func (n *session) write(o operation, w work) requester.Result {
	return n.onPrimary(o, false, func(c *lender.Conn) (requester.Result, error) {
		return n.runOn(c, o, w, func(c *lender.Conn, w work) (requester.Result, error) {
			asked := time.Now()
			r, err := c.Run(o.deadline, w.statement)
			if err == nil && r.Code == requester.OK {
				n.server.learn(c, r, asked)
				n.written, n.writtenAt = r.Position, asked
			}
			return r, err
		})
	})
}

// onPrimary runs something on a connection to the primary and runs it again
// where it is known not to have run. The run returns the connection to the
// lender, unless it keeps a pinned one, and returns [lender.ErrNotSent] if it
// may be repeated.
func (n *session) onPrimary(o operation, pinned bool, run func(*lender.Conn) (requester.Result, error)) requester.Result {
	last := n.unreached(requester.Overloaded, "no primary is known")
	for first := true; first || time.Now().Before(o.patience); first = false {
		p, ok := n.server.primary(o)
		if !ok {
			return last
		}
		c, err := n.primaryConn(o, p, pinned)
		if err != nil {
			last = n.borrowRefusal(err)
			if errors.Is(err, lender.ErrNoConnection) || !time.Now().Before(o.search) {
				return last
			}
			n.pauseAfter(err, o)
			continue
		}
		r, err := run(c)
		switch {
		case errors.Is(err, lender.ErrNotSent):
			last = n.refusal(requester.Overloaded, err.Error())
			if !time.Now().Before(o.deadline) {
				return last
			}
		case err != nil:
			return n.refusal(requester.OutcomeUnknown, err.Error())
		case r.Code == requester.ReadOnly:
			n.server.Placer.NotLeading(p.Service, p.ID)
			last = r
		case r.Code.NotRun():
			last = r
			sleepUntil(nil, retryPause, o.patience)
		default:
			return r
		}
	}
	return last
}

// borrowRefusal is the refusal of a statement that got no connection.
func (n *session) borrowRefusal(err error) requester.Result {
	if errors.Is(err, lender.ErrNoConnection) {
		return n.refusal(requester.Overloaded, err.Error())
	}
	return n.unreached(requester.Overloaded, err.Error())
}

func (n *session) pauseAfter(err error, o operation) {
	if !errors.Is(err, errNotLeading) {
		sleepUntil(n.server.Placer.LeaderChanged(o.route.Service), retryPause, o.patience)
	}
}

// wish is what the operation needs of a connection to the server.
func (n *session) wish(o operation, b cataloger.BackendServer, pinned bool, wait time.Time) lender.Wish {
	return lender.Wish{
		Server: b, Workspace: o.workspace, Values: n.values, Pinned: pinned,
		Priority: o.route.Priority, Deadline: wait,
	}
}

// borrow borrows a connection for the operation and counts the wait for it.
func (n *session) borrow(o operation, w lender.Wish) (*lender.Conn, error) {
	started := time.Now()
	defer o.trace.waitConnection(started)
	return n.server.borrow(w)
}

// primaryConn borrows a connection to the primary. If its last answer is old,
// it asks on it first whether the server still answers and leads; the beginning
// of a pinned transaction asks that itself.
func (n *session) primaryConn(o operation, p cataloger.BackendServer, pinned bool) (*lender.Conn, error) {
	c, err := n.borrow(o, n.wish(o, p, pinned, o.patience))
	if err != nil {
		o.trace.add(p.ID, requester.Result{}, err, time.Since(o.arrived))
		if errors.Is(err, lender.ErrUnreachable) || (pinned && !errors.Is(err, lender.ErrNoConnection)) {
			n.server.Placer.NotLeading(p.Service, p.ID)
		}
		return nil, err
	}
	if pinned || time.Since(c.LastAnswer) < trustedFor {
		return c, nil
	}
	if err := n.server.confirm(c); err != nil {
		n.server.Lender.Return(c)
		return nil, err
	}
	return c, nil
}

// runOn adapts the connection to the session, runs the work and returns the
// connection.
func (n *session) runOn(c *lender.Conn, o operation, w work, run func(*lender.Conn, work) (requester.Result, error)) (requester.Result, error) {
	s := n.server
	defer s.Lender.Return(c)
	s.Placer.Start(c.Server.ID)
	started := time.Now()
	w, err := n.adapt(c, o.deadline, w)
	if err != nil {
		s.Placer.Fail(c.Server.ID)
		o.trace.add(c.Server.ID, requester.Result{}, err, time.Since(started))
		return requester.Result{}, err
	}
	r, err := run(c, w)
	o.trace.add(c.Server.ID, r, err, time.Since(started))
	if err != nil {
		c.Break()
		s.Placer.Fail(c.Server.ID)
		return r, err
	}
	s.finish(c.Server, time.Since(started), r)
	s.observeLag(c, r)
	return r, nil
}

// adapt prepares the connection for the work and names the prepared statement
// as the connection knows it.
func (n *session) adapt(c *lender.Conn, deadline time.Time, w work) (work, error) {
	name, err := c.Adapt(deadline, n.values, w.shape)
	if err == nil && w.shape != nil {
		w.statement.Name = name
	}
	return w, err
}
