package sessioner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

// Guards against sending the first statement of a transaction without a
// connection, or outside a transaction, after a server has answered BEGIN with
// success but reports no open transaction.
func TestBeginWithoutATransactionIsRefused(t *testing.T) {
	s, seen := newTestServer()
	dial := s.Lender.Dial
	s.Lender.Dial = func(deadline time.Time, b cataloger.BackendServer, w identifier.WorkspaceName) (lender.Link, error) {
		l, err := dial(deadline, b, w)
		receive := l.Receive
		l.Receive = func(deadline time.Time) (requester.Result, error) {
			r, err := receive(deadline)
			r.State = requester.Idle
			return r, err
		}
		return l, err
	}
	f := openingForward("shops", 1)
	f.Route.StatementTimeout = 50 * time.Millisecond
	r := s.Execute("peer", f)
	qt.Assert(t, r.Result.Code, qt.Equals, requester.Overloaded)
	qt.Assert(t, seen["shops"], qt.Not(qt.Contains), requester.Write)
}
