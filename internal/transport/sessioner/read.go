package sessioner

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

// readPrimary runs a single read inside a transaction of its own, because a
// server that has lost the lead would run a plain read as a replica.
func (n *session) readPrimary(o operation, w work) requester.Result {
	return n.onPrimary(o, false, func(c *lender.Conn) (requester.Result, error) {
		return n.runOn(c, o, w, func(c *lender.Conn, w work) (requester.Result, error) {
			return n.readLed(c, o.deadline, w.statement)
		})
	})
}

// readLed reads if the server leads. A read may be repeated, so every error is
// a [lender.ErrNotSent].
func (n *session) readLed(c *lender.Conn, deadline time.Time, read requester.Statement) (requester.Result, error) {
	asked := time.Now()
	r, err := c.Run(deadline, requester.Statement{Kind: requester.Begin})
	if err != nil {
		return r, errors.Wrap(lender.ErrNotSent, err.Error())
	}
	if r.Code != requester.OK {
		return r, nil
	}
	n.server.learn(c, r, asked)
	if err := c.Send(deadline, read, requester.Statement{Kind: requester.Rollback}); err != nil {
		return r, errors.Wrap(lender.ErrNotSent, err.Error())
	}
	r, err = c.Receive(deadline)
	if err != nil {
		return r, errors.Wrap(lender.ErrNotSent, err.Error())
	}
	if _, err = c.Receive(deadline); err != nil {
		c.Break()
	}
	return r, nil
}

// readReplica runs a single read on any server whose log holds the floor. A
// read may be sent again, so a server without an answer is followed by another.
func (n *session) readReplica(o operation, w work) requester.Result {
	return n.onReaders(o, func(b cataloger.BackendServer, f floor, try int) (requester.Result, error) {
		w.statement.After = f.position
		r, err := n.readOn(b, o, w, try)
		if err == nil && r.Code == requester.OK {
			n.server.countRead(b)
		}
		return r, err
	})
}

// onReaders offers something that may be repeated to one server after the other
// until one of them has run it. A server that ran it and failed is followed by
// one other.
func (n *session) onReaders(o operation, run func(b cataloger.BackendServer, f floor, try int) (requester.Result, error)) requester.Result {
	var tried []identifier.BackendServerID
	last := n.unreached(requester.Lagging, "no primary showed a position in time")
	for time.Now().Before(o.deadline) {
		f, ok := n.floor(o)
		if !ok {
			return last
		}
		b, ok := n.nextReader(o, f.age, tried)
		if !ok {
			if !sleepUntil(nil, retryPause, o.patience) {
				return last
			}
			tried = nil
			continue
		}
		tried = append(tried, b.ID)
		r, err := run(b, f, len(tried))
		switch {
		case err != nil:
			last = n.refusal(requester.Overloaded, err.Error())
		case r.Code == requester.Lagging:
			last = r
			n.forgetDiscarded(o.route.Service)
		case r.Code.NotRun():
			last = r
		case r.Code == requester.RunFailed && len(tried) == 1:
			last = r
		default:
			return r
		}
	}
	return last
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

// role is what the server was last seen as.
func (s *Server) role(b cataloger.BackendServer) string {
	if leader, _, _ := s.Placer.LastLed(b.Service); leader == b.ID {
		return rolePrimary
	}
	return roleReplica
}

// nextReader returns the best server that was not tried yet.
func (n *session) nextReader(o operation, age time.Duration, tried []identifier.BackendServerID) (cataloger.BackendServer, bool) {
	for _, b := range n.server.Placer.Readers(o.route.Service, o.servers, age, o.workspace) {
		if !slices.Contains(tried, b.ID) {
			return b, true
		}
	}
	return cataloger.BackendServer{}, false
}

// readOn runs a read on one server. Every try but a third gets a part of the
// remaining time, so that another server can be asked if this one is silent.
func (n *session) readOn(b cataloger.BackendServer, o operation, w work, try int) (requester.Result, error) {
	limit := time.Now().Add(time.Until(o.deadline) * 3 / 5)
	if try >= 3 {
		limit = o.deadline
	}
	o.deadline = limit
	wait := limit
	if o.patience.Before(wait) {
		wait = o.patience
	}
	c, err := n.borrow(o, n.wish(o, b, false, wait))
	if err != nil {
		o.trace.add(b.ID, requester.Result{}, err, time.Since(o.arrived))
		return requester.Result{}, err
	}
	return n.runOn(c, o, w, func(c *lender.Conn, w work) (requester.Result, error) {
		return c.Run(o.deadline, w.statement)
	})
}
