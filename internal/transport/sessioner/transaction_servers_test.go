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

// Guards against the first statement of a transaction at a server that has left since its BEGIN (DRAIN), and
// at one of the service to which its route was moved, with a log position of the other service (STALE).
func TestFirstStatementGoesToTheServersOfItsTransaction(t *testing.T) {
	type servers = map[identifier.ServiceName][]cataloger.BackendServer
	rentals := []cataloger.BackendServer{{ID: "a", Service: "rentals", Slots: 3}, {ID: "b", Service: "rentals", Slots: 3}}
	stock := []cataloger.BackendServer{{ID: "c", Service: "stock", Slots: 3}}
	route := cataloger.Route{
		Service: "rentals", Public: true, Consistency: cataloger.BoundedStaleness, MaxStaleness: time.Minute,
		StatementTimeout: time.Second, TargetLatency: time.Second,
	}
	moved, emptied := route, route
	moved.Service, emptied.Service = "stock", "empty"
	for _, test := range []struct {
		name   string
		routes []cataloger.Route // One after another, after the BEGIN.
		now    servers
		want   identifier.BackendServerID
	}{
		{"a server has left", nil, servers{"rentals": rentals[1:], "stock": stock}, "b"},
		{"the route was moved", []cataloger.Route{moved}, servers{"rentals": rentals[:1], "stock": stock}, "a"},
		{"the route was moved and a server has left", []cataloger.Route{moved}, servers{"rentals": rentals[1:], "stock": stock}, "b"},
		{"the route was moved to a service without servers", []cataloger.Route{emptied}, servers{"rentals": rentals[:1]}, "a"},
		{"the route was moved away and back", []cataloger.Route{moved, route}, servers{"rentals": rentals[:1], "stock": stock}, "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, _ := newTestServer()
			answer := s.Lender.Dial
			var dialled []identifier.BackendServerID
			s.Lender.Dial = func(deadline time.Time, b cataloger.BackendServer, w identifier.WorkspaceName) (lender.Link, error) {
				dialled = append(dialled, b.ID)
				return answer(deadline, b, w)
			}
			replace := func(r cataloger.Route, now servers) {
				configuration := &cataloger.Configuration{Routes: map[string]cataloger.Route{"booking": r}}
				s.Holder.Replace(&cataloger.Catalog{Configuration: configuration, Servers: now})
			}
			replace(route, servers{"rentals": rentals, "stock": stock})
			for _, service := range []identifier.ServiceName{"rentals", "stock"} {
				s.Sampler(service).Add(sampler.Sample{Position: identifier.Position{Term: 1, Offset: 1}, RequestedAt: s.Holder.Clock()})
			}
			n := &session{server: s, database: "booking"}
			qt.Assert(t, n.begin(requester.Statement{Kind: requester.BeginReadOnly}).Code, qt.Equals, requester.OK)
			replace(route, test.now)
			for _, r := range test.routes {
				replace(r, test.now)
			}
			qt.Assert(t, n.execute(requester.Statement{Kind: requester.Read, Text: "READ x"}).Code, qt.Equals, requester.OK)
			qt.Assert(t, dialled, qt.DeepEquals, []identifier.BackendServerID{test.want})
		})
	}
}
