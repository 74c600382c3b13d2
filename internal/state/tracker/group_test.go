package tracker_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

var base = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func atMS(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }

func status(server string, role tracker.Role, term, promised, offset int, history string) tracker.MemberStatus {
	h, err := tracker.ParseHistory(history)
	if err != nil {
		panic(err)
	}
	return tracker.MemberStatus{
		Server: identifier.BackendServerID(server), Incarnation: "1", Role: role,
		Term: identifier.Term(term), Promised: identifier.Term(promised),
		Applied: identifier.LogOffset(offset), Received: identifier.LogOffset(offset), History: h,
	}
}

func position(s string) identifier.Position {
	p, err := identifier.ParsePosition(s)
	if err != nil {
		panic(err)
	}
	return p
}

// Guards against reading from a log that lacks the session's write, in
// particular when the offsets alone suggest that the log contains it.
func TestCoverageAcrossTerms(t *testing.T) {
	for _, tc := range []struct {
		name, history, position string
		term, offset            int
		want                    tracker.Coverage
	}{
		{"same term reached", "1:0", "1/100", 1, 100, tracker.Covered},
		{"same term not reached", "1:0", "1/101", 1, 100, tracker.Behind},
		{"before the next term", "1:0,2:100", "1/100", 2, 150, tracker.Covered},
		{"before the next term, not applied", "1:0,2:100", "1/90", 2, 80, tracker.Behind},
		{"in the lost suffix", "1:0,2:100", "1/120", 2, 150, tracker.Lost},
		{"of a later term", "1:0,2:100", "3/120", 2, 150, tracker.Behind},
		{"of a term that this log skips", "1:0,2:100,4:500", "3/490", 4, 600, tracker.Lost},
		{"two terms ago", "1:0,2:100,4:500", "1/90", 4, 600, tracker.Covered},
		{"unknown history", "", "1/90", 4, 600, tracker.Lost},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var g tracker.Group
			g.Observe(status("b", tracker.Replica, tc.term, tc.term, tc.offset, tc.history), atMS(0), atMS(1))
			qt.Assert(t, g.Covers("b", position(tc.position)), qt.Equals, tc.want)
		})
	}
}

// Guards against reporting a lost position as covered by a member that still
// holds the discarded log suffix.
func TestLostOnceANewerTermDiscardsIt(t *testing.T) {
	var g tracker.Group
	g.Observe(status("a", tracker.Primary, 1, 1, 200, "1:0"), atMS(0), atMS(1))
	qt.Assert(t, g.Covers("a", position("1/200")), qt.Equals, tracker.Covered)
	g.Observe(status("b", tracker.Primary, 2, 2, 150, "1:0,2:150"), atMS(2), atMS(3))
	qt.Assert(t, g.Covers("a", position("1/200")), qt.Equals, tracker.Lost)
	qt.Assert(t, g.Lost(position("1/150")), qt.IsFalse)
	qt.Assert(t, g.CountReceived(position("1/150")), qt.Equals, 1)
}

// Guards against replacing the newer primary by an older one that has returned
// or answers late.
func TestOlderPrimaryNeverOverridesNewer(t *testing.T) {
	var g tracker.Group
	g.Observe(status("b", tracker.Primary, 2, 2, 150, "1:0,2:150"), atMS(2), atMS(3))
	g.Observe(status("a", tracker.Primary, 1, 1, 900, "1:0"), atMS(5), atMS(6))
	server, term, ok := g.Primary()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, server, qt.Equals, identifier.BackendServerID("b"))
	qt.Assert(t, term, qt.Equals, identifier.Term(2))
	_, ok = g.Floor(atMS(4))
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("a sample of the older primary was used as a floor"))

	g.Forget("b")
	g.Observe(status("a", tracker.Primary, 1, 1, 950, "1:0"), atMS(7), atMS(8))
	server, _, _ = g.Primary()
	qt.Assert(t, server, qt.Equals, identifier.BackendServerID("b"))
}

// Guards against using a member's last position after its connection broke or
// its process restarted with older data.
func TestPositionUnknownAfterForgetAndRestart(t *testing.T) {
	var g tracker.Group
	g.Observe(status("b", tracker.Replica, 1, 1, 100, "1:0"), atMS(0), atMS(1))
	g.Forget("b")
	qt.Assert(t, g.Covers("b", position("1/50")), qt.Equals, tracker.Unknown)
	restarted := status("b", tracker.Replica, 1, 1, 40, "1:0")
	restarted.Incarnation = "2"
	g.Observe(restarted, atMS(4), atMS(5))
	g.Observe(status("b", tracker.Replica, 1, 1, 100, "1:0"), atMS(2), atMS(6))
	qt.Assert(t, g.Covers("b", position("1/50")), qt.Equals, tracker.Behind)
}

// Guards against an age that stays low while the primary, or the proof by a
// majority that its term is still the last one, is unavailable.
func TestAgeGrowsWithoutTheConfirmedPrimary(t *testing.T) {
	var g tracker.Group
	g.SetMembers([]identifier.BackendServerID{"a", "b", "c"})
	g.Observe(status("a", tracker.Primary, 1, 1, 100, "1:0"), atMS(0), atMS(1))
	g.Observe(status("b", tracker.Replica, 1, 1, 100, "1:0"), atMS(10), atMS(11))
	age, ok := g.Age("b", atMS(500))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, age, qt.Equals, 500*time.Millisecond)

	// The primary is partitioned from the others, which opened a term that this
	// instance has not observed.
	g.Observe(status("a", tracker.Primary, 1, 1, 100, "1:0"), atMS(400), atMS(401))
	age, _ = g.Age("b", atMS(500))
	qt.Assert(t, age, qt.Equals, 490*time.Millisecond, qt.Commentf("the age must start at the last proof by a majority"))

	g.Observe(status("b", tracker.Replica, 2, 2, 120, "1:0,2:100"), atMS(600), atMS(601))
	age, _ = g.Age("b", atMS(700))
	qt.Assert(t, age, qt.Equals, 690*time.Millisecond)
}

// Guards against a floor from a sample that may have been taken before the
// session's write.
func TestFloorNeedsALaterSample(t *testing.T) {
	var g tracker.Group
	changed := g.Changed()
	g.Observe(status("a", tracker.Primary, 1, 1, 100, "1:0"), atMS(0), atMS(9))
	<-changed
	_, ok := g.Floor(atMS(0))
	qt.Assert(t, ok, qt.IsFalse)
	g.Observe(status("a", tracker.Primary, 1, 2, 130, "1:0"), atMS(12), atMS(13))
	_, ok = g.Floor(atMS(10))
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("the primary had promised a later term"))
	p, ok := g.FloorOfTerm(1, atMS(10))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, p, qt.Equals, position("1/130"))
}

// Guards against ranking a follower that has not received the log up to the
// start of its term before a member with a longer log of the older term.
func TestLogEndOfALaggingFollower(t *testing.T) {
	st := status("c", tracker.Replica, 2, 2, 300, "1:0,2:500")
	qt.Assert(t, st.LogEnd(), qt.Equals, position("1/300"))
	st.Received = 500
	qt.Assert(t, st.LogEnd(), qt.Equals, position("2/500"))
}

// Guards against treating a malformed history as an empty one.
func TestParseHistoryRejectsMalformedText(t *testing.T) {
	for _, text := range []string{"1", "1:x", "2:0,1:5", "1:5,2:3", "1:0,"} {
		_, err := tracker.ParseHistory(text)
		qt.Assert(t, errors.Is(err, tracker.ErrMalformedHistory), qt.IsTrue, qt.Commentf("%q", text))
	}
}
