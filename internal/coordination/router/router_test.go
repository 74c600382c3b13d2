package router_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/router"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// fixture is a router for a group of three members whose statuses, write right
// and draining backend servers the test sets.
type fixture struct {
	router.Router
	group       tracker.Group
	base        time.Time
	valid       bool
	draining    map[identifier.BackendServerID]time.Time
	outstanding map[identifier.BackendServerID]int
}

// newFixture returns a group with the primary a, the replica b in the same
// data centre and the replica c in another one. All members have just answered.
func newFixture(offsetB, offsetC identifier.LogOffset) *fixture {
	f := &fixture{base: time.Now(), valid: true, draining: map[identifier.BackendServerID]time.Time{}, outstanding: map[identifier.BackendServerID]int{}}
	f.Router = router.Router{
		DataCentre:    "one",
		Group:         func(identifier.ServiceName) *tracker.Group { return &f.group },
		HasWriteRight: func(_ identifier.ServiceName, term identifier.Term) bool { return f.valid && term == 2 },
		Members: func(identifier.ServiceName) map[identifier.BackendServerID]configurer.BackendServer {
			return map[identifier.BackendServerID]configurer.BackendServer{
				"a": {DataCentre: "one", Slots: 3}, "b": {DataCentre: "one", Slots: 3}, "c": {DataCentre: "two", Slots: 3},
			}
		},
		LeavingSince: func(s identifier.BackendServerID) (time.Time, bool) { t, ok := f.draining[s]; return t, ok },
		Outstanding:  func(s identifier.BackendServerID) int { return f.outstanding[s] },
		WriteWait:    50 * time.Millisecond,
	}
	f.observe("a", tracker.Primary, 1000, f.base)
	f.observe("b", tracker.Replica, offsetB, f.base)
	f.observe("c", tracker.Replica, offsetC, f.base)
	return f
}

func (f *fixture) observe(server identifier.BackendServerID, role tracker.Role, offset identifier.LogOffset, sent time.Time) {
	f.group.Observe(tracker.MemberStatus{
		Server: server, Role: role, Term: 2, Promised: 2, Applied: offset, Received: offset,
		History: []tracker.TermStart{{Term: 1}, {Term: 2, Offset: 500}},
	}, sent, sent)
}

func readAtFloor(offset identifier.LogOffset) router.Read {
	return router.Read{Floor: identifier.Position{Term: 2, Offset: offset}, FloorKnown: true}
}

// Guards against choosing a replica that lacks the session's writes or that is
// not the cheapest, and against choosing a draining backend server.
func TestRouteRead(t *testing.T) {
	for _, tc := range []struct {
		name    string
		b, c    identifier.LogOffset
		prepare func(*fixture)
		read    router.Read
		want    identifier.BackendServerID
		err     error
	}{
		{name: "same data centre first", b: 900, c: 900, read: readAtFloor(900), want: "b"},
		{name: "covered elsewhere", b: 800, c: 900, read: readAtFloor(900), want: "c"},
		{name: "none covered", b: 800, c: 800, read: readAtFloor(900), want: "a"},
		{name: "fewer outstanding", b: 900, c: 900, read: readAtFloor(900), want: "c", prepare: func(f *fixture) { f.outstanding["b"] = 30 }},
		{name: "draining replica", b: 900, c: 900, read: readAtFloor(900), want: "c", prepare: func(f *fixture) { f.draining["b"] = f.base }},
		{name: "forgotten replica", b: 900, c: 800, read: readAtFloor(900), want: "a", prepare: func(f *fixture) { f.group.Forget("b") }},
		{name: "no right, covered replica", b: 900, c: 800, read: readAtFloor(900), want: "b", prepare: func(f *fixture) { f.valid = false }},
		{name: "no right, none covered", b: 800, c: 800, read: readAtFloor(900), err: router.ErrNoReplica, prepare: func(f *fixture) { f.valid = false }},
		{name: "unknown floor", b: 900, c: 900, read: router.Read{}, want: "a"},
		{name: "unknown floor, no right", b: 900, c: 900, read: router.Read{}, err: router.ErrNoRight, prepare: func(f *fixture) { f.valid = false }},
		{name: "lost position", b: 900, c: 900, read: router.Read{Floor: identifier.Position{Term: 1, Offset: 600}, FloorKnown: true}, err: router.ErrPositionLost},
		{name: "position kept across terms", b: 900, c: 900, read: router.Read{Floor: identifier.Position{Term: 1, Offset: 400}, FloorKnown: true}, want: "b"},
		{name: "write of an ended term", b: 900, c: 900, read: router.Read{Since: time.Now(), WriteTerm: 1}, err: router.ErrPositionLost},
		{name: "own write, floor not sampled", b: 900, c: 900, read: router.Read{Since: time.Now().Add(time.Hour), WriteTerm: 2}, want: "a"},
		{name: "start of a session, sampled", b: 1000, c: 900, read: router.Read{Since: time.Now().Add(-time.Hour)}, want: "b"},
		{name: "start of a session, not sampled", b: 1000, c: 900, read: router.Read{Since: time.Now().Add(time.Hour)}, err: router.ErrNoRight},
		{name: "accepted age", b: 800, c: 1000, read: router.Read{MaxAge: time.Minute}, want: "c"},
		{name: "draining primary", b: 800, c: 800, read: readAtFloor(900), err: router.ErrNoReplica, prepare: func(f *fixture) { f.draining["a"] = f.base.Add(-time.Minute) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(tc.b, tc.c)
			if tc.prepare != nil {
				tc.prepare(f)
			}
			c, err := f.RouteRead("s", tc.read)
			qt.Assert(t, errors.Is(err, tc.err), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, c.Server, qt.Equals, tc.want)
		})
	}
}

