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
		Member: requester.Member{Received: identifier.Position{
			Term: identifier.Term(term), Offset: identifier.LogOffset(offset),
		}},
	}
}

// Guards against the loss of commits by a promotion of a replica that was
// behind another, and against one that is about to leave.
func TestChooseTakesTheMostAdvanced(t *testing.T) {
	for _, test := range []struct {
		name string
		all  []Candidate
		want identifier.BackendServerID
	}{
		{"number", []Candidate{candidate("a", false, 3, 7), candidate("b", false, 3, 9)}, "b"},
		{"term before number", []Candidate{candidate("a", false, 4, 2), candidate("b", false, 3, 9)}, "a"},
		{"draining", []Candidate{candidate("a", false, 3, 7), candidate("b", true, 3, 9)}, "a"},
		{"equal", []Candidate{candidate("b", false, 3, 7), candidate("a", false, 3, 7)}, "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, ok := Choose(test.all)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, c.Server.ID, qt.Equals, test.want)
		})
	}
	_, ok := Choose([]Candidate{candidate("a", true, 1, 1)})
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against two instances that work on the same failover, and against a
// failover that ends with its holder.
func TestLeaseIsFree(t *testing.T) {
	taken := Lease{Holder: "one", Term: 4, Revision: 9}
	qt.Check(t, Lease{}.isFree("two", 4, 0), qt.IsTrue)
	qt.Check(t, taken.isFree("one", 4, 0), qt.IsTrue)
	qt.Check(t, taken.isFree("two", 4, time.Second), qt.IsFalse)
	qt.Check(t, taken.isFree("two", 4, takeover), qt.IsTrue)
	qt.Check(t, taken.isFree("two", 5, 0), qt.IsTrue)
}

// Guards against all instances acting at the same moment.
func TestDelaysDiffer(t *testing.T) {
	members := map[identifier.InstanceID]cataloger.Member{"one": {}, "two": {}, "three": {}}
	seen := map[time.Duration]bool{}
	for id := range members {
		seen[Delay("rentals", id, members)] = true
	}
	qt.Assert(t, seen, qt.DeepEquals, map[time.Duration]bool{0: true, rankDelay: true, 2 * rankDelay: true})
}

// Guards against a cut-off instance that takes its own view for the fleet's.
func TestSightMajority(t *testing.T) {
	qt.Check(t, Sight{}.isMajority(), qt.IsTrue)
	qt.Check(t, Sight{Asked: 14, Answered: 7}.isMajority(), qt.IsTrue)
	qt.Check(t, Sight{Asked: 14, Answered: 6}.isMajority(), qt.IsFalse)
}
