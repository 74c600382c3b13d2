package replacer_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against reads on a log that lacks a commit which was acknowledged longer ago
// than the reads allow (STALE), whatever becomes of a replacement.
func TestModelReadsHaveAcknowledgedCommits(t *testing.T) {
	reads := 0
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt, slices.Concat(faultKinds, groupFaultKinds))
		fenced := rapid.Bool().Draw(rt, "fenced")
		m := playModel(t, rapid.Uint64().Draw(rt, "seed"), fenced, noDefect, faults)
		reads += len(m.reads)
		if len(m.stale) > 0 {
			rt.Fatalf("%d stale, first: %s", len(m.stale), m.stale[0])
		}
	})
	t.Logf("%d reads", reads)
	qt.Assert(t, reads > 0, qt.IsTrue)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// staleScenarios are the ways in which reads on old logs were seen during a
// replacement. Replicas that are deaf lack commits that are kept in the end.
var staleScenarios = map[string]func(seed uint64) []modelFault{
	// The old primary is back, and the replicas receive the rest of its log, before
	// the promotion is executed.
	"promotion without an answer": func(uint64) []modelFault {
		return []modelFault{
			{Kind: "deaf replica", At: seconds(4), Duration: seconds(3.5), Target: 0},
			{Kind: "deaf replica", At: seconds(4), Duration: seconds(3.5), Target: 1},
			{Kind: "late promotions", At: seconds(5), Duration: seconds(10)},
			{Kind: "crash", At: seconds(5.5), Duration: seconds(1.2)},
		}
	},
	// The successor receives the rest of the log before it leads.
	"cut that ends before the successor leads": func(seed uint64) []modelFault {
		return []modelFault{{Kind: "primary cut", At: seconds(5), Duration: seconds(2.4 + float64(seed)/60), Target: 2}}
	},
	// The holder tells the end of the replacement to the others but not to the store,
	// and some instances start.
	"end that is not stored": func(uint64) []modelFault {
		return []modelFault{
			{Kind: "drain", At: seconds(5), Duration: seconds(12)},
			{Kind: "cut of the holder from store", AfterSuccessor: true, Duration: seconds(8)},
			{Kind: "deaf replica", AfterSuccessor: true, Duration: seconds(8), Target: 0},
			{Kind: "deaf replica", AfterSuccessor: true, Duration: seconds(8), Target: 1},
			{Kind: "restart of others", AfterSuccessor: true, At: seconds(0.6), Duration: seconds(0.2)},
		}
	},
	// The new primary crashes before a replica has received anything from it, while the old
	// one is back and still has commits that the promotion discarded.
	"discarded commits that are back": func(seed uint64) []modelFault {
		return []modelFault{
			{Kind: "deaf replica", At: seconds(4), Duration: seconds(16), Target: 0},
			{Kind: "deaf replica", At: seconds(4), Duration: seconds(16), Target: 1},
			{Kind: "crash", At: seconds(6), Duration: seconds(3)},
			{Kind: "deaf replica", At: seconds(8.8), Duration: seconds(12), Target: 0},
			{Kind: "deaf replica", At: seconds(8.8), Duration: seconds(12), Target: 1},
			{Kind: "crash", At: seconds(12 + float64(seed)/20), Duration: seconds(5)},
		}
	},
	// The successor crashes before it leads, and the old primary, which is back, is
	// chosen in its place.
	"old primary that leads again": func(uint64) []modelFault {
		return []modelFault{
			{Kind: "deaf replica", At: seconds(4), Duration: seconds(9), Target: 0},
			{Kind: "deaf replica", At: seconds(4), Duration: seconds(9), Target: 1},
			{Kind: "crash", At: seconds(6), Duration: seconds(1.5)},
			{Kind: "crash replica", At: seconds(7.1), Duration: seconds(6), Target: 0},
		}
	},
}

// Guards against each way to a read on an old log that was seen during a replacement.
func TestReadsInAReplacementHaveAcknowledgedCommits(t *testing.T) {
	for name, faults := range staleScenarios {
		t.Run(name, func(t *testing.T) {
			stale, first := 0, ""
			for seed := range uint64(30) {
				m := playModel(t, seed, true, noDefect, faults(seed))
				qt.Assert(t, m.promoted > 0 || len(m.reads) > 0, qt.IsTrue)
				if stale == 0 && len(m.stale) > 0 {
					first = m.stale[0]
				}
				stale += len(m.stale)
			}
			qt.Assert(t, stale, qt.Equals, 0, qt.Commentf("first: %s", first))
		})
	}
}
