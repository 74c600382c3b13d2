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

// Guards against a process that ends because one session panics.
func TestPanicEndsItsSessionAlone(t *testing.T) {
	s, _ := newTestServer()
	closed := false
	s.Serve(Client{
		Startup: func(time.Time) (requester.Startup, error) { panic("malformed") },
		Close:   func() { closed = true },
	})
	qt.Assert(t, closed, qt.IsTrue)
	qt.Assert(t, s.Activity.Panics.Load(), qt.Equals, uint64(1))
}

// Guards against a connection that is lent again after a panic between a statement
// and its answer: the next session would get that answer.
func TestConnectionIsNotLentAgainAfterAPanic(t *testing.T) {
	s, _ := newTestServer()
	closed := 0
	s.Lender.Dial = func(time.Time, cataloger.BackendServer, identifier.WorkspaceName) (lender.Link, error) {
		return lender.Link{
			Send:    func(time.Time, ...requester.Statement) error { return nil },
			Receive: func(time.Time) (requester.Result, error) { panic("malformed") },
			Open:    func() bool { return true },
			Close:   func() { closed++ },
		}, nil
	}
	run := func() { s.Execute("peer", primaryRequest(requester.Write, "WRITE x 1")) }
	qt.Assert(t, run, qt.PanicMatches, "malformed")
	qt.Assert(t, closed, qt.Equals, 1)
}
