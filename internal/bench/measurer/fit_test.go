package measurer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/bench/measurer"
)

// Guards against slopes that are wrong by a factor. All figures of
// docs/CAPACITY.md are derived from them.
func TestFitFindsLine(t *testing.T) {
	f := measurer.NewFit("links", "bytes per link", []measurer.Point{{10, 130}, {20, 230}, {40, 430}, {80, 830}})
	qt.Assert(t, f.Slope > 9.999 && f.Slope < 10.001, qt.IsTrue)
	qt.Assert(t, f.Intercept > 29.99 && f.Intercept < 30.01, qt.IsTrue)
	qt.Assert(t, f.StandardError < 1e-6, qt.IsTrue)
	qt.Assert(t, f.At(100) > 1029.9 && f.At(100) < 1030.1, qt.IsTrue)

	noisy := measurer.NewFit("links", "bytes per link", []measurer.Point{{10, 100}, {20, 300}, {40, 300}, {80, 900}})
	qt.Assert(t, noisy.StandardError > 0.5, qt.IsTrue)
}
