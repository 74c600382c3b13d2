package sessioner

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

// readPrimary runs a read outside a client transaction on the primary. The read
// gets a transaction of its own, because a server that has lost leadership would
// run a plain read as a replica.
func (n *session) readPrimary(o operation, rs resolvedStatement) requester.Result {
	return n.runOnPrimary(o, primaryUse{}, func(c *lender.Conn, p fencer.Permit) (requester.Result, error) {
		return n.runOnConn(c, o, rs, func(c *lender.Conn, rs resolvedStatement) (requester.Result, error) {
			return n.readFromLeader(c, p, o.deadline, rs.statement)
		})
	})
}

// errReadUnanswered reports a read that was sent and has no answer that counts. It
// may be repeated, but it may have run.
var errReadUnanswered = errors.New("read has no answer")

// readFromLeader runs a read if the server leads and the permit is still held
// when the read is answered. Its error is a [lender.ErrNotSent] before the read
// was sent and an errReadUnanswered after that; in both cases it may be repeated.
func (n *session) readFromLeader(c *lender.Conn, p fencer.Permit, deadline time.Time, read requester.Statement) (requester.Result, error) {
	sent, repeats := n.server.Holder.Clock(), c.Repeats()
	begun, err := n.server.beginOnPrimary(c, p, deadline)
	if err != nil {
		return begun, errors.Wrap(lender.ErrNotSent, err.Error())
	}
	if begun.Code != requester.OK {
		return begun, nil
	}
	if err := c.Send(deadline, read, requester.Statement{Kind: requester.Rollback}); errors.Is(err, lender.ErrNotSent) {
		return begun, err
	} else if err != nil {
		return begun, errors.Wrap(errReadUnanswered, err.Error())
	}
	r, err := c.Receive(deadline)
	if err != nil {
		return r, errors.Wrap(errReadUnanswered, err.Error())
	}
	ended, err := c.Receive(deadline)
	if err != nil || ended.Code != requester.OK {
		c.MarkBroken()
	}
	switch {
	case r.Code == requester.OK && r.State == requester.InTransaction:
		if err := n.server.recordLeader(c, p, r, sent); err != nil {
			return r, errors.Wrapf(errReadUnanswered, "server %s: %v", c.Server.ID, err)
		}
	case r.Code == requester.OK:
		c.MarkBroken()
		return r, errors.Wrapf(errReadUnanswered, "server %s: the transaction of the read was not open", c.Server.ID)
	case !c.Broken() && c.Repeats() == repeats:
		if err := n.server.recordLeader(c, p, begun, sent); err != nil {
			n.server.Logger.Debug().Str("event", "leader_not_recorded").Err(err).Send()
		}
	}
	return r, nil
}

// readReplica runs a read outside a transaction on any server whose log has
// reached the floor. A read may be repeated, so it is retried on another server
// if one does not answer.
func (n *session) readReplica(o operation, rs resolvedStatement) requester.Result {
	return n.runOnReaders(o, func(b cataloger.BackendServer, f floor, attempt int) (requester.Result, error) {
		rs.statement.After = f.position
		r, err := n.readFromServer(b, o, rs, attempt)
		if err == nil && r.Code == requester.OK {
			n.server.countRead(b)
		}
		return r, err
	})
}

// runOnReaders calls run, which must be safe to repeat, with one server after
// another until one has run the statement. If the statement fails on the first
// server, it is retried on one other server. If the queues of all servers refuse
// it, it is refused once each was asked to let it wait for the entire time.
func (n *session) runOnReaders(o operation, run readerFunc) requester.Result {
	if err := n.checkReaders(o); err != nil {
		return n.unreachedRefusal(requester.Overloaded, err.Error())
	}
	r, unanswered := n.tryReaders(o, run)
	if unanswered != nil && r.Code.NotRun() {
		return n.refusal(requester.OutcomeUnknown, unanswered.Error()) // An attempt may have run.
	}
	return r
}

// readerFunc runs a read on one server.
type readerFunc func(b cataloger.BackendServer, f floor, attempt int) (requester.Result, error)

