package lister

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
)

// Guards against a view that diverges from that of the relay: after any sequence
// of reads and missed answers, one answer must make the two equal, including
// removed entries.
func TestAnswersMakeViewsConverge(t *testing.T) {
	const seed = 7
	random := rand.New(rand.NewPCG(seed, seed))
	now := time.Unix(0, 0)
	var relay, follower view
	relay.origin = 42
	for round := range 400 {
		var entries []Entry
		for i := range 30 {
			if random.IntN(4) > 0 {
				state := []State{StateLive, StateLeaving}[random.IntN(2)]
				entries = append(entries, Entry{ID: string(rune('a' + i)), Role: RoleEntry, State: state})
			}
		}
		members := []identifier.InstanceID{"a", "b"}[:random.IntN(3)]
		relay.replace(entries, []Roster{{DataCentre: "centro-a", Members: members}}, now)
		if random.IntN(3) == 0 {
			continue
		}
		answer := relay.changesSince(FleetRequest{Origin: follower.origin, Revision: follower.revision})
		qt.Assert(t, answer.Full, qt.Equals, follower.origin != 42 || follower.revision < relay.oldestAnswerable, qt.Commentf("seed %d round %d", seed, round))
		follower.apply(answer, now)
		qt.Assert(t, listedStates(&follower), qt.DeepEquals, listedStates(&relay), qt.Commentf("seed %d round %d", seed, round))
		qt.Assert(t, follower.rosters["centro-a"].Members, qt.ContentEquals, relay.rosters["centro-a"].Members)
	}
}

// Guards against a leaving backend server that is sent new work because each read
// of the list restarts its grace period.
func TestLeavingSinceIsKept(t *testing.T) {
	leaving := []Entry{{ID: "b1", Role: RoleBackend, State: StateLeaving}}
	first := time.Unix(100, 0)
	var l Lister
	l.view.replace(leaving, nil, first)
	leaving[0].Address = "127.0.0.1:1"
	l.view.replace(leaving, nil, first.Add(time.Minute))
	since, ok := l.LeavingSince("b1")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, since, qt.Equals, first)
}

// Guards against the roster of a data centre that is no longer there: it would keep
// its members, on the instance that reads the platform and on those that ask it.
func TestMissingRosterIsRemoved(t *testing.T) {
	now := time.Unix(0, 0)
	var relay, follower view
	relay.origin = 42
	relay.replace(nil, []Roster{{DataCentre: "centro-a"}, {DataCentre: "centro-b"}}, now)
	follower.apply(relay.changesSince(FleetRequest{}), now)
	qt.Assert(t, relay.replace(nil, []Roster{{DataCentre: "centro-a"}}, now), qt.IsTrue)
	follower.apply(relay.changesSince(FleetRequest{Origin: follower.origin, Revision: follower.revision}), now)
	for _, v := range []*view{&relay, &follower} {
		qt.Assert(t, v.rosters, qt.HasLen, 1)
		qt.Assert(t, v.rosters["centro-a"].DataCentre, qt.Equals, identifier.DataCentre("centro-a"))
	}
}

// listedStates returns the states of all entries by ID.
func listedStates(v *view) map[string]State {
	states := map[string]State{}
	for id, e := range v.entries {
		states[id] = e.State
	}
	return states
}
