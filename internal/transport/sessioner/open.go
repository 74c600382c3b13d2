package sessioner

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

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
