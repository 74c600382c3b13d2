package sharer

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the moving average. With 0.5
	// s, the estimate for a workspace with 2 requests a second on each instance
	// was so noisy that its shares moved with almost every request.
	demandTimeConstant = 2 * time.Second
	// maxIdleGaps is the number of mean gaps between arrivals after which the
	// estimate falls faster. A workload that moved to another instance then
	// frees its share at once. With Poisson arrivals, 0.25% of the gaps are
	// longer than this.
	maxIdleGaps = 6
)

// demand estimates the rate, in tokens a second, that is requested of this
// instance. Refused requests count too.
type demand struct {
	rate    float64
	updated time.Time
}

// add counts an arrival.
func (d *demand) add(cost float64, now time.Time) {
	d.decay(now)
	d.rate += cost / demandTimeConstant.Seconds()
}

// rateAt returns the estimated rate at the given time.
func (d *demand) rateAt(now time.Time) float64 {
	elapsed := max(0, now.Sub(d.updated).Seconds())
	decayed := d.rate * math.Exp(-elapsed/demandTimeConstant.Seconds())
	if elapsed*d.rate > maxIdleGaps {
		decayed *= math.Exp(-(elapsed*d.rate - maxIdleGaps))
	}
	return decayed
}

func (d *demand) decay(now time.Time) {
	elapsed := max(0, now.Sub(d.updated).Seconds())
	d.rate *= math.Exp(-elapsed / demandTimeConstant.Seconds())
	d.updated = now
}
