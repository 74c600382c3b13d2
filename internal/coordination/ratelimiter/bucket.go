package ratelimiter

import (
	"math"
	"time"
)

// bucket holds the tokens of one workspace at this instance.
type bucket struct {
	tokens          float64 // From the own fraction, at most its part of the burst.
	grants          []grant // In order of expiry.
	refilledAt      time.Time
	demand          float64 // Moving average at demandAsOf, in operations per second.
	demandAsOf      time.Time
	requests        int // Requests in a row for the current shortage.
	requestInFlight bool
	queued          int       // Operations that wait for the refill by the own fraction.
	missedAt        time.Time // When an operation last found no token; zero after a request that brought one.
	backoffUntil    time.Time
	requestEnded    chan struct{} // Closed when the request in flight ends.
}

// grant holds the unspent tokens that a peer has transferred.
type grant struct {
	tokens  float64
	expires time.Time
}

// available returns the number of tokens that can be spent now.
func (b *bucket) available() float64 {
	sum := b.tokens
	for _, g := range b.grants {
		sum += g.tokens
	}
	return sum
}

// take spends one token and reports whether there was one. Grants go first,
// because they expire.
func (b *bucket) take() bool {
	if b.available() < 1 {
		return false
	}
	remaining := 1.0
	for len(b.grants) > 0 && remaining > 0 {
		spent := min(remaining, b.grants[0].tokens)
		remaining -= spent
		b.grants[0].tokens -= spent
		if b.grants[0].tokens <= 0 {
			b.grants = b.grants[1:]
		}
	}
	b.tokens -= remaining
	return true
}

// recordArrival adds an operation to the moving average of demand.
func (b *bucket) recordArrival(now time.Time) {
	b.demand = b.demandAt(now) + 1/demandWindow.Seconds()
	b.demandAsOf = now
}

// demandAt returns the demand decayed to now.
func (b *bucket) demandAt(now time.Time) float64 {
	return b.demand * math.Exp(-max(0, now.Sub(b.demandAsOf).Seconds())/demandWindow.Seconds())
}

// refill adds the tokens for the time since the last call. The rest of expired
// grants joins the own tokens, up to their capacity.
func (b *bucket) refill(now time.Time, limit Limit, fraction float64) {
	for len(b.grants) > 0 && !now.Before(b.grants[0].expires) {
		b.tokens += b.grants[0].tokens
		b.grants = b.grants[1:]
	}
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.refilledAt = now
		b.tokens += limit.Rate * fraction * elapsed
	}
	b.tokens = min(b.tokens, limit.Burst*fraction)
}
