package lender_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

// bank counts the connections of a fake server.
type bank struct {
	lender lender.Lender
	dialed int
	closed int
	dead   bool // Idle connections are found closed.
	sent   []requester.Statement
}

func newBank(limit int) *bank {
	b := &bank{}
	b.lender.Limit = func(cataloger.BackendServer) int { return limit }
	b.lender.Dial = func(time.Time, cataloger.BackendServer, identifier.WorkspaceName) (lender.Link, error) {
		b.dialed++
		return lender.Link{
			Send: func(_ time.Time, s ...requester.Statement) error {
				b.sent = append(b.sent, s...)
				return nil
			},
			Receive: func(time.Time) (requester.Result, error) { return requester.Result{State: requester.Idle}, nil },
			Open:    func() bool { return !b.dead },
			Close:   func() { b.closed++ },
		}, nil
	}
	return b
}

func wish(w identifier.WorkspaceName) lender.Wish {
	return lender.Wish{
		Server: cataloger.BackendServer{ID: "a", Service: "rentals"}, Workspace: w,
		Deadline: time.Now().Add(20 * time.Millisecond),
	}
}

func (b *bank) borrow(t *testing.T, w identifier.WorkspaceName) *lender.Conn {
	c, err := b.lender.Borrow(wish(w))
	qt.Assert(t, err, qt.IsNil)
	return c
}

// Guards against a statement of one workspace on the connection of another.
func TestConnectionsBelongToOneWorkspace(t *testing.T) {
	b := newBank(1)
	b.lender.Return(b.borrow(t, "shops"))
	c := b.borrow(t, "fitters")
	qt.Assert(t, c.Workspace, qt.Equals, identifier.WorkspaceName("fitters"))
	qt.Assert(t, b.dialed, qt.Equals, 2)
	qt.Assert(t, b.closed, qt.Equals, 1)
}

// Guards against more connections than this instance's part, and against a
// borrower that waits beyond its deadline.
func TestLimitIsKept(t *testing.T) {
	b := newBank(2)
	first := b.borrow(t, "shops")
	b.borrow(t, "shops")
	_, err := b.lender.Borrow(wish("shops"))
	qt.Assert(t, err, qt.ErrorIs, lender.ErrNoConnection)
	b.lender.Return(first)
	b.borrow(t, "shops")
	qt.Assert(t, b.dialed, qt.Equals, 2)
}

// Guards against a connection that lost an answer, or was closed by the server,
// being lent again.
func TestUnusableConnectionsAreNotLentAgain(t *testing.T) {
	b := newBank(2)
	c := b.borrow(t, "shops")
	c.Break()
	b.lender.Return(c)
	c = b.borrow(t, "shops")
	qt.Assert(t, b.dialed, qt.Equals, 2)
	b.lender.Return(c)
	b.dead = true
	b.borrow(t, "shops")
	qt.Assert(t, b.dialed, qt.Equals, 3)
}

// Guards against connections to an incarnation of a server that is over.
func TestNewIncarnationGetsNewConnections(t *testing.T) {
	b := newBank(2)
	b.lender.Return(b.borrow(t, "shops"))
	again := wish("shops")
	again.Server.Born = 2
	_, err := b.lender.Borrow(again)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.dialed, qt.Equals, 2)
	qt.Assert(t, b.closed, qt.Equals, 1)
}

// Guards against session values of an earlier borrower, and against prepared
// statements that are prepared for each execution.
func TestAdaptGivesTheSessionItsValues(t *testing.T) {
	b := newBank(1)
	deadline := time.Now().Add(time.Second)
	shape := &requester.Shape{Writes: true, Text: "q2c"}
	c := b.borrow(t, "shops")
	name, err := c.Adapt(deadline, lender.Values{{Name: "zone", Value: "1"}}, shape)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(b.sent), qt.Equals, 2)
	again, err := c.Adapt(deadline, lender.Values{{Name: "zone", Value: "1"}}, shape)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again, qt.Equals, name)
	qt.Assert(t, len(b.sent), qt.Equals, 2)
	_, err = c.Adapt(deadline, nil, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.sent[2].Kind, qt.Equals, requester.Discard)
}

// Guards against statements of low priority that go before others, while a
// server is kept from being overloaded.
func TestWidthAndPriority(t *testing.T) {
	b := newBank(5)
	b.lender.Width = func(cataloger.BackendServer) int { return 1 }
	c := b.borrow(t, "shops")
	order := make(chan int, 2)
	for _, priority := range []int{2, 0} {
		w := wish("shops")
		w.Priority, w.Deadline = priority, time.Now().Add(5*time.Second)
		go func() {
			c, err := b.lender.Borrow(w)
			if err == nil {
				order <- priority
				b.lender.Return(c)
			}
		}()
		for waiting := 0; waiting < 1+(2-priority)/2; {
			_, waiting = b.lender.Borrowed("a")
		}
	}
	b.lender.Return(c)
	qt.Assert(t, <-order, qt.Equals, 0)
	qt.Assert(t, <-order, qt.Equals, 2)
}

// Guards against an instance that stands still for good: the placer asked the
// lender under its own lock, and the lender the placer under its own (seeds 1
// and 2 of the soak).
func TestWidthMayAskTheLender(t *testing.T) {
	b := newBank(2)
	b.lender.Width = func(s cataloger.BackendServer) int {
		b.lender.HasIdle(s.ID, "shops")
		return 1
	}
	borrowed := make(chan struct{})
	go func() {
		defer close(borrowed)
		b.borrow(t, "shops")
	}()
	select {
	case <-borrowed:
	case <-time.After(5 * time.Second):
		t.Fatal("borrowing does not return")
	}
}
