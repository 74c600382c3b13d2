package sharer_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
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
