package scheduler

import "time"

const (
	// rateSamples is the number of dispatches over which the interval between
	// two dispatches is averaged.
	rateSamples = 16
	// minRateSamples is the number of dispatches from which on the average is
	// used. A single one may follow an unusually long statement.
	minRateSamples = 4
	// rateMemory is the time after which the average is forgotten if no
	// statement waited.
	rateMemory = time.Second
)

// rate is the observed rate of service: the average interval between two
// dispatches while statements wait.
type rate struct {
	mean    time.Duration
	samples int
	last    time.Time // The last dispatch, or when statements began to wait after it.
}

// begin records that statements begin to wait.
func (r *rate) begin(now time.Time) {
	if now.Sub(r.last) > rateMemory {
		r.mean, r.samples = 0, 0
	}
	r.last = now
}

// record records a dispatch.
func (r *rate) record(now time.Time) {
	r.samples = min(r.samples+1, rateSamples)
	r.mean += (now.Sub(r.last) - r.mean) / time.Duration(r.samples)
	r.last = now
}

// interval returns the average interval, 0 if it is not known. It grows while no
// statement is dispatched.
func (r *rate) interval(now time.Time) time.Duration {
	if r.samples < minRateSamples {
		return 0
	}
	if gap := now.Sub(r.last); gap > r.mean {
		return r.mean + (gap-r.mean)/rateSamples
	}
	return r.mean
}
