package router_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderpulley/internal/coordination/router"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// evacuate marks the backend servers as evacuated since the given time.
func (f *fixture) evacuate(since time.Time, servers ...identifier.BackendServerID) {
	evacuated := map[identifier.BackendServerID]bool{}
	for _, s := range servers {
		evacuated[s] = true
	}
	f.EvacuatedSince = func(s identifier.BackendServerID) (time.Time, bool) { return since, evacuated[s] }
}

// Guards against statements to a backend server in an evacuated data centre other
// than writes within the grace period, whatever else is the case, and against
// refusing what a server elsewhere can serve.
func TestNothingIsRoutedToEvacuatedServers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		servers := []identifier.BackendServerID{"a", "b", "c"}
		offset := rapid.SampledFrom([]identifier.LogOffset{800, 1000})
		f := newFixture(offset.Draw(rt, "b"), offset.Draw(rt, "c"))
		f.WriteWait = time.Millisecond
		evacuated := rapid.SliceOfNDistinct(rapid.SampledFrom(servers), 0, 3, rapid.ID).Draw(rt, "evacuated")
		since := rapid.SampledFrom([]time.Duration{0, time.Second, 1400 * time.Millisecond, 1600 * time.Millisecond, time.Hour})
		age := since.Draw(rt, "age")
		now := f.base.Add(time.Minute)
		f.Now = func() time.Time { now = now.Add(100 * time.Microsecond); return now }
		f.evacuate(now.Add(-age), evacuated...)
		if draining := rapid.SampledFrom(append(servers, "")).Draw(rt, "draining"); draining != "" {
			f.draining[draining] = now.Add(-since.Draw(rt, "draining for"))
		}
		f.valid = rapid.Bool().Draw(rt, "write right")
		f.RequestSample = func(identifier.ServiceName) {}
		read := rapid.SampledFrom([]router.Read{
			{}, readAtFloor(900), {MaxAge: time.Hour}, {Since: f.base.Add(-time.Hour)}, {Since: f.base, WriteTerm: 2},
		}).Draw(rt, "read")

		isEvacuated := func(s identifier.BackendServerID) bool { _, ok := f.EvacuatedSince(s); return ok }
		c, err := f.RouteRead("s", read)
		if err == nil && isEvacuated(c.Server) {
			rt.Fatalf("read routed to evacuated %s", c.Server)
		}
		if (len(evacuated) == 3) != errors.Is(err, router.ErrEvacuated) {
			rt.Fatalf("read with %v evacuated: %v", evacuated, err)
		}
		w, err := f.RouteWrite("s")
		if err == nil && isEvacuated(w.Server) && age > router.DefaultLeavingGrace {
			rt.Fatalf("write routed to %s, evacuated for %s", w.Server, age)
		}
		if (len(evacuated) == 3) != errors.Is(err, router.ErrEvacuated) {
			rt.Fatalf("write with %v evacuated: %v", evacuated, err)
		}
		_, draining := f.draining["a"]
		if err != nil && f.valid && !draining && !isEvacuated("a") {
			rt.Fatalf("write refused: %v", err)
		}
	})
}

// Guards against waiting before the refusal when no backend server may be used,
// against a read at an evacuated primary within the grace period of writes, and
// against a refusal that does not name the evacuation.
func TestEvacuatedService(t *testing.T) {
	f := newFixture(800, 800)
	f.evacuate(f.base, "a")
	c, err := f.RouteWrite("s")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Server, qt.Equals, identifier.BackendServerID("a"))
	_, err = f.RouteRead("s", readAtFloor(900))
	qt.Assert(t, errors.Is(err, router.ErrNoReplica), qt.IsTrue)
	qt.Assert(t, err, qt.ErrorMatches, ".*the data centre of a is evacuated.*")
	f.observe("c", tracker.Replica, 900, f.base)
	c, err = f.RouteRead("s", readAtFloor(900))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Server, qt.Equals, identifier.BackendServerID("c"))

	f.evacuate(f.base, "a", "b", "c")
	f.WriteWait = time.Hour
	for _, route := range []func() (router.Choice, error){
		func() (router.Choice, error) { return f.RouteWrite("s") },
		func() (router.Choice, error) { return f.RouteRead("s", readAtFloor(900)) },
	} {
		_, err = route()
		qt.Assert(t, errors.Is(err, router.ErrEvacuated), qt.IsTrue)
		qt.Assert(t, err, qt.ErrorMatches, "one, two: every backend server.*")
	}
}
