package tracker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/tracker"
)

// Guards against a wake that is not noticed by the first call after it, and against one without a suspension.
func TestWakeIsNoticedAtOnce(t *testing.T) {
	suspended := time.Hour
	d := tracker.WakeDetector{Suspended: func() time.Duration { return suspended }}
	qt.Assert(t, d.LastWake().IsZero(), qt.IsTrue)
	suspended += time.Millisecond // The two clocks are not read at the same instant.
	qt.Assert(t, d.LastWake().IsZero(), qt.IsTrue)
	suspended += 20 * time.Millisecond
	before := time.Now()
	wake := d.LastWake()
	qt.Assert(t, wake.Before(before), qt.IsFalse)
	qt.Assert(t, d.LastWake(), qt.Equals, wake)
}
