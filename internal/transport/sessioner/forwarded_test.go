package sessioner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/balancer"
	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

// newTestServer returns a server with one backend server, which leads, and the
// statements that this backend server has received by workspace.
func newTestServer() (*Server, map[identifier.WorkspaceName][]requester.Kind) {
	seen := map[identifier.WorkspaceName][]requester.Kind{}
	s := &Server{Holder: &cataloger.Holder{MaxAge: time.Hour}, Balancer: &balancer.Balancer{}, Lender: &lender.Lender{}}
	s.Fencer = &fencer.Fencer{Holder: s.Holder}
	s.Holder.SetProof(s.Holder.Clock())
	s.Holder.Replace(&cataloger.Catalog{
		Configuration: &cataloger.Configuration{},
		Servers: map[identifier.ServiceName][]cataloger.BackendServer{
			"rentals": {{ID: "a", Service: "rentals", ClaimsPrimary: true, Slots: 3}},
		},
	})
	s.Lender.Limit = func(cataloger.BackendServer) int { return 4 }
	s.Lender.Dial = func(_ time.Time, _ cataloger.BackendServer, w identifier.WorkspaceName) (lender.Link, error) {
		var answers fakeAnswers
		return answeringLink(func(st requester.Statement) requester.Result {
			seen[w] = append(seen[w], st.Kind)
			return answers.answer(st.Kind, identifier.Position{Term: 1, Offset: 1})
		}), nil
	}
	return s, seen
}

// openingForward returns the message that opens a transaction with a write.
func openingForward(w identifier.WorkspaceName, id uint64) ForwardRequest {
	return ForwardRequest{
		Transaction: id, Begin: requester.Begin, Workspace: w, Writes: true,
		Route:     ForwardedRoute{Service: "rentals", StatementTimeout: time.Second, TargetLatency: time.Second},
		Statement: requester.Statement{ID: "i1", Kind: requester.Write, Text: "WRITE x 1"},
	}
}

// Guards against a client's transaction continuing in one that an earlier process
// of the peer left open under the same identifier. In the soak test with seed 3,
// a write of one workspace was committed by another in this way.
func TestReusedTransactionIDOpensANewTransaction(t *testing.T) {
	s, seen := newTestServer()
	qt.Assert(t, s.Execute("peer", openingForward("shops", 1)).Result.Code, qt.Equals, requester.OK)
	qt.Assert(t, s.Execute("peer", openingForward("desks", 1)).Result.Code, qt.Equals, requester.OK)
	qt.Assert(t, seen["shops"], qt.DeepEquals, []requester.Kind{requester.Begin, requester.Write, requester.Rollback})
	qt.Assert(t, seen["desks"], qt.DeepEquals, []requester.Kind{requester.Begin, requester.Write})
	qt.Assert(t, s.ForwardedTransactions(), qt.Equals, 1)
}

// Guards against running a statement outside a transaction because its
// transaction is not open on this instance.
func TestUnknownTransactionRunsNothing(t *testing.T) {
	s, seen := newTestServer()
	f := openingForward("shops", 7)
	f.Begin = requester.Unknown
	r := s.Execute("peer", f)
	qt.Assert(t, r.Result.Code, qt.Equals, requester.Aborted)
	qt.Assert(t, r.Result.State, qt.Equals, requester.Failed)
	qt.Assert(t, seen, qt.HasLen, 0)
}

// Guards against the transaction of a peer that is gone holding its connection
// and locks forever.
func TestForwardedTransactionExpires(t *testing.T) {
	s, seen := newTestServer()
	s.Execute("peer", openingForward("shops", 1))
	s.ExpireForwarded(time.Hour)
	qt.Assert(t, s.ForwardedTransactions(), qt.Equals, 1)
	s.ExpireForwarded(0)
	qt.Assert(t, s.ForwardedTransactions(), qt.Equals, 0)
	qt.Assert(t, seen["shops"][2], qt.Equals, requester.Rollback)
}

// Guards against statements that are sent repeatedly to a home that cannot use the
// primary, because it does not tell that its proof is too old.
func TestReplyTellsThatTheProofIsTooOld(t *testing.T) {
	s, seen := newTestServer()
	clock := setClock(s)
	for _, id := range []uint64{0, 1} {
		f := openingForward("shops", id)
		if id == 0 {
			f.Begin = requester.Unknown
		}
		qt.Assert(t, s.Execute("peer", f).Unproven, qt.IsFalse)
		clock.advance(fencer.Validity + time.Second)
		r := s.Execute("peer", f)
		qt.Assert(t, r.Unproven, qt.IsTrue)
		qt.Assert(t, r.NotRun(), qt.IsTrue)
		s.Holder.SetProof(clock.now())
	}
	qt.Assert(t, seen["shops"], qt.DeepEquals, []requester.Kind{requester.Write, requester.Begin, requester.Write, requester.Rollback})
}