// tryReaders is runOnReaders without the last step: unanswered is the error of an
// attempt that may have run, nil if there was none.
func (n *session) tryReaders(o operation, run readerFunc) (r requester.Result, unanswered error) {
	var tried []identifier.BackendServerID
	refused, skipped := 0, 0 // Attempts that the queues refused; attempts skipped to get the entire time.
	last := n.unreachedRefusal(requester.Lagging, errNoSample.Error())
	for time.Now().Before(o.deadline) {
		f, err := n.floor(o)
		if errors.Is(err, errProofTooOld) {
			return n.unreachedRefusal(requester.Overloaded, err.Error()), unanswered
		}
		if err != nil {
			return last, unanswered
		}
		b, ok := n.nextReader(o, f.age, tried)
		if !ok && refused > 0 && refused == len(tried) {
			if skipped > 0 {
				return last, unanswered
			}
			tried, refused, skipped = nil, 0, dividedAttempts
			continue
		}
		if !ok {
			if !waitWithin(nil, retryPause, o.waitDeadline) {
				return last, unanswered
			}
			tried, refused = nil, 0
			continue
		}
		tried = append(tried, b.ID)
		r, err := run(b, f, len(tried)+skipped)
		switch {
		case errors.Is(err, lender.ErrNotEncodable):
			return n.refusal(requester.Malformed, err.Error()), unanswered
		case errors.Is(err, lender.ErrNoConnection):
			last = n.borrowRefusal(err)
			if errors.Is(err, lender.ErrCancelled) {
				return last, unanswered
			}
			refused++
		case errors.Is(err, lender.ErrNoAnswer):
			unanswered = err
		case err != nil:
			last = n.refusal(requester.Overloaded, err.Error())
		case r.Code.NotRun():
			last = r
		case r.Code == requester.RunFailed && len(tried) == 1:
			last = r
		default:
			return r, nil
		}
	}
	return last, unanswered
}

// checkReaders returns an error if no server may run the read, however long it
// waits.
func (n *session) checkReaders(o operation) error {
	if len(o.route.Regions) > 0 && len(o.servers) == 0 {
		return errOutsideRegions
	}
	if n.server.onlyEvacuated(o.route.Service) {
		return errEvacuated
	}
	return nil
}

// countRead counts a read by the role of the server that ran it.
func (s *Server) countRead(b cataloger.BackendServer) {
	if s.role(b) == rolePrimary {
		s.Activity.PrimaryReads.Add(1)
	} else {
		s.Activity.ReplicaReads.Add(1)
	}
}

// Roles of backend servers in metrics.
const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

// role returns the role in which the server was last observed, for metrics.
func (s *Server) role(b cataloger.BackendServer) string {
	if leader, _, _ := s.Balancer.LastLed(b.Service); leader == b.ID {
		return rolePrimary
	}
	return roleReplica
}

// nextReader returns the best server for a read that was not tried yet.
func (n *session) nextReader(o operation, age time.Duration, tried []identifier.BackendServerID) (cataloger.BackendServer, bool) {
	for _, b := range n.server.Balancer.Readers(o.route.Service, o.servers, age, o.workspace) {
		if !slices.Contains(tried, b.ID) {
			return b, true
		}
	}
	return cataloger.BackendServer{}, false
}

// dividedAttempts is the number of attempts of a read that get only a part of the
// remaining time, so that the read can be retried on another server if one does
// not answer.
const dividedAttempts = 2

// readFromServer runs a read on one server.
func (n *session) readFromServer(b cataloger.BackendServer, o operation, rs resolvedStatement, attempt int) (requester.Result, error) {
	limit := time.Now().Add(time.Until(o.deadline) * 3 / 5)
	if attempt > dividedAttempts {
		limit = o.deadline
	}
	o.deadline = limit
	wait := limit
	if o.waitDeadline.Before(wait) {
		wait = o.waitDeadline
	}
	c, err := n.borrow(o, n.connRequest(o, b, false, wait))
	if err != nil {
		o.trace.addAttempt(b.ID, requester.Result{}, err, time.Since(o.arrived))
		return requester.Result{}, err
	}
	return n.runOnConn(c, o, rs, func(c *lender.Conn, rs resolvedStatement) (requester.Result, error) {
		return c.Run(o.deadline, rs.statement)
	})
}
