package sharer_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/sharer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

// Guards against an instance that joins a running fleet and never gets a share,
// because no epoch is opened for it.
func TestJoinsRunningFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 1, exampleLimits())
		defer f.close()
		for range 3 {
			f.add("dc0")
		}
		time.Sleep(5 * time.Second) // Virtual time, in which the fractions are issued.
		f.add("dc1")
		n := f.nodes[3]
		w := f.names[0]
		_ = n.sharer.Admit(t.Context(), w, 1) // The first request may be refused.
		time.Sleep(2 * time.Second)
		qt.Assert(t, n.sharer.Admit(t.Context(), w, 1), qt.IsNil)
	})
}

// Guards against callers inside their rate that are refused because the fleet has
// just started and no fraction is issued yet, or because their instance does not
// know yet who holds one.
func TestFirstRequestsWaitForTheStart(t *testing.T) {
	for _, test := range []struct {
		name     string
		before   time.Duration // From the start of the others to that of the last instance.
		requests time.Duration // From there to the first request.
	}{
		{"all start together", 0, 0},
		{"request after 100 ms", 0, 100 * time.Millisecond},
		{"one joins later", 5 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t.Context(), 1, map[identifier.WorkspaceName]limiter.Limit{"w": {Rate: 1000, Burst: 1000}})
				defer f.close()
				for i := range 3 {
					f.add(dataCentre(i))
				}
				time.Sleep(test.before)
				f.add("dc1")
				time.Sleep(test.requests)
				for _, n := range f.nodes {
					qt.Assert(t, n.sharer.Admit(t.Context(), "w", 1), qt.IsNil, qt.Commentf("instance %s", n.peer.ID))
				}
			})
		})
	}
}

// Guards against requests of a caller over its rate that are held although the
// tokens are known to be spent.
func TestStartDoesNotHoldRequestsOverTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 1, map[identifier.WorkspaceName]limiter.Limit{"w": {Rate: 1, Burst: 2}})
		defer f.close()
		f.add("dc0")
		f.add("dc1")
		qt.Assert(t, f.nodes[0].sharer.Admit(t.Context(), "w", 1), qt.IsNil)
		started := time.Now()
		err := f.nodes[0].sharer.Admit(t.Context(), "w", 2)
		qt.Assert(t, errors.Is(err, sharer.ErrOverRate), qt.IsTrue)
		qt.Assert(t, time.Since(started) < 100*time.Millisecond, qt.IsTrue)
	})
}
