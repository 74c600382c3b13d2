package sessioner

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// newForwardingSession returns a session on an instance that may not connect to
// the servers, with the homes "one" and "two", and the homes that got a statement.
func newForwardingSession(forward func(to identifier.InstanceID) (ForwardReply, error)) (*session, *[]identifier.InstanceID) {
	s, _ := newTestServer()
	var asked []identifier.InstanceID
	s.Homes = func(identifier.ServiceName, identifier.WorkspaceName, bool) []identifier.InstanceID {
		return []identifier.InstanceID{"one", "two"}
	}
	s.RunsHere = func(identifier.ServiceName) bool { return false }
	s.Forward = func(_ context.Context, to identifier.InstanceID, _ ForwardRequest) (ForwardReply, error) {
		asked = append(asked, to)
		return forward(to)
	}
	return &session{server: s, database: "booking"}, &asked
}

func forwardedOperation() operation {
	now := time.Now()
	return operation{
		route: cataloger.Route{Service: "rentals"}, workspace: "shops", arrived: now, trace: &trace{},
		deadline: now.Add(time.Second), waitDeadline: now.Add(time.Second), searchDeadline: now.Add(time.Second),
	}
}

// Guards against a statement that waits for its deadline, or opens a connection
// that the server does not have, when no home takes it.
func TestStatementThatNoHomeTakesIsRefusedAtOnce(t *testing.T) {
	n, asked := newForwardingSession(func(identifier.InstanceID) (ForwardReply, error) { return ForwardReply{Refused: true}, nil })
	started := time.Now()
	r := n.forwardOrRun(forwardedOperation(), resolvedStatement{writes: true})
	qt.Assert(t, r.Code, qt.Equals, requester.Overloaded)
	qt.Assert(t, r.Unreached, qt.IsTrue)
	qt.Assert(t, *asked, qt.DeepEquals, []identifier.InstanceID{"one", "two"})
	qt.Assert(t, time.Since(started) < 500*time.Millisecond, qt.IsTrue)
}

// Guards against a read that is given up because one home does not answer, and
// against a write that is sent to a second home then.
func TestReadGoesToTheNextHome(t *testing.T) {
	forward := func(to identifier.InstanceID) (ForwardReply, error) {
		if to == "one" {
			return ForwardReply{}, errors.New("no answer")
		}
		return ForwardReply{Result: requester.Result{State: requester.Idle}}, nil
	}
	n, asked := newForwardingSession(forward)
	qt.Assert(t, n.forwardOrRun(forwardedOperation(), resolvedStatement{}).Code, qt.Equals, requester.OK)
	qt.Assert(t, *asked, qt.HasLen, 2)
	n, asked = newForwardingSession(forward)
	qt.Assert(t, n.forwardOrRun(forwardedOperation(), resolvedStatement{writes: true}).Code, qt.Equals, requester.OutcomeUnknown)
	qt.Assert(t, *asked, qt.HasLen, 1)
}

// Guards against a home of an older fleet that opens connections of which it has
// no share any more.
func TestFormerHomeRefuses(t *testing.T) {
	s, seen := newTestServer()
	s.RunsHere = func(identifier.ServiceName) bool { return false }
	qt.Assert(t, s.Execute("peer", openingForward("shops", 1)).Refused, qt.IsTrue)
	qt.Assert(t, s.Execute("peer", openingForward("shops", 0)).Refused, qt.IsTrue)
	qt.Assert(t, seen, qt.HasLen, 0)
}

// Guards against a success, or a promise that is not true, for a statement that a peer
// refused without running it, as the build before does with texts that are not UTF-8.
func TestStatementsThatAPeerFailsToHandle(t *testing.T) {
	begin := requester.Statement{Kind: requester.Begin}
	write := requester.Statement{ID: "w", Kind: requester.Write, Text: "WRITE x \xff"}
	commit := requester.Statement{Kind: requester.Commit, Text: "COMMIT"}
	for name, test := range map[string]struct {
		statements []requester.Statement
		handled    int // Statements that the peer runs before it fails.
		want       requester.Code
	}{
		"write": {[]requester.Statement{write}, 0, requester.OutcomeUnknown}, "first of a transaction": {[]requester.Statement{begin, write}, 0, requester.Aborted},
		"second of a transaction": {[]requester.Statement{begin, write, write}, 1, requester.Aborted}, "commit": {[]requester.Statement{begin, write, commit}, 1, requester.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			var asked int
			n, _ := newForwardingSession(nil)
			n.server.Admit = func(identifier.WorkspaceName, time.Duration) error { return nil }
			n.server.Forward = func(_ context.Context, _ identifier.InstanceID, f ForwardRequest) (ForwardReply, error) {
				if f.Statement.Kind == requester.Rollback { // From another goroutine.
					return ForwardReply{}, nil
				}
				asked++
				if asked > test.handled {
					return ForwardReply{}, errors.New("peer failed to handle the request")
				}
				return ForwardReply{Result: requester.Result{State: requester.InTransaction}}, nil
			}
			c := *n.server.Holder.Catalog()
			c.Configuration = &cataloger.Configuration{
				Routes: map[string]cataloger.Route{"booking": {Service: "rentals", StatementTimeout: time.Second, TargetLatency: time.Second}},
				Keys:   map[string]identifier.WorkspaceName{"key-1": "shops"},
			}
			n.server.Holder.Replace(&c)
			n.key = "key-1"
			var last requester.Result
			for _, st := range test.statements {
				last = n.handle(st)
			}
			qt.Assert(t, last.Code, qt.Equals, test.want, qt.Commentf("%+v", last))
			qt.Assert(t, asked, qt.Equals, test.handled+1)
		})
	}
}
