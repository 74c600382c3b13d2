package limiter

import (
	"math"
	"sync"
	"time"
)

// RefillScale is the part of the rate that is refilled. It covers a clock that
// runs 1% fast.
const RefillScale = 0.99

// maxLoans bounds the loans open at one time.
const maxLoans = 64

// Forever is the wait reported when the bucket's own refill can never supply
// the tokens, and a larger fraction is needed.
const Forever = time.Duration(math.MaxInt64)

// Limit is the rate, in tokens a second, and the burst, in tokens, of a
// workspace over all instances.
type Limit struct {
	Rate, Burst float64
}

// Bucket is a token bucket that holds a fraction of a [Limit]. The zero value
// holds nothing. It is safe for concurrent use.
type Bucket struct {
	Now func() time.Time // Monotonic clock; if nil, time.Now is used.

	// MaxRefillGap is the time between two uses above which no tokens are added
	// for it, because the limit may have changed in between; 0 means no bound.
	MaxRefillGap time.Duration

	mu         sync.Mutex
	fraction   Fraction
	tokens     float64
	limit      Limit
	refilledAt time.Time
	loans      []loan
	lent       float64 // Sum of the loans.
}

// loan is tokens that the owner of another bucket may spend until the loan
// expires. They take up capacity until then.
type loan struct {
	tokens  float64
	expires time.Time
}

// Take removes cost tokens and reports whether the bucket held as many. It
// returns the remaining share and, if the tokens did not suffice, the time
// until the bucket's own refill supplies them, or [Forever].
func (b *Bucket) Take(limit Limit, cost float64) (remaining Share, wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(limit)
	if b.tokens >= cost {
		b.tokens -= cost
		return Share{b.fraction, b.tokens}, 0, true
	}
	remaining = Share{b.fraction, b.tokens}
	if cost > b.capacity() {
		return remaining, Forever, false
	}
	return remaining, b.refillTime(cost - b.tokens), false
}

// Return puts back tokens that were taken for a request that did not run, as far
// as they fit into the bucket.
func (b *Bucket) Return(cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+cost, b.capacity())
}

// Split removes a share from the bucket and returns it. The share has at most
// the wanted fraction and tokens. Both the tokens returned and the tokens that
// remain are within the capacity of their fractions.
func (b *Bucket) Split(limit Limit, wanted Share) Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(limit)
	split := Share{Fraction: min(wanted.Fraction, b.unlentFraction())}
	split.Tokens = max(0, min(wanted.Tokens, b.tokens, split.Fraction.Of(b.limit.Burst)))
	b.fraction -= split.Fraction
	b.tokens = min(b.tokens-split.Tokens, b.capacity())
	return split
}

// Lend removes tokens that the borrower spends within the period, without a
// fraction. Until the period is over, the bucket's capacity is reduced by as
// many, so that the tokens of all instances stay within the burst. It lends
// all or nothing, and reports whether it lent them.
func (b *Bucket) Lend(limit Limit, tokens float64, period time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(limit)
	if !(tokens > 0) || tokens > b.tokens || len(b.loans) >= maxLoans {
		return false
	}
	b.tokens -= tokens
	b.lent += tokens
	b.loans = append(b.loans, loan{tokens, b.now().Add(period)})
	return true
}

// Merge adds a share that was split off another bucket. Tokens above the new
// capacity are dropped. It rejects a share that would raise the fraction above
// [Whole], and reports whether the share was added.
func (b *Bucket) Merge(limit Limit, s Share) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(limit)
	if s.Fraction > Whole || b.fraction+s.Fraction > Whole || s.Tokens < 0 || math.IsNaN(s.Tokens) {
		return false
	}
	b.fraction += s.Fraction
	b.tokens = min(b.tokens+min(s.Tokens, s.Fraction.Of(limit.Burst)), b.capacity())
	return true
}

// Held refills the bucket under the limit and returns its share.
func (b *Bucket) Held(limit Limit) Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(limit)
	return Share{Fraction: b.fraction, Tokens: b.tokens}
}

// Clear discards the whole share and all loans.
func (b *Bucket) Clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fraction, b.tokens = 0, 0
	b.loans, b.lent = nil, 0
}

func (b *Bucket) refill(limit Limit) {
	now := b.now()
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		rate := min(b.limit.Rate, limit.Rate)
		if b.MaxRefillGap == 0 || elapsed <= b.MaxRefillGap {
			b.tokens += b.fraction.Of(rate) * RefillScale * elapsed.Seconds()
		}
		b.refilledAt = now
	}
	b.dropExpiredLoans()
	b.limit = limit
	b.tokens = min(b.tokens, b.capacity())
}

func (b *Bucket) capacity() float64 {
	return max(0, b.fraction.Of(b.limit.Burst)-b.lent)
}

// unlentFraction returns the part of the fraction whose capacity is not lent.
func (b *Bucket) unlentFraction() Fraction {
	if b.lent == 0 {
		return b.fraction
	}
	if b.limit.Burst <= 0 {
		return 0
	}
	return b.fraction - min(b.fraction, FractionOf(b.lent/b.limit.Burst)+1)
}

// dropExpiredLoans removes the loans whose period is over.
func (b *Bucket) dropExpiredLoans() {
	if len(b.loans) == 0 || b.loans[0].expires.After(b.refilledAt) {
		return
	}
	open := b.loans[:0]
	b.lent = 0
	for _, l := range b.loans {
		if l.expires.After(b.refilledAt) {
			open = append(open, l)
			b.lent += l.tokens
		}
	}
	b.loans = open
}

func (b *Bucket) refillTime(tokens float64) time.Duration {
	rate := b.fraction.Of(b.limit.Rate) * RefillScale
	seconds := tokens / rate
	if rate <= 0 || seconds > 1e9 {
		return Forever
	}
	return time.Duration(math.Ceil(seconds * 1e9))
}

func (b *Bucket) now() time.Time {
	if b.Now == nil {
		return time.Now()
	}
	return b.Now()
}
