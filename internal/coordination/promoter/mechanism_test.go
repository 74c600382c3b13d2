package promoter_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/promoter"
)

// partitionPrimary partitions the primary from the other members and from all
// instances but the last, which has a write right. When another instance has
// claimed a new term, the last instance is also partitioned from the other
// members, and its next writes reach the primary with an extra delay. It returns
// a violation of the guarantees or "", and whether a term was opened.
func partitionPrimary(t *testing.T, disabled disabledMechanisms, writeDelay time.Duration) (violation string, opened bool) {
	var anyOpened atomic.Bool
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m := newModel(1, 3)
		go m.replicate(ctx)
		for n := range 3 {
			i := newInstance(m, fmt.Sprintf("i%d", n), disabled)
			i.onStep = func(e promoter.Event) {
				switch e.Step {
				case promoter.StepDecided:
					m.withLock(func() {
						m.partitioned["i2/m1"], m.partitioned["i2/m2"] = true, true
						m.extraDelay["writei2"] = writeDelay
					})
				case promoter.StepOpened:
					anyOpened.Store(true)
				}
			}
			go i.runUntilDone(ctx)
		}
		_ = sleep(ctx, 2*time.Second)
		m.withLock(func() {
			m.partitioned["m1/m0"], m.partitioned["m2/m0"], m.partitioned["i0/m0"], m.partitioned["i1/m0"] = true, true, true, true
		})
		_ = sleep(ctx, 15*time.Second)
		heal(m)
		_ = sleep(ctx, 5*time.Second)
		violation = m.violation()
		cancel()
		synctest.Wait()
	})
	return violation, anyOpened.Load()
}

// Guards against tests that would pass without the safety mechanisms: each
// mechanism is disabled in turn, and the same check must then find a violation.
func TestEachMechanismIsNeeded(t *testing.T) {
	violation, opened := partitionPrimary(t, disabledMechanisms{}, 4*time.Second)
	qt.Assert(t, violation, qt.Equals, "")
	qt.Assert(t, opened, qt.IsTrue)

	violation, _ = partitionPrimary(t, disabledMechanisms{rightsWait: true}, 0)
	qt.Check(t, violation, qt.Matches, "write .* acknowledged at .*", qt.Commentf("waiting until older write rights have ended"))
	violation, _ = partitionPrimary(t, disabledMechanisms{checkAfterAnswer: true}, 4*time.Second)
	qt.Check(t, violation, qt.Matches, "write .* acknowledged at .*", qt.Commentf("check of the write right after the answer"))

	for name, disabled := range map[string]disabledMechanisms{
		"majority": {majority: true}, "attempt id": {attemptID: true}, "history comparison": {history: true},
		"write right for a floor": {floorRight: true},
	} {
		qt.Check(t, findViolation(t, disabled), qt.Not(qt.Equals), "", qt.Commentf("%s", name))
	}
}

// findViolation returns the violation found by the first of 300 seeds that finds
// one, or "".
func findViolation(t *testing.T, disabled disabledMechanisms) string {
	for seed := range uint64(300) {
		if v, _, _ := simulate(t, seed, 3, 3, disabled); v != "" {
			t.Logf("%+v: seed %d: %s", disabled, seed, v)
			return v
		}
	}
	return ""
}
