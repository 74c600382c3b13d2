package measurer

// expectedRow is the model of a row that only one session writes. It bounds the
// values that a consistent read may return. Each write stores the next value,
// and only over a smaller one.
type expectedRow struct {
	acknowledged   int64 // Highest value whose write was acknowledged.
	attempted      int64 // Highest value that may have been stored.
	acceptNextRead bool  // The next read sets the lower bound anew.
}

// nextValue returns the value of the next write.
func (r *expectedRow) nextValue() int64 {
	r.attempted++
	return r.attempted
}

// acknowledge records that the write of a value was acknowledged.
func (r *expectedRow) acknowledge(value int64) { r.acknowledged = max(r.acknowledged, value) }

// positionLost records the proxy's error that the session's position is no
// longer reachable, so that acknowledged writes may be missing.
func (r *expectedRow) positionLost() { r.acceptNextRead = true }

// checkRead reports whether a value that was read is consistent with the
// session's writes: it includes all acknowledged ones, and none that was never
// attempted.
func (r *expectedRow) checkRead(value int64) bool {
	if r.acceptNextRead {
		r.acceptNextRead, r.acknowledged = false, value
		return value <= r.attempted
	}
	// Reads are monotonic: later ones must not return a smaller value.
	ok := value >= r.acknowledged && value <= r.attempted
	r.acknowledged = max(r.acknowledged, min(value, r.attempted))
	return ok
}
