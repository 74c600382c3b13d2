package replacer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

func candidate(id string, draining bool, term, offset uint64) Candidate {
	return Candidate{
		Server: cataloger.BackendServer{ID: identifier.BackendServerID(id), Draining: draining},
		Member: requester.ServerStatus{Received: identifier.Position{
			Term: identifier.Term(term), Offset: identifier.LogOffset(offset),
		}},
	}
}

// Guards against the loss of commits through the promotion of a replica that is
// behind another, and against the promotion of a draining server unless
// acknowledged commits would be lost otherwise.
func TestChooseSuccessorPrefersTheMostAdvanced(t *testing.T) {
	for _, test := range []struct {
		name       string
		candidates []Candidate
		want       identifier.BackendServerID
		wantAll    identifier.BackendServerID // If nothing that a candidate has may be lost.
	}{
		{"offset", []Candidate{candidate("a", false, 3, 7), candidate("b", false, 3, 9)}, "b", "b"},
		{"term before offset", []Candidate{candidate("a", false, 4, 2), candidate("b", false, 3, 9)}, "a", "a"},
		{"draining", []Candidate{candidate("a", false, 3, 7), candidate("b", true, 3, 9)}, "a", "b"},
		{"draining and equal", []Candidate{candidate("a", true, 3, 9), candidate("b", false, 3, 9), candidate("c", false, 3, 7)}, "b", "b"},
		{"draining and behind", []Candidate{candidate("a", false, 3, 9), candidate("b", true, 3, 7)}, "a", "a"},
		{"equal", []Candidate{candidate("b", false, 3, 7), candidate("a", false, 3, 7)}, "a", "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, ok := ChooseSuccessor(test.candidates, false)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, c.Server.ID, qt.Equals, test.want)
			c, ok = ChooseSuccessor(test.candidates, true)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, c.Server.ID, qt.Equals, test.wantAll)
		})
	}
	_, ok := ChooseSuccessor([]Candidate{candidate("a", true, 1, 1)}, false)
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = ChooseSuccessor(nil, true)
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against two instances that perform the same failover, and against a
// failover that nobody completes after its holder has failed.
func TestReplacementIsAvailable(t *testing.T) {
	taken := cataloger.Leadership{Holder: "one", Term: 4, Revision: cataloger.Revision{Number: 9}}
	finished := cataloger.Leadership{Server: "b", Term: 4, Revision: cataloger.Revision{Number: 9}}
	qt.Check(t, isAvailable(cataloger.Leadership{}, "two", 0), qt.IsTrue)
	qt.Check(t, isAvailable(finished, "two", 0), qt.IsTrue)
	qt.Check(t, isAvailable(taken, "one", 0), qt.IsTrue)
	qt.Check(t, isAvailable(taken, "two", time.Second), qt.IsFalse)
	qt.Check(t, isAvailable(taken, "two", TakeoverTimeout), qt.IsTrue)
}

// Guards against all instances starting a failover at the same moment.
func TestRankDelaysDiffer(t *testing.T) {
	watchers := []identifier.InstanceID{"one", "two", "three"}
	delays := map[time.Duration]bool{}
	for _, id := range watchers {
		delays[RankDelay("rentals", id, watchers)] = true
	}
	qt.Assert(t, delays, qt.DeepEquals, map[time.Duration]bool{0: true, delayPerRank: true, 2 * delayPerRank: true})
	qt.Assert(t, RankDelay("rentals", "four", watchers), qt.Equals, maxRankDelay)
	qt.Assert(t, RankDelay("rentals", "one", nil), qt.Equals, time.Duration(0))
}

// Guards against a partitioned instance that replaces a primary which only it
// cannot reach, and against a primary that nobody replaces because most of the
// instances are in the data centre that was cut off with it.
func TestSightingsThatAllowReplacement(t *testing.T) {
	for _, test := range []struct {
		name       string
		sightings  PeerSightings
		registered bool
		reached    int
		want       bool
	}{
		{"a peer has seen it lead", PeerSightings{Asked: 14, Answered: 14, Led: true}, true, 2, false},
		{"a peer has seen it lead after its entry lapsed", PeerSightings{Asked: 14, Answered: 14, Led: true}, false, 2, false},
		{"most peers answer", PeerSightings{Asked: 14, Answered: 7}, true, 2, true},
		{"few peers answer", PeerSightings{Asked: 14, Answered: 1}, true, 1, true},
		{"no peer answers", PeerSightings{Asked: 14}, true, 2, false},
		{"no server answers", PeerSightings{Asked: 14, Answered: 14}, true, 0, false},
		{"the only instance", PeerSightings{}, true, 2, true},
		{"alone after its entry lapsed", PeerSightings{Asked: 14}, false, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.sightings.allowsReplacement(test.registered, test.reached), qt.Equals, test.want)
		})
	}
}
