package sharer

import (
	"context"
	"time"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

const (
	// maxAdmitWait is the longest time that Admit holds a request while it
	// waits for tokens.
	maxAdmitWait = 50 * time.Millisecond
	// maxStartWait replaces maxAdmitWait in the startWindow of the instance or the
	// workspace, as long as no holder of tokens is known. The window covers the
	// issue of the fractions by an instance that starts at the same time.
	maxStartWait = 2 * time.Second
	startWindow  = 3 * time.Second
	// maxWaiters bounds the requests of a workspace that are held at one time.
	maxWaiters = 64
	// prefetchHorizon is the time for which the remaining tokens should cover
	// the load. With fewer tokens the instance requests more in advance. It
	// covers two round trips between data centres.
	prefetchHorizon = 20 * time.Millisecond
	// spendWindow is the longest time between taking tokens and admitting the
	// request. The bucket refills after the tokens were taken, so a caller that
	// was paused for longer would be admitted in addition to a full bucket; it
	// has to take new tokens instead. The remaining inaccuracy is the refill of
	// one millisecond.
	spendWindow = time.Millisecond
	// maxTakeAttempts bounds the attempts of a caller that is paused repeatedly
	// between taking tokens and being admitted.
	maxTakeAttempts = 3
)

// Admit charges the cost of a request to the workspace. If the tokens are not
// there but can arrive in time, it holds the request for at most 50 ms, or 2 s in
// the first 3 s in which it is not known yet who holds tokens; otherwise it
// returns an [OverRateError], which wraps [ErrOverRate], at once.
// It returns [ErrNotCurrent] when this instance may not admit requests, and the
// context's error when the context ends first.
func (s *Sharer) Admit(ctx context.Context, workspace identifier.WorkspaceName, cost float64) error {
	generation := s.generation.Load()
	h := s.holding(workspace)
	for range maxTakeAttempts {
		if !s.current() {
			return ErrNotCurrent
		}
		expires, err := h.admit(ctx, cost)
		if err != nil {
			return err
		}
		// Checked again after the tokens were taken: if this instance was
		// paused in between, it may have been removed and its share issued to
		// another instance. The tokens are not put back, because the bucket has
		// refilled in the meantime.
		if !s.current() || s.generation.Load() != generation {
			return ErrNotCurrent
		}
		if !s.now().After(expires) {
			return nil
		}
	}
	return &OverRateError{Workspace: workspace, RetryAfter: time.Millisecond}
}

// admit takes tokens and returns the time until which they may be spent.
func (h *holding) admit(ctx context.Context, cost float64) (time.Time, error) {
	s := h.sharer
	limit := s.limit(h.workspace)
	h.mu.Lock()
	now := s.now()
	h.demand.add(cost, now)
	h.load.add(cost, now)
	var remaining limiter.Share
	if len(h.waiters) == 0 {
		var ok bool
		remaining, _, ok = h.bucket.Take(limit, cost)
		if ok {
			h.prefetch(limit, remaining, now)
			h.mu.Unlock()
			return now.Add(spendWindow), nil
		}
	}
	w, err := h.enqueue(limit, cost, now)
	h.mu.Unlock()
	if err != nil {
		return time.Time{}, err
	}
	err = h.wait(ctx, w)
	return w.expires, err
}

// enqueue adds a waiter. It returns an error when no tokens can arrive in time.
// The caller holds h.mu.
func (h *holding) enqueue(limit limiter.Limit, cost float64, now time.Time) (*waiter, error) {
	ahead := cost
	for _, w := range h.waiters {
		ahead += w.cost - w.borrowed
	}
	h.startFetch(now)
	h.scheduleFetch(now)
	mayArrive := h.fetchPending() || h.isStarting(now) || h.refillTime(limit, ahead) <= maxAdmitWait
	if len(h.waiters) >= maxWaiters || h.closed || !mayArrive {
		return nil, h.overRateError(limit, ahead)
	}
	w := &waiter{cost: cost, deadline: now.Add(h.maxWait(now)), ready: make(chan struct{})}
	h.waiters = append(h.waiters, w)
	if len(h.waiters) == 1 {
		if wait := h.refillTime(limit, cost); wait <= maxAdmitWait {
			h.scheduleServe(wait)
		}
	}
	return w, nil
}

func (h *holding) wait(ctx context.Context, w *waiter) error {
	timer := time.NewTimer(w.deadline.Sub(h.sharer.now()))
	defer timer.Stop()
	select {
	case <-w.ready:
		return w.err
	case <-timer.C:
	case <-ctx.Done():
	}
	if !h.remove(w) {
		return w.err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.overRateError(h.sharer.limit(h.workspace), w.cost)
}

// prefetch starts a fetch before the tokens run out, if the load exceeds the
// bucket's own refill. The caller holds h.mu.
func (h *holding) prefetch(limit limiter.Limit, remaining limiter.Share, now time.Time) {
	load := h.load.rateAt(now)
	if remaining.Tokens >= load*prefetchHorizon.Seconds() {
		return
	}
	if load > remaining.Fraction.Of(limit.Rate)*limiter.RefillScale {
		h.startFetch(now)
	}
}
