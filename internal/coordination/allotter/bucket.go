package allotter

import (
	"math"
	"time"
)

type bucket struct {
	tokens  float64 // Of the own part, within its capacity.
	grants  []grant // The oldest first.
	filled  time.Time
	demand  float64 // Operations a second, averaged.
	seen    time.Time
	asks    int // Peers asked for the present shortage.
	asking  bool
	waiting int  // Operations that wait for the own part of the rate.
	starved bool // An operation found no token since the last grant.
	pauseTo time.Time
	changed chan struct{} // Closed when tokens arrive or an ask ends.
}

// grant is what is left of the tokens that a peer has handed over.
type grant struct {
	tokens float64
	end    time.Time
}

// available is the number of tokens at hand.
func (b *bucket) available() float64 {
	sum := b.tokens
	for _, g := range b.grants {
		sum += g.tokens
	}
	return sum
}

func (b *bucket) take() bool {
	if b.available() < 1 {
		return false
	}
	left := 1.0
	for len(b.grants) > 0 && left > 0 {
		spent := min(left, b.grants[0].tokens)
		left -= spent
		b.grants[0].tokens -= spent
		if b.grants[0].tokens <= 0 {
			b.grants = b.grants[1:]
		}
	}
	b.tokens -= left
	return true
}

// arrive averages the demand.
func (b *bucket) arrive(now time.Time) {
	b.demand = b.demandAt(now) + 1/demandWindow.Seconds()
	b.seen = now
}

// demandAt is the averaged demand as of now.
func (b *bucket) demandAt(now time.Time) float64 {
	return b.demand * math.Exp(-max(0, now.Sub(b.seen).Seconds())/demandWindow.Seconds())
}

// fill adds what the time since the last call gives. What is left of old grants
// becomes part of the own tokens as far as those have room.
func (b *bucket) fill(now time.Time, limit Limit, part float64) {
	for len(b.grants) > 0 && !now.Before(b.grants[0].end) {
		b.tokens += b.grants[0].tokens
		b.grants = b.grants[1:]
	}
	if elapsed := now.Sub(b.filled).Seconds(); elapsed > 0 {
		b.filled = now
		b.tokens += limit.Rate * part * elapsed
	}
	b.tokens = min(b.tokens, limit.Burst*part)
}
