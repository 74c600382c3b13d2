package dispatcher

import (
	"math"
	"slices"
	"time"
)

const (
	// demandPeriod is the time constant with which a flow's demand decays.
	demandPeriod = time.Second
	// allocationPeriod is how long an allocation is used before it is computed
	// again.
	allocationPeriod = 20 * time.Millisecond
	// heavyRatio is the demand relative to the fair rate above which a flow is
	// heavy. It is well above 1 because demands vary by chance, and because
	// rising latencies raise the demands of all flows alike.
	heavyRatio = 4
	// minHeavyPart is the minimum part of the window for the heavy flows together.
	minHeavyPart = 0.2
)

// demand is the service time that a flow requests per second, as an
// exponentially decaying rate. It counts requested and not received service
// time: by received time, a paced flow would seem to demand little, and a flow
// that waits behind it would seem to demand much.
type demand struct {
	rate      float64
	updatedAt time.Time
}

// add counts the service time of a statement that arrives.
func (d *demand) add(service time.Duration, now time.Time) {
	d.rate = d.now(now) + service.Seconds()/demandPeriod.Seconds()
	d.updatedAt = now
}

// now returns the rate, decayed to the given time.
func (d *demand) now(now time.Time) float64 {
	return d.rate * math.Exp(-max(0, now.Sub(d.updatedAt).Seconds())/demandPeriod.Seconds())
}

// allocation is the max-min fair division of the window: flows that demand less
// than the fair rate get all that they demand, and what remains of the window is
// divided between the others by weight.
type allocation struct {
	fairRate   float64 // For a weight of 1; infinite if all demands fit in the window.
	heavyRate  float64 // Rate of service time for the heavy flows together.
	computedAt time.Time
}

// compute divides the window between the flows and marks the heavy ones.
func (alloc *allocation) compute(flows []*flow, window float64, now time.Time) {
	slices.SortFunc(flows, func(a, b *flow) int {
		x, y := a.demand.now(now)/a.weight, b.demand.now(now)/b.weight
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	weights := 0.0
	for _, f := range flows {
		weights += f.weight
	}
	*alloc = allocation{fairRate: math.Inf(1), computedAt: now}
	remaining := window
	for _, f := range flows {
		rate := f.demand.now(now)
		if rate/f.weight > remaining/weights {
			alloc.fairRate = remaining / weights
			break
		}
		remaining -= rate
		weights -= f.weight
	}
	alloc.heavyRate = window
	for _, f := range flows {
		f.heavy = f.demand.now(now)/f.weight > heavyRatio*alloc.fairRate
		if !f.heavy {
			alloc.heavyRate -= f.demand.now(now)
		}
	}
	alloc.heavyRate = max(alloc.heavyRate, minHeavyPart*window)
}
