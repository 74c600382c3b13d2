package balancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/balancer"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const service identifier.ServiceName = "rentals"

func servers() []cataloger.BackendServer {
	return []cataloger.BackendServer{
		{ID: "a", Service: service, DataCentre: "one", Slots: 3, ClaimsPrimary: true},
		{ID: "b", Service: service, DataCentre: "one", Slots: 3},
		{ID: "c", Service: service, DataCentre: "two", Slots: 3},
	}
}

func ids(all []cataloger.BackendServer) string {
	text := ""
	for _, s := range all {
		text += string(s.ID)
	}
	return text
}

// clock is a clock that tests set.
type clock struct{ now time.Time }

func newBalancer() (*balancer.Balancer, *clock) {
	c := &clock{time.Unix(1000, 0)}
	return &balancer.Balancer{DataCentre: "one", Now: func() time.Time { return c.now }}, c
}

// Guards against reads that occupy the primary's slots while a replica is free,
// and against unnecessary traffic between data centres.
func TestReadersPreferTheLocalReplica(t *testing.T) {
	b, _ := newBalancer()
	order := ids(b.Readers(service, servers(), time.Second, "shop"))
	qt.Assert(t, order, qt.Equals, "bca")
}

// Guards against a replica that lags by more than a read accepts being selected
// first, and against it being excluded permanently.
func TestLaggingReplicaComesLast(t *testing.T) {
	b, c := newBalancer()
	b.RecordLag("b", 3*time.Second)
	qt.Assert(t, ids(b.Readers(service, servers(), time.Second, "shop")), qt.Equals, "cab")
	qt.Assert(t, ids(b.Readers(service, servers(), 4*time.Second, "shop")), qt.Equals, "bca")
	c.now = c.now.Add(time.Second)
	qt.Assert(t, ids(b.Readers(service, servers(), time.Second, "shop")), qt.Equals, "bca")
}

// Guards against every statement being sent first to a server that does not
// answer, and against a single missing answer ejecting a server for long.
func TestEjectionDoublesWithEachFailure(t *testing.T) {
	b, c := newBalancer()
	for _, pause := range []time.Duration{200, 400, 800, 1600, 2000, 2000} {
		b.Start("b")
		b.Fail("b")
		c.now = c.now.Add(pause*time.Millisecond - time.Millisecond)
		qt.Assert(t, ids(b.Readers(service, servers(), time.Second, "shop")), qt.Equals, "cab")
		c.now = c.now.Add(time.Millisecond)
		qt.Assert(t, ids(b.Readers(service, servers(), time.Second, "shop")), qt.Equals, "bca")
	}
	b.Start("b")
	b.Finish("b", 10*time.Millisecond)
	b.Start("b")
	b.Fail("b")
	c.now = c.now.Add(200 * time.Millisecond)
	qt.Assert(t, ids(b.Readers(service, servers(), time.Second, "shop")), qt.Equals, "bca")
}

// Guards against an old primary that still claims to lead being selected as the
// primary again.
func TestConfirmedLeaderOverridesClaims(t *testing.T) {
	b, c := newBalancer()
	first, ok := b.Primary(service, servers())
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, first.ID, qt.Equals, identifier.BackendServerID("a"))
	b.RecordNotLeading(service, "a")
	_, ok = b.Primary(service, servers())
	qt.Assert(t, ok, qt.IsFalse)
	b.RecordLeader(service, "c", 2, c.now)
	b.RecordLeader(service, "a", 1, c.now.Add(time.Second)) // A delayed answer from the old term.
	next, ok := b.Primary(service, servers())
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, next.ID, qt.Equals, identifier.BackendServerID("c"))
}

// Guards against statements that are sent to a draining server after its drain
// limit and aborted when it stops.
func TestDrainingServersGetNoNewStatements(t *testing.T) {
	b, c := newBalancer()
	b.DrainLimit = 4 * time.Second
	all := servers()
	all[0].Draining, all[1].Draining = true, true
	all[0].DrainingSince = c.now
	qt.Assert(t, ids(b.Readers(service, all, time.Second, "shop")), qt.Equals, "c")
	primary, ok := b.Primary(service, all)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, primary.ID, qt.Equals, identifier.BackendServerID("a"))
	c.now = c.now.Add(4*time.Second + 1)
	_, ok = b.Primary(service, all)
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against reads at a server whose data centre is evacuated while others
// serve, and against statements that reach its primary after the limit.
func TestEvacuatedServersAreWithdrawn(t *testing.T) {
	b, c := newBalancer()
	b.EvacuationLimit = 4 * time.Second
	all := servers()
	for i := range 2 {
		all[i].Evacuated, all[i].EvacuatedSince = true, c.now
	}
	qt.Assert(t, ids(b.Readers(service, all, time.Second, "shop")), qt.Equals, "c")
	primary, ok := b.Primary(service, all)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, primary.ID, qt.Equals, identifier.BackendServerID("a"))
	qt.Assert(t, b.IsWithdrawn(all[0]), qt.IsFalse)
	c.now = c.now.Add(4*time.Second + 1)
	_, ok = b.Primary(service, all)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, b.IsWithdrawn(all[0]), qt.IsTrue)
	qt.Assert(t, b.IsWithdrawn(all[2]), qt.IsFalse)
}

// Guards against a server that gets more than its cold rate just after its start,
// and against one that stays limited once it is warm.
func TestColdServerGetsFewStatements(t *testing.T) {
	b, c := newBalancer()
	b.ColdRate = func(cataloger.BackendServer) (float64, bool) { return 4, true }
	all := servers()
	all[1].ColdUntil = c.now.Add(3 * time.Second)
	started := 0
	for range 2000 {
		if ids(b.Readers(service, all, time.Second, "shop"))[0] == 'b' && b.TakeCold(all[1]) {
			started++
		}
		c.now = c.now.Add(time.Millisecond)
	}
	qt.Assert(t, started, qt.Equals, 8)
	c.now = c.now.Add(time.Second)
	for range 20 {
		qt.Assert(t, b.TakeCold(all[1]), qt.IsTrue)
	}
	b.ColdRate = func(cataloger.BackendServer) (float64, bool) { return 0, true }
	all[1].ColdUntil = c.now.Add(time.Second)
	qt.Assert(t, b.TakeCold(all[1]), qt.IsFalse)
}
