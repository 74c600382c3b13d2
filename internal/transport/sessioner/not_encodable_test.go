package sessioner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/lender"
)

// Guards against a statement that no server can be sent being tried until its deadline,
// and the servers being set aside for it.
func TestStatementThatCannotBeSentIsRefusedAtOnce(t *testing.T) {
	errTooLong := errors.Wrap(lender.ErrNotEncodable, "message of 1048580 bytes")
	for name, test := range map[string]struct {
		kind        requester.Kind
		consistency cataloger.Consistency
		rejected    requester.Kind // Unknown stands for the startup.
		begin       requester.Kind
		settings    lender.Settings
		want        requester.Code
	}{
		"write":           {kind: requester.Write, rejected: requester.Write, want: requester.Malformed},
		"primary read":    {kind: requester.Read, rejected: requester.Read, want: requester.Malformed},
		"replica read":    {kind: requester.Read, consistency: cataloger.BoundedStaleness, rejected: requester.Read, want: requester.Malformed},
		"in transaction":  {kind: requester.Write, begin: requester.Begin, rejected: requester.Write, want: requester.Aborted},
		"setting":         {kind: requester.Write, rejected: requester.Set, settings: lender.Settings{{Name: "a", Value: "b"}}, want: requester.Malformed},
		"startup":         {kind: requester.Write, want: requester.Malformed},
		"replica startup": {kind: requester.Read, consistency: cataloger.BoundedStaleness, want: requester.Malformed},
		"startup of a tx": {kind: requester.Write, begin: requester.Begin, want: requester.Malformed},
	} {
		t.Run(name, func(t *testing.T) {
			s, seen := newTestServer()
			s.Sampler("rentals").Add(sampler.Sample{Position: identifier.Position{Term: 1, Offset: 1}, RequestedAt: s.Holder.Clock()})
			dial, dialled := s.Lender.Dial, 0
			s.Lender.Dial = func(deadline time.Time, b cataloger.BackendServer, w identifier.WorkspaceName) (lender.Link, error) {
				dialled++
				if test.rejected == requester.Unknown {
					return lender.Link{}, errTooLong
				}
				link, err := dial(deadline, b, w)
				send := link.Send
				link.Send = func(deadline time.Time, statements ...requester.Statement) error {
					for _, st := range statements {
						if st.Kind == test.rejected {
							return errTooLong
						}
					}
					return send(deadline, statements...)
				}
				return link, err
			}
			f := primaryRequest(test.kind, "x")
			f.Route.Consistency, f.Route.MaxStaleness, f.Settings = test.consistency, time.Hour, test.settings
			f.Route.StatementTimeout, f.Route.TargetLatency = 10*time.Second, 10*time.Second
			if test.begin != requester.Unknown {
				f.Begin, f.Transaction = test.begin, 1
			}
			started := time.Now()
			r := s.Execute("peer", f)
			qt.Check(t, time.Since(started) < 5*time.Second, qt.IsTrue)
			qt.Check(t, r.Result.Code, qt.Equals, test.want)
			qt.Check(t, r.Result.Text, qt.Contains, "message of 1048580 bytes")
			qt.Check(t, dialled, qt.Equals, 1)
			qt.Check(t, s.Balancer.IsEjected("a"), qt.IsFalse)
			for _, k := range seen["shops"] {
				qt.Check(t, k == requester.Begin || k == requester.Rollback, qt.IsTrue, qt.Commentf("%v", k))
			}
		})
	}
}

// Guards against the status of all servers being unknown because the workspace that comes
// first has a name with a blank.
func TestOwnQueriesNeedAWorkspaceThatCanBeSent(t *testing.T) {
	s, seen := newTestServer()
	c := *s.Holder.Catalog()
	c.Configuration = &cataloger.Configuration{Workspaces: map[identifier.WorkspaceName]cataloger.Workspace{
		" a": {}, "b c": {}, "d\r\nQUERY": {}, "shops": {}, "tools": {},
	}}
	s.Holder.Replace(&c)
	qt.Assert(t, s.ConfirmLeader(c.Servers["rentals"][0]), qt.IsNil)
	qt.Assert(t, seen, qt.HasLen, 1)
	qt.Assert(t, seen["shops"], qt.Not(qt.HasLen), 0)
}
