package replacer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
)

// evacuate marks the servers with the ids as evacuated since now.
func (s *fakeService) evacuate(ids ...identifier.BackendServerID) {
	servers := s.catalog.Servers["rentals"]
	for i := range servers {
		for _, id := range ids {
			if servers[i].ID == id {
				servers[i].Evacuated, servers[i].EvacuatedSince = true, time.Now()
			}
		}
	}
}

// Guards against the loss of acknowledged commits when the data centre of a primary
// is evacuated, and against a successor in the same data centre: c has received
// most, but is evacuated as well.
func TestEvacuatedPrimaryHandsOver(t *testing.T) {
	s := newFakeService()
	s.evacuate("a", "c")
	s.lastLed = time.Now()
	qt.Assert(t, s.check(s.replacer(), &serviceWatch{}), qt.DeepEquals,
		[]string{"announce 11 ", "two confirms 11", "promote a under 11", "step down a below 2", "announce 12 b", "promote b under 12", "grant b in term 2"})
	qt.Assert(t, s.received["b"], qt.Equals, uint64(9))
}

// Guards against a service that stays without a primary because the evacuated one
// is cut off and cannot step down.
func TestSilentEvacuatedPrimaryIsReplaced(t *testing.T) {
	s := newFakeService()
	s.evacuate("a")
	s.down["a"] = true
	w := &serviceWatch{silentSince: silentLongEnough()}
	qt.Assert(t, s.check(s.replacer(), w), qt.DeepEquals, replacementOfA(11))
}

// Guards against a primary that is suspended by one announcement after another
// while no server elsewhere can take over.
func TestEvacuatedPrimaryStaysWithoutASuccessor(t *testing.T) {
	s := newFakeService()
	s.evacuate("a", "b", "c")
	s.lastLed = time.Now()
	w := &serviceWatch{}
	r := s.replacer()
	qt.Assert(t, s.check(r, w), qt.HasLen, 0)
	qt.Assert(t, w.blocked, qt.IsTrue)
	s.catalog.Servers["rentals"][2].Evacuated = false
	qt.Assert(t, s.check(r, w), qt.HasLen, 7)
	qt.Assert(t, w.blocked, qt.IsFalse)
}

// Guards against all services of a data centre being without a primary at the same
// moment when it is evacuated.
func TestHandoversAtATimeAreLimited(t *testing.T) {
	var r Replacer
	for range maxHandovers {
		qt.Assert(t, r.beginHandover(), qt.IsTrue)
	}
	qt.Assert(t, r.beginHandover(), qt.IsFalse)
	r.endHandover()
	qt.Assert(t, r.beginHandover(), qt.IsTrue)
}
