package sharer

import (
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

// holding is this instance's state for one workspace: its share, the requests
// that wait for tokens, and what is known of other holders.
//
// Lock order: shard.mu, then holding.mu. The bucket's own lock is the
// innermost. Fractions change only under shard.mu.
type holding struct {
	sharer     *Sharer
	workspace  identifier.WorkspaceName
	shardIndex int
	shard      *shard
	bucket     limiter.Bucket
	created    time.Time

	mu           sync.Mutex
	demand       demand // Rate requested by clients of this instance.
	load         demand // The same plus what peers asked to borrow.
	waiters      []*waiter
	refillTimer  *time.Timer // Serves waiters when the bucket has refilled.
	fetching     bool
	fetchTimer   *time.Timer   // Starts the next fetch after the backoff; nil if none is scheduled.
	fetchBackoff time.Duration // Pause after the last fetch.
	nextFetch    time.Time     // Earliest start of the next fetch.
	holders      holders
	lastReport   sentReport
	closed       bool
}

// waiter is a call of Admit that waits for tokens.
type waiter struct {
	cost     float64
	deadline time.Time
	ready    chan struct{}
	err      error     // Set before ready is closed.
	borrowed float64   // Lent tokens received so far.
	expires  time.Time // Time until which the tokens may be spent.
}

// serve gives tokens to the waiters in order of arrival, and refuses those
// whose tokens can no longer arrive before their deadline.
func (h *holding) serve() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serveLocked(0, time.Time{})
}

// serveLocked spends the loan first, and puts the rest of it into the bucket as
// far as it fits. The caller holds h.mu.
func (h *holding) serveLocked(loan float64, expires time.Time) {
	limit := h.sharer.limit(h.workspace)
	for len(h.waiters) > 0 {
		w := h.waiters[0]
		if amount := min(loan, w.cost-w.borrowed); amount > 0 {
			loan -= amount
			w.borrowed += amount
			if w.expires.IsZero() || expires.Before(w.expires) {
				w.expires = expires
			}
		}
		_, wait, ok := h.bucket.Take(limit, w.cost-w.borrowed)
		if !ok {
			h.refuseUnservable(limit)
			if len(h.waiters) > 0 && wait < limiter.Forever {
				h.scheduleServe(wait)
			}
			return
		}
		if until := h.sharer.now().Add(spendWindow); w.expires.IsZero() || until.Before(w.expires) {
			w.expires = until
		}
		h.finish(0, nil)
	}
	h.bucket.Return(loan)
}

// refuseUnservable refuses the waiters that the bucket's own refill cannot
// serve before their deadline. It refuses none while a fetch is running or
// scheduled, because that may bring tokens in time.
func (h *holding) refuseUnservable(limit limiter.Limit) {
	now := h.sharer.now()
	if !h.closed && (h.fetchPending() || h.isStarting(now)) {
		return
	}
	ahead := 0.0
	for i := 0; i < len(h.waiters); {
		w := h.waiters[i]
		wait := h.refillTime(limit, ahead+w.cost-w.borrowed)
		if !h.closed && wait <= w.deadline.Sub(now) {
			ahead += w.cost - w.borrowed
			i++
			continue
		}
		h.finish(i, h.overRateError(limit, ahead+w.cost-w.borrowed))
	}
}

// isStarting reports whether this instance has joined, or the workspace is new,
// so recently that nobody is known to hold tokens of it yet. The caller holds
// h.mu.
func (h *holding) isStarting(now time.Time) bool {
	s := h.sharer
	if s.SingleInstance || h.holders.known() || h.bucket.Held(s.limit(h.workspace)).Fraction > 0 {
		return false
	}
	s.mu.Lock()
	since := s.joinedAt
	s.mu.Unlock()
	if h.created.After(since) {
		since = h.created
	}
	return now.Sub(since) < startWindow
}

// maxWait returns the longest time that a request may wait for tokens. The caller
// holds h.mu.
func (h *holding) maxWait(now time.Time) time.Duration {
	if h.isStarting(now) {
		return maxStartWait
	}
	return maxAdmitWait
}

// finish ends the wait of the i-th waiter.
func (h *holding) finish(i int, err error) {
	w := h.waiters[i]
	h.waiters = append(h.waiters[:i], h.waiters[i+1:]...)
	w.err = err
	close(w.ready)
}

// remove removes a waiter whose deadline passed or whose context ended. It
// reports false if the wait had already ended.
func (h *holding) remove(w *waiter) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, other := range h.waiters {
		if other == w {
			h.finish(i, nil)
			h.serveLocked(0, time.Time{})
			return true
		}
	}
	return false
}

func (h *holding) scheduleServe(wait time.Duration) {
	if h.refillTimer == nil {
		h.refillTimer = time.AfterFunc(wait, h.serve)
		return
	}
	h.refillTimer.Reset(wait)
}

// refillTime returns the time until the bucket's own refill has reached the
// given tokens.
func (h *holding) refillTime(limit limiter.Limit, tokens float64) time.Duration {
	held := h.bucket.Held(limit)
	if tokens <= held.Tokens {
		return 0
	}
	rate := held.Fraction.Of(limit.Rate) * limiter.RefillScale
	seconds := (tokens - held.Tokens) / rate
	if rate <= 0 || seconds > 1e6 {
		return limiter.Forever
	}
	return time.Duration(seconds*1e9) + 1
}

// overRateError returns the error for a request that cannot be served until the
// given tokens are available. The retry time is that of the bucket's own
// refill. If that does not suffice, it is the earliest start of the next fetch,
// but at least the time in which the whole fleet refills the tokens at the
// workspace's rate.
func (h *holding) overRateError(limit limiter.Limit, tokens float64) error {
	wait := h.refillTime(limit, tokens)
	held := h.bucket.Held(limit)
	if wait == limiter.Forever || tokens > held.Fraction.Of(limit.Burst) {
		if limit.Rate > 0 && tokens <= limit.Burst {
			fleetRefill := time.Duration(tokens / (limit.Rate * limiter.RefillScale) * 1e9)
			wait = max(h.nextFetch.Sub(h.sharer.now()), fleetRefill)
		}
	}
	return &OverRateError{Workspace: h.workspace, RetryAfter: max(wait, time.Millisecond)}
}

func (h *holding) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.refillTimer != nil {
		h.refillTimer.Stop()
	}
	if h.fetchTimer != nil {
		h.fetchTimer.Stop()
	}
	h.refuseUnservable(h.sharer.limit(h.workspace))
}
