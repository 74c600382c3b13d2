package sessioner

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/scheduler"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/lender"
)

// Guards against a read that asks a full queue again and again until its deadline,
// instead of being refused with the time to come back.
func TestReadIsRefusedAtOnceByAFullQueue(t *testing.T) {
	s, _ := newTestServer()
	s.Lender.Limit = func(cataloger.BackendServer) int { return 1 }
	req := lender.Request{Server: s.Holder.Catalog().Servers["rentals"][0], Workspace: "w", Deadline: time.Now().Add(time.Minute)}
	_, err := s.Lender.Borrow(req)
	qt.Assert(t, err, qt.IsNil)
	var cancelled atomic.Bool
	defer cancelled.Store(true)
	req.Cancelled = cancelled.Load
	for i := range scheduler.DefaultLimit {
		waiter := req
		waiter.Workspace = identifier.WorkspaceName(rune('a' + i))
		go func() { _, _ = s.Lender.Borrow(waiter) }()
	}
	for waiting := 0; waiting < scheduler.DefaultLimit; {
		_, waiting = s.Lender.Borrowed("a")
	}
	f := primaryRequest(requester.Read, "READ x")
	f.Route.Consistency, f.Route.MaxStaleness = cataloger.BoundedStaleness, time.Hour
	f.Route.StatementTimeout, f.Route.TargetLatency = time.Minute, time.Minute
	s.Sampler("rentals").Add(sampler.Sample{Position: identifier.Position{Term: 1, Offset: 1}, RequestedAt: s.Holder.Clock()})
	started := time.Now()
	r := s.Execute("peer", f)
	qt.Assert(t, time.Since(started) < 10*time.Second, qt.IsTrue)
	qt.Assert(t, r.Result.Code, qt.Equals, requester.Overloaded)
	qt.Assert(t, r.Result.Text, qt.Matches, `server a: too many statements wait; retry after \d.*s`)
}