// Guards against a write that is routed without a write right, and against
// waiting for a right after all members have answered.
func TestRouteWrite(t *testing.T) {
	f := newFixture(900, 900)
	c, err := f.RouteWrite("s")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Server, qt.Equals, identifier.BackendServerID("a"))
	qt.Assert(t, c.Term, qt.Equals, identifier.Term(2))
	f.draining["a"] = f.base.Add(-time.Minute)
	_, err = f.RouteWrite("s")
	qt.Assert(t, errors.Is(err, router.ErrNoPrimary), qt.IsTrue)

	f = newFixture(900, 900)
	f.valid = false
	f.WriteWait = time.Hour
	f.RequestSample = func(identifier.ServiceName) {
		later := time.Now()
		f.observe("a", tracker.Primary, 1000, later)
		f.observe("b", tracker.Replica, 900, later)
		f.observe("c", tracker.Replica, 900, later)
	}
	_, err = f.RouteWrite("s")
	qt.Assert(t, errors.Is(err, router.ErrNoRight), qt.IsTrue)
}

// Guards against an error when the answers that grant the write right arrive
// after the validity check of the same attempt: all members have answered by
// then, but the attempt has not used their answers.
func TestRouteWriteWhenRightArrivesDuringChoice(t *testing.T) {
	f := newFixture(900, 900)
	f.valid = false
	f.WriteWait = time.Minute
	f.HasWriteRight = func(identifier.ServiceName, identifier.Term) bool {
		if !f.valid {
			f.valid = true
			for _, s := range []identifier.BackendServerID{"b", "c", "a"} {
				f.observe(s, map[bool]tracker.Role{true: tracker.Primary, false: tracker.Replica}[s == "a"], 1000, time.Now())
			}
			return false
		}
		return true
	}
	_, err := f.RouteWrite("s")
	qt.Assert(t, err, qt.IsNil)
}

// Guards against choosing the primary although a replica is about to cover the
// floor, and against waiting for a stalled replica.
func TestRouteReadBoundsWaitForReplica(t *testing.T) {
	f := newFixture(900, 0)
	sent := f.base
	for i := range 20 { // The primary writes 10 bytes a millisecond; b is 5 ms behind.
		sent = f.base.Add(time.Duration(i+1) * time.Millisecond)
		f.observe("a", tracker.Primary, identifier.LogOffset(1000+10*i), sent)
		f.observe("b", tracker.Replica, identifier.LogOffset(950+10*i), sent)
	}
	f.Now = func() time.Time { sent = sent.Add(100 * time.Microsecond); return sent }
	f.RequestSample = func(identifier.ServiceName) {
		f.observe("b", tracker.Replica, 1190, sent)
	}
	c, err := f.RouteRead("s", readAtFloor(1190))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Server, qt.Equals, identifier.BackendServerID("b"))
	qt.Assert(t, c.Waited > 0, qt.IsTrue)

	f.RequestSample = nil
	f.observe("a", tracker.Primary, 1500, sent)
	c, err = f.RouteRead("s", readAtFloor(1490))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Server, qt.Equals, identifier.BackendServerID("a"))
}
