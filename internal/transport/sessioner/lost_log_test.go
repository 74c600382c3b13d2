package sessioner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/lender"
)

// reportPositions connects the server to a backend server that leads and reports the
// position that end points to.
func reportPositions(s *Server, end *identifier.Position) {
	s.Lender.Dial = func(time.Time, cataloger.BackendServer, identifier.WorkspaceName) (lender.Link, error) {
		var pending []requester.Kind
		var answers fakeAnswers
		return lender.Link{
			Send: func(_ time.Time, statements ...requester.Statement) error {
				for _, st := range statements {
					pending = append(pending, st.Kind)
				}
				return nil
			},
			Receive: func(time.Time) (requester.Result, error) {
				k := pending[0]
				pending = pending[1:]
				return answers.answer(k, *end), nil
			},
			Open:  func() bool { return true },
			Close: func() {},
		}, nil
	}
}

// Guards against reads of a primary that leads on without its log (STALE), and its position as the floor of other reads.
func TestPrimaryThatLostItsLogIsNotUsed(t *testing.T) {
	for name, lost := range map[string]identifier.Position{"empty": {Term: 2}, "no position": {}, "new commits": {Term: 2, Offset: 3}, "earlier term": {Term: 1, Offset: 40}} {
		for statement, k := range map[string]requester.Kind{"READ x": requester.Read, "WRITE x 1": requester.Write} {
			t.Run(name+"/"+statement, func(t *testing.T) {
				s, _ := newTestServer()
				s.Fencer.Observe("rentals", cataloger.Leadership{Server: "a", Term: 2, Revision: cataloger.Revision{Number: 7}})
				end := identifier.Position{Term: 2, Offset: 50}
				reportPositions(s, &end)
				qt.Assert(t, s.Execute("peer", primaryRequest(requester.Write, "WRITE x 1")).Result.Code, qt.Equals, requester.OK)

				end = lost
				r := s.Execute("peer", primaryRequest(k, statement))
				qt.Assert(t, r.Result.Code, qt.Not(qt.Equals), requester.OK)
				sample, _ := s.Sampler("rentals").Latest()
				qt.Assert(t, sample.Position, qt.Equals, identifier.Position{Term: 2, Offset: 50})
				err := s.ConfirmLeader(s.Holder.Catalog().Servers["rentals"][0])
				qt.Assert(t, err, qt.ErrorIs, fencer.ErrNotLeading) // Else it would not be replaced.
			})
		}
	}
}

// Guards against reads of a primary that lost its log at an instance that knows only from a replica how far it had got (STALE).
func TestReplicaShowsThatThePrimaryLostItsLog(t *testing.T) {
	s, _ := newTestServer()
	c := *s.Holder.Catalog()
	c.Servers = map[identifier.ServiceName][]cataloger.BackendServer{"rentals": {
		{ID: "a", Service: "rentals", ClaimsPrimary: true, Slots: 3}, {ID: "b", Service: "rentals", Slots: 3},
	}}
	s.Holder.Replace(&c)
	s.Fencer.Observe("rentals", cataloger.Leadership{Server: "a", Term: 1, Revision: cataloger.Revision{Number: 7}})
	var connect Server
	connect.Lender = &lender.Lender{}
	ends := map[identifier.BackendServerID]*identifier.Position{"a": {Term: 1, Offset: 2}, "b": {Term: 1, Offset: 50}}
	s.Lender.Dial = func(deadline time.Time, b cataloger.BackendServer, w identifier.WorkspaceName) (lender.Link, error) {
		reportPositions(&connect, ends[b.ID])
		return connect.Lender.Dial(deadline, b, w)
	}
	read := primaryRequest(requester.Read, "READ x")
	bounded := read
	bounded.Route.Consistency, bounded.Route.MaxStaleness = cataloger.BoundedStaleness, time.Second
	qt.Assert(t, s.Execute("peer", bounded).Result.Code, qt.Equals, requester.OK)
	qt.Assert(t, s.Execute("peer", read).Result.Code, qt.Not(qt.Equals), requester.OK)
}

