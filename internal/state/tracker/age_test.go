package tracker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// Guards against data that count as recent because the clock stopped while the host was suspended.
func TestAgeIsUnknownAfterASuspension(t *testing.T) {
	var wake time.Time
	groups := tracker.Groups{LastWake: func() time.Time { return wake }}
	g := groups.Get("rentals")
	sent := time.Now()
	observe := func(at time.Time) {
		g.Observe(tracker.MemberStatus{Server: "a", Role: tracker.Primary, Term: 1, Promised: 1, Applied: 5, Received: 5, History: []tracker.TermStart{{Term: 1}}}, at, at)
		g.Observe(tracker.MemberStatus{Server: "b", Role: tracker.Replica, Term: 1, Promised: 1, Applied: 5, Received: 5, History: []tracker.TermStart{{Term: 1}}}, at, at)
	}
	isKnown := func(b identifier.BackendServerID) bool {
		_, ok := g.Age(b, sent.Add(time.Second))
		return ok
	}
	observe(sent)
	qt.Assert(t, isKnown("b"), qt.IsTrue)
	wake = sent.Add(time.Millisecond)
	qt.Assert(t, isKnown("b"), qt.IsFalse)
	observe(sent.Add(2 * time.Millisecond))
	qt.Assert(t, isKnown("b"), qt.IsTrue)
}
