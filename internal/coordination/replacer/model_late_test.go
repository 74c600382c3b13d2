package replacer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	// minLateness and maxLateness bound the time from the request of an unanswered
	// promotion until it is executed.
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
)

// lateLimit returns the limit of a platform on which promotions are as late as the
// faults make them.
func lateLimit(faults []modelFault) time.Duration {
	for _, f := range faults {
		if f.Kind == "unanswered promotion" {
			return maxLateness + maxPromotionDelay
		}
	}
	return minLateness + maxPromotionDelay
}

// latePromotionScenarios are ways to a promotion that is executed after another
// server was promoted. The first promotion is not answered in any of them.
var latePromotionScenarios = map[string][]modelFault{
	// The successor falls behind, and the draining primary is promoted again.
	"reinstated primary": {
		{Kind: "unanswered promotion", At: seconds(4), Duration: seconds(2)},
		{Kind: "drain", At: seconds(5), Duration: seconds(30)},
	},
	"successor drains": {
		{Kind: "unanswered promotion", At: seconds(4), Duration: seconds(7)},
		{Kind: "crash", At: seconds(5), Duration: seconds(3)},
		{Kind: "drain", At: seconds(9.5), Duration: seconds(25)},
	},
	"successor crashes": {
		{Kind: "unanswered promotion", At: seconds(4), Duration: seconds(7)},
		{Kind: "crash", At: seconds(5), Duration: seconds(3)},
		{Kind: "crash", At: seconds(9.5), Duration: seconds(3)},
	},
	// The repeated promotion is refused, and another server is chosen.
	"successor crashes before it leads": {
		{Kind: "unanswered promotion", At: seconds(4), Duration: seconds(7)},
		{Kind: "crash", At: seconds(5), Duration: seconds(14)},
		{Kind: "crash of the successor", AfterSuccessor: true, At: seconds(0.5), Duration: seconds(5)},
	},
	// Only the holder that has ended has requested the promotion that is not answered.
	"holder ends": {
		{Kind: "unanswered promotion", At: seconds(4), Duration: seconds(10)},
		{Kind: "crash", At: seconds(5), Duration: seconds(9)},
		{Kind: "restart of the holder", AfterSuccessor: true, At: seconds(0.3), Duration: seconds(9)},
		{Kind: "drain", At: seconds(14.2), Duration: seconds(20)},
	},
}

// lateScenarioSeeds is the number of plays of each scenario. Not each play breaks a rule without the wait for
// unanswered promotions: of 12 plays of "reinstated primary" none did in 5 of 50 runs.
const lateScenarioSeeds = 48

// Guards against a late promotion that replaces a primary promoted meanwhile, where tokens are not checked (ONE).
func TestLatePromotionDoesNotReplaceALaterPrimary(t *testing.T) {
	for name, faults := range latePromotionScenarios {
		t.Run(name, func(t *testing.T) {
			for _, fenced := range []bool{false, true} {
				broken, first, promoted := 0, "", 0
				for seed := range uint64(lateScenarioSeeds) {
					m := playModel(t, seed, fenced, noDefect, faults)
					if broken == 0 && len(m.broken) > 0 {
						first = m.broken[0]
					}
					broken += len(m.broken)
					promoted += m.promoted
				}
				qt.Check(t, broken, qt.Equals, 0, qt.Commentf("fenced %t, first: %s", fenced, first))
				qt.Check(t, promoted >= lateScenarioSeeds, qt.IsTrue)
			}
		})
	}
}

// Guards against scenarios that cannot fail: without the wait for unanswered promotions, a replaced primary runs a write in each.
func TestLatePromotionScenariosNeedOpenPromotions(t *testing.T) {
	for name, faults := range latePromotionScenarios {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(lateScenarioSeeds) {
				if len(playModel(t, seed, false, noOpenPromotions, faults).broken) > 0 {
					return
				}
			}
			t.Fatal("no play broke a rule")
		})
	}
}

// Guards against a service without a primary for longer than an unanswered promotion may be late.
func TestUnansweredPromotionBlocksAServiceOnlyUntilItsLimit(t *testing.T) {
	const answered = 10 * time.Second // The first promotion is requested and given up before.
	for seed := range uint64(10) {
		m := playModel(t, seed, false, noDefect, []modelFault{
			{Kind: "unanswered promotion", At: seconds(4), Duration: seconds(10)},
			{Kind: "crash", At: seconds(5), Duration: seconds(40)},
			{Kind: "crash of the successor", AfterSuccessor: true, At: seconds(0.5), Duration: seconds(40)},
		})
		first := m.primary.log
		for c := first; c != nil && c.end.Term == m.term; c = c.previous {
			first = c
		}
		qt.Assert(t, m.promoted, qt.Equals, 1, qt.Commentf("seed %d", seed))
		qt.Assert(t, first.end.Term, qt.Equals, m.term, qt.Commentf("seed %d", seed))
		qt.Assert(t, first.acked.Sub(m.start) < answered+maxLateness+maxPromotionDelay+4*time.Second, qt.IsTrue,
			qt.Commentf("seed %d: first write after %v", seed, first.acked.Sub(m.start)))
	}
}

// lateFaultKinds are the faults of the tests of late promotions.
var lateFaultKinds = []string{
	"unanswered promotion", "unanswered promotion", "unanswered promotion", "drain", "crash", "crash of a server",
	"restart of the holder", "restart", "deaf replica", "late promotions", "cut from peers", "cut from store",
}

// Guards against late promotions in combination with other faults (ONE).
func TestModelKeepsOnePrimaryWithLatePromotions(t *testing.T) {
	promoted := 0
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt, lateFaultKinds)
		fenced := rapid.Bool().Draw(rt, "fenced")
		m := playModel(t, rapid.Uint64().Draw(rt, "seed"), fenced, noDefect, faults)
		promoted += m.promoted
		if len(m.broken) > 0 {
			rt.Fatalf("%d broken, first: %s", len(m.broken), m.broken[0])
		}
	})
	t.Logf("%d promotions", promoted)
	qt.Assert(t, promoted > 0, qt.IsTrue)
}
