package dispatcher

import (
	"math"
	"time"
)

const (
	// minWindowRatio is the initial and the minimum window relative to this
	// instance's part of the server's slots. It is below 1 because the wait
	// inside a fully used server is unbounded if the length of statements
	// varies.
	minWindowRatio = 0.75
	// growRatio and shrinkRatio are geometric mean latencies, relative to the
	// lowest mean seen, below which the window grows and above which it shrinks.
	// The geometric mean reacts more to a short wait than the arithmetic mean,
	// because such a wait multiplies the latency of short statements.
	growRatio   = 1.4
	shrinkRatio = 1.6
	// windowIncrease is the relative growth per statement. With it, an instance
	// that receives the traffic of all instances uses the whole server within
	// seconds.
	windowIncrease = 0.01
	// windowDecrease is the factor by which a high latency reduces the window.
	windowDecrease = 0.8
	// decreaseSpacing is the minimum number of statements between two decreases,
	// so that the average reflects the effect of the previous one.
	decreaseSpacing = 10
	// baselinePeriod is the length of a period of the baseline. The lowest mean
	// latency of the current and the previous period counts, so that a server
	// that has become permanently slower gets a new baseline.
	baselinePeriod = 5 * time.Minute
	// averageWeight is the weight of one statement in the moving average of the
	// latency.
	averageWeight = 0.01
	// warmUpStatements is the number of first statements whose latencies are
	// ignored. The average starts as the mean of the same number of statements
	// after them.
	warmUpStatements = 50
)

// window is the number of statements that this instance may keep outstanding on
// average. It grows by a factor per statement while the latency is low and there
// is a queue, and shrinks by a factor when the latency is high. Below 1 it bounds
// the rate of starts: with more instances than slots, one statement of each
// instance already overloads the backend server.
type window struct {
	size             float64 // 0 until the first use.
	meanLog          float64 // Mean logarithm of the latency in seconds.
	baseline         float64 // Lowest meanLog of the current period.
	previousBaseline float64 // Lowest meanLog of the previous period.
	periodStart      time.Time
	samples          int
	sinceDecrease    int // Statements since the last decrease.
}

// observe adjusts the window after a statement. The share is this instance's
// part of the server's slots, limited reports whether statements are waiting,
// and the budget bounds the window.
func (w *window) observe(latency time.Duration, limited bool, share float64, budget int, now time.Time) {
	sample := math.Log(max(latency.Seconds(), 1e-6))
	w.samples++
	switch {
	case w.samples <= warmUpStatements:
		return // Connections are still being opened and demands are not known yet.
	case w.samples <= 2*warmUpStatements:
		w.meanLog += (sample - w.meanLog) / float64(w.samples-warmUpStatements)
		return
	}
	w.meanLog += averageWeight * (sample - w.meanLog)
	w.updateBaseline(now)
	w.sinceDecrease++
	size := w.currentSize(share)
	switch ratio := math.Exp(w.meanLog - min(w.baseline, w.previousBaseline)); {
	case ratio > shrinkRatio && w.sinceDecrease >= decreaseSpacing:
		size *= windowDecrease
		w.sinceDecrease = 0
	case ratio < growRatio && limited:
		size *= 1 + windowIncrease
	}
	w.size = max(minWindowRatio*share, min(size, float64(budget)))
}

// currentSize returns the size, or the initial size before the first adjustment.
func (w *window) currentSize(share float64) float64 {
	if w.size == 0 {
		return minWindowRatio * share
	}
	return w.size
}

// updateBaseline lowers the baseline to the mean and starts a new period when the
// current one has ended.
func (w *window) updateBaseline(now time.Time) {
	switch {
	case w.periodStart.IsZero():
		w.previousBaseline, w.baseline, w.periodStart = w.meanLog, w.meanLog, now
	case now.Sub(w.periodStart) > baselinePeriod:
		w.previousBaseline, w.baseline, w.periodStart = w.baseline, w.meanLog, now
	}
	w.baseline = min(w.baseline, w.meanLog)
}
