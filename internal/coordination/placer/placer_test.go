package placer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/placer"
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

func newPlacer() (*placer.Placer, *clock) {
	c := &clock{time.Unix(1000, 0)}
	return &placer.Placer{DataCentre: "one", Now: func() time.Time { return c.now }}, c
}

// Guards against reads that occupy the primary's slots while a replica is free,
// and against unnecessary traffic between data centres.
func TestReadersPreferTheLocalReplica(t *testing.T) {
	p, _ := newPlacer()
	order := ids(p.Readers(service, servers(), time.Second, "shop"))
	qt.Assert(t, order, qt.Equals, "bca")
}

// Guards against a replica that lags by more than a read accepts being selected
// first, and against it being excluded permanently.
func TestLaggingReplicaComesLast(t *testing.T) {
	p, c := newPlacer()
	p.RecordLag("b", 3*time.Second)
	qt.Assert(t, ids(p.Readers(service, servers(), time.Second, "shop")), qt.Equals, "cab")
	qt.Assert(t, ids(p.Readers(service, servers(), 4*time.Second, "shop")), qt.Equals, "bca")
	c.now = c.now.Add(time.Second)
	qt.Assert(t, ids(p.Readers(service, servers(), time.Second, "shop")), qt.Equals, "bca")
}

// Guards against every statement being sent first to a server that does not
// answer, and against a single missing answer ejecting a server for long.
func TestEjectionDoublesWithEachFailure(t *testing.T) {
	p, c := newPlacer()
	for _, pause := range []time.Duration{200, 400, 800, 1600, 2000, 2000} {
		p.Start("b")
		p.Fail("b")
		c.now = c.now.Add(pause*time.Millisecond - time.Millisecond)
		qt.Assert(t, ids(p.Readers(service, servers(), time.Second, "shop")), qt.Equals, "cab")
		c.now = c.now.Add(time.Millisecond)
		qt.Assert(t, ids(p.Readers(service, servers(), time.Second, "shop")), qt.Equals, "bca")
	}
	p.Start("b")
	p.Finish("b", 10*time.Millisecond)
	p.Start("b")
	p.Fail("b")
	c.now = c.now.Add(200 * time.Millisecond)
	qt.Assert(t, ids(p.Readers(service, servers(), time.Second, "shop")), qt.Equals, "bca")
}

// Guards against an old primary that still claims to lead being selected as the
// primary again.
func TestConfirmedLeaderOverridesClaims(t *testing.T) {
	p, c := newPlacer()
	first, ok := p.Primary(service, servers())
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, first.ID, qt.Equals, identifier.BackendServerID("a"))
	p.RecordNotLeading(service, "a")
	_, ok = p.Primary(service, servers())
	qt.Assert(t, ok, qt.IsFalse)
	p.RecordLeader(service, "c", 2, c.now)
	p.RecordLeader(service, "a", 1, c.now.Add(time.Second)) // A delayed answer from the old term.
	next, ok := p.Primary(service, servers())
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, next.ID, qt.Equals, identifier.BackendServerID("c"))
}

// Guards against statements that are sent to a draining server after its drain
// limit and aborted when it stops (DRAIN on trouble-1 of obiseda-pool-grown).
func TestDrainingServersGetNoNewStatements(t *testing.T) {
	p, c := newPlacer()
	p.DrainLimit = 4 * time.Second
	all := servers()
	all[0].Draining, all[1].Draining = true, true
	all[0].DrainingSince = c.now
	qt.Assert(t, ids(p.Readers(service, all, time.Second, "shop")), qt.Equals, "c")
	primary, ok := p.Primary(service, all)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, primary.ID, qt.Equals, identifier.BackendServerID("a"))
	c.now = c.now.Add(4*time.Second + 1)
	_, ok = p.Primary(service, all)
	qt.Assert(t, ok, qt.IsFalse)
}