// Guards against a new primary that is taken for one that lost its log, since it lacks commits that its promotion discarded.
func TestNewPrimaryWithAShorterLogIsUsed(t *testing.T) {
	s, _ := newTestServer()
	end := identifier.Position{Term: 1, Offset: 50}
	reportPositions(s, &end)
	write := primaryRequest(requester.Write, "WRITE x 1")
	qt.Assert(t, s.Execute("peer", write).Result.Code, qt.Equals, requester.OK)
	end.Offset = 40
	s.Fencer.Observe("rentals", cataloger.Leadership{Server: "a", Term: 2, Revision: cataloger.Revision{Number: 7}})
	qt.Assert(t, s.Execute("peer", write).Result.Code, qt.Equals, requester.OK)
}

// Guards against a primary that is taken for one that lost its log, because answers overtook each other on two connections.
func TestAnswerThatWasOvertakenDoesNotShowALostLog(t *testing.T) {
	s, _ := newTestServer()
	now := s.Holder.Clock()
	s.Holder.Now = func() time.Duration { return now }
	end := identifier.Position{Term: 1, Offset: 50}
	reportPositions(s, &end)
	c, err := s.Lender.Borrow(lender.Request{Server: s.Holder.Catalog().Servers["rentals"][0], Workspace: "shops", Deadline: time.Now().Add(time.Second)})
	qt.Assert(t, err, qt.IsNil)
	permit, _ := s.Fencer.Permit("rentals")
	sent := now
	now += time.Millisecond
	qt.Assert(t, s.recordLeader(c, permit, requester.Result{Position: end}, now), qt.IsNil)
	end.Offset = 49
	qt.Assert(t, s.recordLeader(c, permit, requester.Result{Position: end}, sent), qt.IsNil)
}

// Guards against a peer's sample of a primary that lost its log (STALE), and the loss of later samples of a new primary.
func TestSampleOfAPeerMayShowALostLog(t *testing.T) {
	s, _ := newTestServer()
	end := identifier.Position{Term: 1, Offset: 50}
	reportPositions(s, &end)
	earlier := s.Holder.Clock()
	qt.Assert(t, s.Execute("peer", primaryRequest(requester.Write, "WRITE x 1")).Result.Code, qt.Equals, requester.OK)
	shorter := identifier.Position{Term: 1, Offset: 49}
	qt.Assert(t, s.ShowsLostLog("rentals", sampler.Sample{Position: shorter, RequestedAt: s.Holder.Clock()}), qt.IsTrue)
	qt.Assert(t, s.ShowsLostLog("rentals", sampler.Sample{Position: end, RequestedAt: s.Holder.Clock()}), qt.IsFalse)
	qt.Assert(t, s.ShowsLostLog("rentals", sampler.Sample{Position: shorter, RequestedAt: earlier}), qt.IsFalse)
	s.Fencer.Observe("rentals", cataloger.Leadership{Server: "b", Term: 2, Revision: cataloger.Revision{Number: 7}})
	qt.Assert(t, s.ShowsLostLog("rentals", sampler.Sample{Position: shorter, RequestedAt: s.Holder.Clock()}), qt.IsFalse)
}

// Guards against a false alarm at an instance that was cut off while a primary was replaced and promoted again.
func TestShorterLogUnderAnOldProofIsNoLostLog(t *testing.T) {
	s, _ := newTestServer()
	now := s.Holder.Clock()
	s.Holder.Now = func() time.Duration { return now }
	s.Fencer.Observe("rentals", cataloger.Leadership{Server: "a", Term: 2, Revision: cataloger.Revision{Number: 7}})
	end := identifier.Position{Term: 2, Offset: 50}
	reportPositions(s, &end)
	qt.Assert(t, s.Execute("peer", primaryRequest(requester.Write, "WRITE x 1")).Result.Code, qt.Equals, requester.OK)
	now += time.Hour
	end.Offset = 40
	c := *s.Holder.Catalog()
	c.Configuration = &cataloger.Configuration{Workspaces: map[identifier.WorkspaceName]cataloger.Workspace{"shops": {}}}
	s.Holder.Replace(&c)
	qt.Assert(t, s.ConfirmLeader(c.Servers["rentals"][0]), qt.IsNil)
}
