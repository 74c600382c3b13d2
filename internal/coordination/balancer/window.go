package balancer

import "time"

const (
	// initialWindow is the window of a server that this instance has not used
	// yet.
	initialWindow = 3
	maxWindow     = 16
	// windowIncrease is added for each answer that was not queued.
	windowIncrease = 0.2
	// windowDecrease is the factor for an answer that was queued. It applies at
	// most once per minDecreaseInterval, because all answers of one queue are
	// evidence of the same overload.
	windowDecrease      = 0.6
	minDecreaseInterval = 100 * time.Millisecond
	// An answer counts as queued at the server if it took longer than
	// queuedLatencyRatio times the baseline and longer than minQueuedLatency.
	queuedLatencyRatio = 4
	minQueuedLatency   = 90 * time.Millisecond
	// baselineAverageCount is the number of answers over which the baseline is
	// averaged. Queued answers do not count.
	baselineAverageCount = 32
)

// window limits the number of statements that are outstanding at one server. It
// adapts by additive increase and multiplicative decrease. Statements beyond the
// limit wait at this instance, where they can be ordered and refused in time; at
// the server each of them, and each new connection, would slow down the others.
// It protects a primary that gets every read because all its replicas lag.
type window struct {
	size        float64
	baseline    time.Duration // Average latency of answers that were not queued.
	decreasedAt time.Time
}

// limit returns the number of statements that may be outstanding.
func (w *window) limit() int {
	if w.size == 0 {
		return initialWindow
	}
	return int(w.size)
}

// recordAnswer grows the window, or shrinks it if the answer was queued.
func (w *window) recordAnswer(took time.Duration, now time.Time) {
	if w.baseline == 0 {
		w.baseline = took
	}
	if took > max(minQueuedLatency, queuedLatencyRatio*w.baseline) {
		w.decrease(now)
		return
	}
	w.baseline += (took - w.baseline) / baselineAverageCount
	w.size = min(w.currentSize()+windowIncrease, maxWindow)
}

// decrease shrinks the window after a queued answer, a refusal because of load,
// or a missing answer.
func (w *window) decrease(now time.Time) {
	if now.Sub(w.decreasedAt) < minDecreaseInterval {
		return
	}
	w.decreasedAt = now
	w.size = max(1, w.currentSize()*windowDecrease)
}

// currentSize returns the size before rounding down.
func (w *window) currentSize() float64 {
	if w.size == 0 {
		return initialWindow
	}
	return w.size
}
