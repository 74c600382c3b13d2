package sessioner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/lender"
)

// Guards against the first statement of a transaction at a server that has left since its BEGIN (DRAIN).
func TestFirstStatementGoesToAServerThatHasNotLeft(t *testing.T) {
	s, _ := newTestServer()
	answer := s.Lender.Dial
	var dialled []identifier.BackendServerID
	s.Lender.Dial = func(deadline time.Time, b cataloger.BackendServer, w identifier.WorkspaceName) (lender.Link, error) {
		dialled = append(dialled, b.ID)
		return answer(deadline, b, w)
	}
	c := *s.Holder.Catalog()
	c.Configuration = &cataloger.Configuration{Routes: map[string]cataloger.Route{"booking": {
		Service: "rentals", Public: true, Consistency: cataloger.BoundedStaleness, MaxStaleness: time.Minute,
		StatementTimeout: time.Second, TargetLatency: time.Second,
	}}}
	s.Holder.Replace(&c)
	s.Sampler("rentals").Add(sampler.Sample{Position: identifier.Position{Term: 1, Offset: 1}, RequestedAt: s.Holder.Clock()})
	n := &session{server: s, database: "booking"}
	qt.Assert(t, n.begin(requester.Statement{Kind: requester.BeginReadOnly}).Code, qt.Equals, requester.OK)
	next := c
	next.Servers = map[identifier.ServiceName][]cataloger.BackendServer{"rentals": {{ID: "b", Service: "rentals", Slots: 3}}}
	s.Holder.Replace(&next)
	n.execute(requester.Statement{Kind: requester.Read, Text: "READ x"})
	qt.Assert(t, dialled, qt.DeepEquals, []identifier.BackendServerID{"b"})
}
