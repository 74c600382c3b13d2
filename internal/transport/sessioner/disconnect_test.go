package sessioner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/transport/lender"
)

// Guards against the statement of a disconnected client that waits for a
// connection in front of others.
func TestDisconnectedClientLeavesTheQueue(t *testing.T) {
	s, seen := newTestServer()
	s.Lender.Limit = func(cataloger.BackendServer) int { return 1 }
	server := s.Holder.Catalog().Servers["rentals"][0]
	_, err := s.Lender.Borrow(lender.Request{Server: server, Workspace: "shops", Deadline: time.Now().Add(time.Minute)})
	qt.Assert(t, err, qt.IsNil)
	n := &session{server: s, client: Client{Gone: func() bool { return true }}}
	f := primaryRequest(requester.Read, "READ x")
	f.Route.StatementTimeout, f.Route.TargetLatency = time.Minute, time.Minute
	o := n.forwardedOperation(f)
	_, err = n.borrow(o, n.connRequest(o, server, false, o.waitDeadline))
	qt.Assert(t, err, qt.ErrorIs, lender.ErrCancelled)
	qt.Assert(t, seen["shops"], qt.HasLen, 0)
}
