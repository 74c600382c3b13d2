package placer

import "time"

const (
	// startWidth is the number of statements that an instance keeps
	// outstanding at a server that it has not used yet.
	startWidth = 3
	maxWidth   = 16
	// widthGain is the growth for each answer without a wait.
	widthGain = 0.2
	// widthLoss is the factor on an answer that had to wait, once in
	// lossPause: the answers of one queue tell the same.
	widthLoss = 0.6
	lossPause = 100 * time.Millisecond
	// An answer had to wait if it took waitRatio times the usual, and
	// leastWait at least.
	waitRatio = 4
	leastWait = 90 * time.Millisecond
	// usualWeight is the number of answers over which the usual time is
	// averaged. Answers that had to wait do not count.
	usualWeight = 32
)

// window is the number of statements to keep outstanding at one server, by
// additive increase and multiplicative decrease. Statements beyond it wait at
// this instance, where they can be ordered and refused in time; at the server
// each of them and each new connection would make the others slower. It answers
// the load of a primary whose replicas all lag, so that it gets every read.
type window struct {
	width  float64
	usual  time.Duration // Averaged time of answers that did not wait.
	lossAt time.Time
}

func (w *window) current() int {
	if w.width == 0 {
		return startWidth
	}
	return int(w.width)
}

// answered counts an answer.
func (w *window) answered(took time.Duration, now time.Time) {
	if w.usual == 0 {
		w.usual = took
	}
	if took > max(leastWait, waitRatio*w.usual) {
		w.lose(now)
		return
	}
	w.usual += (took - w.usual) / usualWeight
	w.width = min(w.base()+widthGain, maxWidth)
}

// lose counts an answer that had to wait, a refusal for load, or silence.
func (w *window) lose(now time.Time) {
	if now.Sub(w.lossAt) < lossPause {
		return
	}
	w.lossAt = now
	w.width = max(1, w.base()*widthLoss)
}

func (w *window) base() float64 {
	if w.width == 0 {
		return startWidth
	}
	return w.width
}
