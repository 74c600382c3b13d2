package sessioner

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/lender"
)

// Guards against a COMMIT that runs before a value which was set in its transaction (PINNED).
func TestValueIsSetBeforeTheCommit(t *testing.T) {
	s, seen := newTestServer()
	qt.Assert(t, s.Execute("peer", openingForward("shops", 1)).Result.Code, qt.Equals, requester.OK)
	f := openingForward("shops", 1)
	f.Begin, f.Writes, f.Settings = requester.Unknown, false, lender.Settings{{Name: "zone", Value: "centro"}}
	f.Statement = requester.Statement{ID: "i2", Kind: requester.Commit, Text: "COMMIT"}
	qt.Assert(t, s.Execute("peer", f).Result.Code, qt.Equals, requester.OK)
	qt.Assert(t, seen["shops"], qt.DeepEquals, []requester.Kind{requester.Begin, requester.Write, requester.Set, requester.Commit})
}

// Guards against a read that lacks its session's own commit, which was answered after the permit had ended (STALE).
func TestCommitOfUnknownOutcomeIsTheNewestOfItsSession(t *testing.T) {
	own := identifier.Position{Term: 1, Offset: 5}
	s, _ := newTestServer()
	replaceDuring(s, requester.Write)
	r := s.Execute("peer", primaryRequest(requester.Write, "WRITE x 1"))
	qt.Assert(t, r.Result.Code, qt.Equals, requester.OutcomeUnknown)
	qt.Assert(t, r.LastCommit, qt.Equals, own)

	s, _ = newTestServer()
	replaceDuring(s, requester.Commit)
	qt.Assert(t, s.Execute("peer", openingForward("shops", 1)).Result.Code, qt.Equals, requester.OK)
	f := openingForward("shops", 1)
	f.Begin, f.Writes = requester.Unknown, false
	f.Statement = requester.Statement{ID: "i2", Kind: requester.Commit, Text: "COMMIT"}
	r = s.Execute("peer", f)
	qt.Assert(t, r.Result.Code, qt.Equals, requester.OutcomeUnknown)
	qt.Assert(t, r.LastCommit, qt.Equals, own)
}

// Guards against a session's commit at one service that stands for its commits at another one, while its route
// moves between them: a read then lacks the session's own commit (STALE), or needs a position that no server has.
func TestOwnCommitCountsAtItsServiceAlone(t *testing.T) {
	ends := map[identifier.ServiceName]identifier.Position{"rentals": {Term: 2, Offset: 9}, "stock": {Term: 1, Offset: 5}}
	for _, test := range []struct {
		name      string
		writes    []identifier.ServiceName // To which the route is moved one after another, for a write each.
		read      identifier.ServiceName
		want      identifier.Position
		forwarded identifier.Position
	}{
		{"own commit", []identifier.ServiceName{"stock"}, "stock", ends["stock"], ends["stock"]},
		{"no commit at the service", []identifier.ServiceName{"rentals"}, "stock", identifier.Position{Term: 1, Offset: 1}, identifier.Position{}},
		{"lower commit at the service", []identifier.ServiceName{"rentals", "stock"}, "stock", ends["stock"], ends["stock"]},
		{"back at the first service", []identifier.ServiceName{"stock", "rentals"}, "stock", ends["stock"], ends["stock"]},
		{"back at a service with higher commits", []identifier.ServiceName{"rentals", "stock"}, "rentals", ends["rentals"], ends["rentals"]},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newServerOfServices(ends)
			n := &session{server: s, database: "booking"}
			run := func(service identifier.ServiceName, st requester.Statement) requester.Result {
				c := *s.Holder.Catalog()
				c.Configuration = &cataloger.Configuration{Routes: map[string]cataloger.Route{"booking": {
					Service: service, Public: true, Consistency: cataloger.ReadOwnWrites, MaxStaleness: time.Minute,
					StatementTimeout: time.Second, TargetLatency: time.Second,
				}}}
				s.Holder.Replace(&c)
				return n.execute(st)
			}
			for _, service := range test.writes {
				qt.Assert(t, run(service, requester.Statement{Kind: requester.Write, Text: "WRITE x 1"}).Code, qt.Equals, requester.OK)
			}
			read := requester.Statement{Kind: requester.Read, Text: "READ x"}
			r := run(test.read, read)
			qt.Assert(t, r.Code, qt.Equals, requester.OK)
			qt.Assert(t, r.Text, qt.Equals, test.want.String()) // The position that the read asked for.

			s.Homes = func(identifier.ServiceName, identifier.WorkspaceName, bool) []identifier.InstanceID {
				return []identifier.InstanceID{"peer"}
			}
			s.Forward = func(_ context.Context, _ identifier.InstanceID, f ForwardRequest) (ForwardReply, error) {
				qt.Assert(t, f.LastCommit, qt.Equals, test.forwarded)
				peer := newServerOfServices(ends)
				return peer.Execute("self", f), nil
			}
			qt.Assert(t, run(test.read, read).Text, qt.Equals, test.want.String())
			qt.Assert(t, run(test.read, requester.Statement{Kind: requester.Write, Text: "WRITE x 2"}).Code, qt.Equals, requester.OK)
			test.forwarded = ends[test.read]
			qt.Assert(t, run(test.read, read).Text, qt.Equals, ends[test.read].String())
		})
	}
}

// newServerOfServices returns a server with one backend server for each service, which leads, reports the end of
// its log with each answer, and answers a read with the position that it asked for. There is an earlier sample of
// each service.
func newServerOfServices(ends map[identifier.ServiceName]identifier.Position) *Server {
	s, _ := newTestServer()
	c := *s.Holder.Catalog()
	c.Servers = map[identifier.ServiceName][]cataloger.BackendServer{}
	for service, end := range ends {
		c.Servers[service] = []cataloger.BackendServer{{ID: identifier.BackendServerID(service), Service: service, ClaimsPrimary: true, Slots: 3}}
		s.Sampler(service).Add(sampler.Sample{Position: identifier.Position{Term: end.Term, Offset: 1}, RequestedAt: s.Holder.Clock()})
	}
	s.Holder.Replace(&c)
	s.Lender.Dial = func(_ time.Time, b cataloger.BackendServer, _ identifier.WorkspaceName) (lender.Link, error) {
		var answers fakeAnswers
		return answeringLink(func(st requester.Statement) requester.Result {
			r := answers.answer(st.Kind, ends[b.Service])
			r.Text = st.After.String()
			return r
		}), nil
	}
	return s
}
