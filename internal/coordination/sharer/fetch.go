package sharer

import (
	"context"
	"time"

	"oleanderpulley/internal/state/identifier"
)

const (
	// maxPeersPerFetch bounds the peers asked in one fetch.
	maxPeersPerFetch = 4
	// nextPeerDelay is the time after which the next peer is asked although the
	// previous one has not answered yet. Requests to two peers fit into
	// maxAdmitWait.
	nextPeerDelay = 20 * time.Millisecond
	// requestTimeout is the time after which an answer counts as lost.
	requestTimeout = time.Second
	// minFetchBackoff is the pause after a fetch that brought tokens. The pause
	// doubles with each fetch that brought none, up to maxFetchBackoff, so that
	// a workspace over its rate causes few messages.
	minFetchBackoff = 5 * time.Millisecond
	maxFetchBackoff = 400 * time.Millisecond
	// maxStartBackoff bounds the pause while nobody is known to hold tokens.
	maxStartBackoff = 50 * time.Millisecond
	// loanPeriod is the time, from the first sending of a request, during which
	// lent tokens may be spent.
	loanPeriod = maxAdmitWait
)

// startFetch starts a fetch in its own goroutine unless one is running or the
// backoff after the last one is not over. The caller holds h.mu.
func (h *holding) startFetch(now time.Time) {
	s := h.sharer
	if s.SingleInstance || s.draining() || h.fetching || h.closed || now.Before(h.nextFetch) {
		return
	}
	h.fetching = s.spawn(h.fetch)
}

// scheduleFetch schedules a fetch for the end of the backoff if that is near,
// so that a request that arrives during the backoff is held instead of refused.
// The caller holds h.mu.
func (h *holding) scheduleFetch(now time.Time) {
	s := h.sharer
	pause := h.nextFetch.Sub(now)
	if s.SingleInstance || s.draining() || h.fetchPending() || h.closed || pause <= 0 || pause > h.maxWait(now)/2 {
		return
	}
	h.fetchTimer = time.AfterFunc(pause+time.Millisecond, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.fetchTimer = nil
		h.startFetch(s.now())
		if !h.fetching {
			h.serveLocked(0, time.Time{})
		}
	})
}

func (h *holding) fetchPending() bool {
	return h.fetching || h.fetchTimer != nil
}

// fetch requests tokens from one peer after the other until no waiting request
// lacks any.
func (h *holding) fetch(ctx context.Context) {
	s := h.sharer
	s.syncEpoch(h.shardIndex) // This instance may have joined after the epoch was opened.
	gained := false
	asked := map[identifier.InstanceID]bool{s.Self.ID: true}
	for len(asked) <= maxPeersPerFetch && ctx.Err() == nil {
		peer, ok := h.nextPeer(asked)
		if !ok {
			break
		}
		asked[peer] = true
		more, done := h.requestTokens(ctx, peer)
		gained = gained || more
		if done {
			break
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fetching = false
	h.fetchBackoff = min(max(2*h.fetchBackoff, minFetchBackoff), maxFetchBackoff)
	if gained {
		h.fetchBackoff = minFetchBackoff
	}
	now := s.now()
	starting := h.isStarting(now)
	if starting {
		h.fetchBackoff = min(h.fetchBackoff, maxStartBackoff)
	}
	h.nextFetch = now.Add(h.fetchBackoff)
	if starting && len(h.waiters) > 0 {
		h.scheduleFetch(now)
	}
	h.serveLocked(0, time.Time{})
}

// requestTokens sends a request to the peer and waits up to nextPeerDelay for
// the answer. It reports whether tokens arrived, and whether no more are
// lacking.
func (h *holding) requestTokens(ctx context.Context, peer identifier.InstanceID) (gained, done bool) {
	s := h.sharer
	p := h.openRequest(peer)
	if p == nil {
		return false, false
	}
	answered := make(chan bool, 1)
	if !s.spawn(func(ctx context.Context) { answered <- s.roundTrip(ctx, p) > 0 }) {
		return false, true
	}
	timer := time.NewTimer(nextPeerDelay)
	defer timer.Stop()
	select {
	case gained = <-answered:
	case <-timer.C:
		s.peers.markUnresponsive(peer, s.now())
	case <-ctx.Done():
	}
	return gained, h.shortfall() <= 0
}

// openRequest registers a request to the peer. It returns nil while the shard's
// epoch is not known or another request to the peer is in flight.
func (h *holding) openRequest(peer identifier.InstanceID) *pendingRequest {
	s := h.sharer
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	if !h.shard.epochKnown {
		return nil
	}
	now := s.now()
	shortfall := h.shortfall()
	h.mu.Lock()
	r := ShareRequest{
		Epoch: h.shard.epoch, Workspace: h.workspace, Shortfall: shortfall,
		Held: h.bucket.Held(s.limit(h.workspace)).Fraction, Demand: h.demand.rateAt(now), Load: h.load.rateAt(now),
	}
	h.mu.Unlock()
	return s.transfers.open(h, peer, r, now)
}

// shortfall returns the tokens that the waiting requests lack.
func (h *holding) shortfall() float64 {
	limit := h.sharer.limit(h.workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	cost := 0.0
	for _, w := range h.waiters {
		cost += w.cost - w.borrowed
	}
	return max(0, cost-h.bucket.Held(limit).Tokens)
}

// roundTrip sends a registered request, applies the grant and returns the
// number of tokens received.
func (s *Sharer) roundTrip(ctx context.Context, p *pendingRequest) float64 {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := s.Request(ctx, p.peer, s.transfers.message(p))
	grant, ok := answer.(ShareGrant)
	if err != nil || !ok {
		s.transfers.markUnanswered(p)
		s.peers.markUnresponsive(p.peer, s.now())
		return 0
	}
	return s.applyGrant(p.peer, grant)
}

// applyGrant adds a granted share unless its request is no longer pending or
// belongs to another epoch. It returns the number of tokens received.
func (s *Sharer) applyGrant(from identifier.InstanceID, grant ShareGrant) float64 {
	p := s.transfers.complete(from, grant.ID)
	if p == nil {
		return 0
	}
	h := p.holding
	limit := s.limit(h.workspace)
	h.shard.mu.Lock()
	merged := h.shard.epochKnown && grant.Epoch == h.shard.epoch && p.request.Epoch == grant.Epoch &&
		h.bucket.Merge(limit, grant.Share)
	h.shard.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := s.now()
	for _, holder := range grant.Holders {
		if holder.Instance != s.Self.ID {
			h.holders.update(holder, now)
		}
	}
	h.holders.update(Holder{Instance: from, DataCentre: s.peers.dataCentre(from), Share: grant.Remaining}, now)
	loan, expires := grant.Loan, p.firstSent.Add(loanPeriod)
	if !merged || now.After(expires) {
		loan = 0
	}
	h.serveLocked(loan, expires)
	if !merged {
		return 0
	}
	return grant.Share.Tokens + loan
}

// retryFetch ends the backoff, because something that a fetch depends on has
// changed.
func (h *holding) retryFetch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fetchBackoff, h.nextFetch = 0, time.Time{}
	if len(h.waiters) > 0 {
		h.startFetch(h.sharer.now())
	}
}
