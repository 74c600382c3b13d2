package sessioner

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/transport/lender"
)

// retryPause is the pause before a statement is retried after a backend server
// did not run it, for instance because of overload.
const retryPause = 15 * time.Millisecond

// write runs a write outside a transaction on the primary.
func (n *session) write(o operation, rs resolvedStatement) requester.Result {
	return n.runOnPrimary(o, primaryUse{writes: true}, func(c *lender.Conn, p fencer.Permit) (requester.Result, error) {
		return n.runOnConn(c, o, rs, func(c *lender.Conn, rs resolvedStatement) (requester.Result, error) {
			sent, sentAt := n.server.Holder.Clock(), time.Now()
			r, err := c.Run(o.deadline, rs.statement)
			if err != nil || r.Code != requester.OK {
				return r, err
			}
			n.commits.record(ownCommit{o.route.Service, r.Position, sentAt})
			return r, n.server.recordLeader(c, p, r, sent)
		})
	})
}

// primaryUse is what a connection to the primary is borrowed for.
type primaryUse struct {
	pinned bool // For a transaction of the client.
	writes bool // A refusal is passed on as a promise that nothing was written.
}

// runOnPrimary calls run with a connection to the primary and the permit to use
// it, and retries as long as the statement is known not to have run. The run
// function must check the permit after each answer; it returns the
// connection to the lender, unless it keeps a pinned one. It returns
// [lender.ErrNotSent] or errReadUnanswered if the call may be repeated.
func (n *session) runOnPrimary(o operation, use primaryUse, run func(*lender.Conn, fencer.Permit) (requester.Result, error)) requester.Result {
	var last requester.Result
	notSent := 0 // Connections on which the call ended without effect.
	for first := true; first || time.Now().Before(o.waitDeadline); first = false {
		b, permit, err := n.server.awaitPrimary(o)
		if err != nil && first {
			return n.unreachedRefusal(requester.Overloaded, err.Error())
		}
		if err != nil {
			return last
		}
		c, err := n.borrowPrimary(o, b, permit, use)
		if err != nil {
			last = n.borrowRefusal(err)
			if errors.Is(err, lender.ErrNoConnection) || errors.Is(err, lender.ErrNoShare) || errors.Is(err, lender.ErrNotEncodable) || !time.Now().Before(o.searchDeadline) {
				return last
			}
			n.pauseAfter(err, o)
			continue
		}
		r, err := run(c, permit)
		switch {
		case errors.Is(err, lender.ErrNotEncodable):
			return n.refusal(requester.Malformed, err.Error())
		case errors.Is(err, lender.ErrNotSent), errors.Is(err, errReadUnanswered):
			last = n.repeatableRefusal(err)
			if !time.Now().Before(o.deadline) {
				return last
			}
			if notSent++; notSent > 1 {
				waitWithin(nil, retryPause, o.waitDeadline)
			}
		case err != nil:
			return n.refusal(requester.OutcomeUnknown, err.Error())
		case r.Code == requester.ReadOnly:
			n.server.Balancer.RecordNotLeading(b.Service, b.ID)
			last = r
		case r.Code.NotRun():
			last = r
			waitWithin(nil, retryPause, o.waitDeadline)
		default:
			return r
		}
	}
	return last
}

// repeatableRefusal returns the refusal of a statement that may be repeated and
// for which no time is left. A read that was sent may have run.
func (n *session) repeatableRefusal(err error) requester.Result {
	if errors.Is(err, errReadUnanswered) {
		return n.refusal(requester.OutcomeUnknown, err.Error())
	}
	return n.refusal(requester.Overloaded, err.Error())
}

// borrowRefusal returns the refusal of a statement for which no connection could
// be borrowed.
func (n *session) borrowRefusal(err error) requester.Result {
	if errors.Is(err, lender.ErrNoConnection) {
		return n.refusal(requester.Overloaded, err.Error())
	}
	if errors.Is(err, lender.ErrNotEncodable) {
		return n.refusal(requester.Malformed, err.Error())
	}
	return n.unreachedRefusal(requester.Overloaded, err.Error())
}

// pauseAfter waits for a change of the leader or for [retryPause] after an
// attempt without a connection. If the server answered that it does not lead,
// or if the permission to use it
// has ended, the next attempt starts at once.
func (n *session) pauseAfter(err error, o operation) {
	if !errors.Is(err, fencer.ErrNotLeading) && !errors.Is(err, errFenced) {
		waitWithin(n.server.Balancer.LeaderChanged(o.route.Service), retryPause, o.waitDeadline)
	}
}

