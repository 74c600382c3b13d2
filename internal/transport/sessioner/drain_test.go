package sessioner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
)

// drainedClient is a client whose requests have arrived when its session is told to close.
type drainedClient struct {
	arrived []requester.Statement
	replies []requester.Result
	begun   bool // The interruption has ended the first read.
}

func (c *drainedClient) client() Client {
	return Client{
		Next: func(time.Time) (requester.Statement, error) {
			if !c.begun {
				c.begun = true
				return requester.Statement{}, ErrInterrupted
			}
			st := c.arrived[0]
			c.arrived = c.arrived[1:]
			return st, nil
		},
		Reply:     func(r requester.Result) error { c.replies = append(c.replies, r); return nil },
		Pending:   func() bool { return len(c.arrived) > 0 },
		Interrupt: func() {},
	}
}

// Guards against a request without an answer that had arrived when the second half of the grace period began.
func TestArrivedRequestsAreAnsweredWhenTransactionsEnd(t *testing.T) {
	set := requester.Statement{Kind: requester.Set, Name: "x", Value: "1"}
	commit := requester.Statement{Kind: requester.Commit}
	for name, test := range map[string]struct {
		tx      *transaction
		arrived []requester.Statement
	}{
		"idle session":             {nil, []requester.Statement{set}},
		"pipelined":                {nil, []requester.Statement{set, set, set}},
		"pipelined in transaction": {&transaction{}, []requester.Statement{set, commit}},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newTestServer()
			c := &drainedClient{arrived: test.arrived}
			n := &session{server: s, client: c.client(), tx: test.tx}
			s.add(n)
			n.started.Store(true)
			s.EndTransactions()
			n.serveStatements()
			qt.Assert(t, c.replies, qt.HasLen, len(test.arrived))
		})
	}
}

// Guards against an open transaction without a request that outlasts the first half of the grace period.
func TestOpenTransactionIsClosedWhenTransactionsEnd(t *testing.T) {
	s, _ := newTestServer()
	c := &drainedClient{}
	n := &session{server: s, client: c.client(), tx: &transaction{}}
	s.add(n)
	n.started.Store(true)
	s.EndTransactions()
	n.serveStatements()
	qt.Assert(t, n.tx, qt.IsNil)
	qt.Assert(t, c.replies, qt.HasLen, 0)
}
