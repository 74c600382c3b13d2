package replacer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against commits that one promotion discards and the next brings back, which all reads in between lack (STALE).
func TestReplacedPrimaryIsNotPromotedWithDiscardedCommits(t *testing.T) {
	returned, first := 0, ""
	for seed := range uint64(30) {
		m := playModel(t, seed, true, noDefect, []modelFault{
			{Kind: "deaf replica", At: seconds(4), Duration: seconds(14), Target: 0},
			{Kind: "deaf replica", At: seconds(4), Duration: seconds(14), Target: 1},
			{Kind: "crash", At: seconds(5), Duration: seconds(5)},
			{Kind: "deaf replica", At: seconds(9), Duration: seconds(9), Target: 0}, // The replaced primary.
			{Kind: "crash", At: seconds(13), Duration: seconds(5)},
		})
		qt.Assert(t, m.promoted >= 2, qt.IsTrue, qt.Commentf("seed %d", seed))
		for c := m.primary.log; c != nil; c = c.previous {
			if c.discarded && !c.acked.IsZero() {
				returned++
				first = c.position().String()
			}
		}
	}
	qt.Assert(t, returned, qt.Equals, 0, qt.Commentf("acknowledged commits that are back, one of them %s", first))
}
