package promoter_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/state/identifier"
)

// Guards against querying peers in another order than the one in which the
// instances make their attempts.
func TestRankedFollowsRank(t *testing.T) {
	live := []identifier.InstanceID{"a", "b", "c", "d", "e", "f"}
	for i, id := range promoter.SortByRank("rentas-core-1", live) {
		qt.Assert(t, promoter.Rank("rentas-core-1", id, live), qt.Equals, i)
	}
}