// connRequest returns the request for a connection to the server on which the
// operation can run.
func (n *session) connRequest(o operation, b cataloger.BackendServer, pinned bool, wait time.Time) lender.Request {
	return lender.Request{
		Server: b, Workspace: o.workspace, Settings: n.settings, Pinned: pinned,
		Priority: o.route.Priority, Target: o.arrived.Add(o.route.TargetLatency), Deadline: wait,
		Cancelled: n.client.Gone,
	}
}

// errCold reports that a server that is still slow after its start may not get a
// statement now.
var errCold = errors.New("the backend server is still slow after its start and takes few statements")

// borrow borrows a connection for the operation and adds the wait to its trace. The
// server is checked after the wait, in which it may have been withdrawn.
func (n *session) borrow(o operation, w lender.Request) (*lender.Conn, error) {
	started := time.Now()
	defer o.trace.addConnectionWait(started)
	c, err := n.server.borrow(w)
	switch {
	case err != nil:
		return nil, err
	case n.server.isWithdrawn(w.Server):
		err = errEvacuated
	case !n.server.Balancer.TakeCold(w.Server):
		err = errCold
	}
	if err != nil {
		n.server.Lender.ReturnUnused(c)
		return nil, errors.Wrapf(err, "server %s", w.Server.ID)
	}
	return c, nil
}

// borrowPrimary borrows a connection to the primary. If the last answer on it is
// older than [verifyAfter], it first verifies that the server still answers and
// leads. A pinned connection needs no such check, because the BEGIN of its
// transaction has the same effect.
func (n *session) borrowPrimary(o operation, b cataloger.BackendServer, p fencer.Permit, use primaryUse) (*lender.Conn, error) {
	s := n.server
	req := n.connRequest(o, b, use.pinned, o.waitDeadline)
	req.Writes = use.writes
	c, err := n.borrow(o, req)
	if err != nil {
		o.trace.addAttempt(b.ID, requester.Result{}, err, time.Since(o.arrived))
		isOwnLimit := errors.Is(err, lender.ErrNoConnection) || errors.Is(err, lender.ErrNoShare) || errors.Is(err, errCold) || errors.Is(err, errEvacuated) ||
			errors.Is(err, lender.ErrNotEncodable)
		if errors.Is(err, lender.ErrUnreachable) || (use.pinned && !isOwnLimit) {
			s.Balancer.RecordNotLeading(b.Service, b.ID)
		}
		return nil, err
	}
	if !use.pinned && time.Since(c.LastAnswer) >= verifyAfter {
		err = s.confirmLeader(c)
	}
	if err == nil && !p.Allows(b.ID) {
		s.Balancer.RecordNotLeading(b.Service, b.ID)
		err = errors.Wrapf(fencer.ErrNotLeading, "server %s was replaced", b.ID)
	}
	if err == nil && !s.Fencer.IsHeld(p) { // It may have ended during the wait for the connection.
		err = errors.Wrapf(errFenced, "server %s", b.ID)
	}
	if err != nil {
		s.Lender.Return(c)
		return nil, err
	}
	return c, nil
}

// runOnConn applies the session's settings to the connection, calls run and
// returns the connection to the lender.
func (n *session) runOnConn(c *lender.Conn, o operation, rs resolvedStatement, run func(*lender.Conn, resolvedStatement) (requester.Result, error)) (requester.Result, error) {
	s := n.server
	defer s.Lender.Return(c)
	defer c.BreakOnPanic()
	s.Balancer.Start(c.Server.ID)
	started := time.Now()
	rs, err := n.prepareConn(c, o.deadline, rs)
	if err != nil {
		s.recordUnanswered(c, err)
		o.trace.addAttempt(c.Server.ID, requester.Result{}, err, time.Since(started))
		return requester.Result{}, err
	}
	r, err := run(c, rs)
	o.trace.addAttempt(c.Server.ID, r, err, time.Since(started))
	if err != nil {
		c.MarkBroken()
		s.recordUnanswered(c, err)
		return r, err
	}
	s.recordAnswer(c.Server, time.Since(started), r)
	s.observeLag(c, r)
	return r, nil
}

// prepareConn applies the session's settings and the prepared statement to the
// connection. In the returned statement, the name of the prepared statement is
// the one that it has on this connection.
func (n *session) prepareConn(c *lender.Conn, deadline time.Time, rs resolvedStatement) (resolvedStatement, error) {
	name, err := c.ApplySession(deadline, n.settings, rs.shape)
	if err == nil && rs.shape != nil {
		rs.statement.Name = name
	}
	return rs, err
}
