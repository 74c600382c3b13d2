package sharer_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/sharer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

// Guards against a planned stop of an instance that loses part of a limit or
// needs a recovery.
func TestLeavingInstanceGivesEverythingAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 3, map[identifier.WorkspaceName]limiter.Limit{"a": {Rate: 50, Burst: 40}, "b": {Rate: 5, Burst: 2}})
		defer f.close()
		for i := range 4 {
			f.add(dataCentre(i))
		}
		p := scheduleRunner{fleet: f, meanGap: 10 * time.Millisecond, loaded: true, changes: map[identifier.WorkspaceName][]change{}, rng: rand.New(rand.NewPCG(3, 3))}
		p.advance(5 * time.Second)
		for range 3 {
			qt.Assert(t, f.leave(f.members[0]), qt.IsNil)
			for w := range f.limits {
				sum := limiter.Fraction(0)
				for _, n := range f.members {
					sum += n.sharer.Held(w).Fraction
				}
				qt.Assert(t, sum, qt.Equals, limiter.Whole)
			}
			p.advance(2 * time.Second)
		}
		p.pending.Wait()
		qt.Assert(t, f.members[0].sharer.Epoch("a"), qt.Equals, uint64(1))
		// The last instance has no peer to drain to, so its stop must count as
		// a removal.
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		qt.Assert(t, errors.Is(f.members[0].sharer.Drain(ctx), sharer.ErrNotDrained), qt.IsTrue)
	})
}
