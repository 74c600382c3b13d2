package ratelimiter

import (
	"math"
	"slices"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// bucket holds the tokens of one workspace at this instance.
type bucket struct {
	tokens       float64 // From the own fraction, at most its part of the burst.
	grants       []grant // In order of expiry.
	refilledAt   time.Time
	missing      float64   // Tokens that the bucket lacked at the start of the process, less the operations refused since.
	missingUntil time.Time // When the refill has made up for them.
	demand       movingRate
	admitted     movingRate
	waiting      int // Operations that wait for a grant.
	queued       int // Operations that wait for a refill.
	denials      int // Peers in a row that had no tokens for the operations that wait.
	inFlight     []requestInFlight
	missedAt     time.Time // When an operation last found no token; zero once it got one or gave up.
	backoffUntil time.Time
	requestEnded chan struct{} // Closed when a request in flight ends.
	retries      retrySchedule // Of the callers that this instance refused.
	denied       retrySchedule // Of the peers that got no token.
}

// requestInFlight is a request to a peer that has not ended.
type requestInFlight struct {
	peer   identifier.InstanceID
	sentAt time.Time
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

// isAwaiting reports whether a request to the peer is in flight.
func (b *bucket) isAwaiting(peer identifier.InstanceID) bool {
	return slices.ContainsFunc(b.inFlight, func(r requestInFlight) bool { return r.peer == peer })
}

// isDueToStart counts a part of a refused operation. It reports whether a bucket
// that had been full at the start of the process would have had a token for it.
func (b *bucket) isDueToStart(now time.Time, part float64) bool {
	if b.missing < part || !now.Before(b.missingUntil) {
		return false
	}
	b.missing -= part
	return true
}

// refill adds the tokens for the time since the last call. The rest of expired
// grants joins the own tokens, up to their capacity.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	for len(b.grants) > 0 && !now.Before(b.grants[0].expires) {
		b.tokens += b.grants[0].tokens
		b.grants = b.grants[1:]
	}
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.refilledAt = now
		b.tokens += rate * elapsed
	}
	b.tokens = min(b.tokens, capacity)
}

// movingRate is a moving average of events per second. The zero value is ready
// to use.
type movingRate struct {
	value float64 // At asOf.
	asOf  time.Time
}

// add counts an event.
func (r *movingRate) add(now time.Time) {
	r.value = r.at(now) + 1/demandWindow.Seconds()
	r.asOf = now
}

// at returns the rate decayed to now.
func (r *movingRate) at(now time.Time) float64 {
	return r.value * math.Exp(-max(0, now.Sub(r.asOf).Seconds())/demandWindow.Seconds())
}
