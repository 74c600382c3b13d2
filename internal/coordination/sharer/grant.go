package sharer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

const (
	// demandReserve is the time for which a grantor keeps tokens to cover its
	// own demand.
	demandReserve = 20 * time.Millisecond
	// minBalanceChange is the smallest part of its fraction that a grantor
	// transfers only for balance, so that peers with equal demand do not
	// transfer shares back and forth.
	minBalanceChange = 0.1
	// minUsefulCapacity is the smallest bucket capacity worth holding. Smaller
	// buckets may hold too few tokens to admit a request, so such a limit is
	// kept by fewer holders, which lend tokens for single requests.
	minUsefulCapacity = 4
	// wholeShareDemandRatio is how many times the grantor's own demand the
	// requester's demand must be for the grantor to transfer a share that is
	// too small to divide.
	wholeShareDemandRatio = 4
	// loanMarginPercent is the part of loanPeriod, in percent, after which the
	// lender uses the lent capacity again. It covers clocks that drift by 1%
	// each.
	loanMarginPercent = 110
	// minPartialLoan is the smallest loan, in tokens, that is worth making when
	// it does not cover all that the requester lacks.
	minPartialLoan = 0.5
	// maxReferrals bounds the other holders named in a grant.
	maxReferrals = 3
)

// ErrUnexpectedMessage is returned for a message that this package does not
// handle.
var ErrUnexpectedMessage = errors.New("unexpected message body")

// Handle processes a peer's message and returns the answer. Reports and grants
// have no answer.
func (s *Sharer) Handle(_ context.Context, from identifier.InstanceID, body any) (any, error) {
	switch m := body.(type) {
	case ShareRequest:
		return s.handleShareRequest(from, m), nil
	case ShareGrant:
		s.applyGrant(from, m) // The answer to a request that timed out.
		return nil, nil
	case ShareReport:
		s.handleShareReport(from, m)
		return nil, nil
	case EpochEnter:
		if m.Shard < 0 || m.Shard >= ShardCount {
			return nil, errors.Wrapf(ErrUnexpectedMessage, "shard %d", m.Shard)
		}
		report, _ := s.enter(m.Shard, m.Epoch)
		s.syncEpoch(m.Shard)
		return report, nil
	}
	return nil, errors.Wrapf(ErrUnexpectedMessage, "%T", body)
}

// handleShareRequest answers a request. The share is subtracted before the
// grant is returned.
func (s *Sharer) handleShareRequest(from identifier.InstanceID, r ShareRequest) ShareGrant {
	h := s.holding(r.Workspace)
	limit := s.limit(r.Workspace)
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	if !h.shard.epochKnown || r.Epoch != h.shard.epoch {
		// Remaining tells the requester that shares are held here although this
		// grant is empty.
		return ShareGrant{ID: r.ID, Epoch: h.shard.epoch, Remaining: h.bucket.Held(limit)}
	}
	if previous, ok := s.transfers.previousGrant(from, r); ok {
		return previous
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := s.now()
	share := h.bucket.Split(limit, h.chooseShare(limit, r, now))
	grant := ShareGrant{ID: r.ID, Epoch: r.Epoch, Share: share, Loan: h.lend(limit, r.Shortfall-share.Tokens, now)}
	grant.Remaining = h.bucket.Held(limit)
	if share.Tokens+grant.Loan < r.Shortfall {
		grant.Holders = h.holders.largest(maxReferrals, from, now)
	}
	h.holders.update(Holder{
		Instance: from, DataCentre: s.peers.dataCentre(from),
		Share: limiter.Share{Fraction: min(r.Held+share.Fraction, limiter.Whole)},
	}, now)
	s.transfers.recordGrant(from, h.shardIndex, grant)
	return grant
}

// chooseShare returns the share to grant. It divides the sum of both fractions
// in proportion to the demands, as long as both parts remain useful. It grants
// the whole share when this instance is draining, when the share is too small to
// be useful and the requester holds more, or when the sum is too small to divide
// and the requester's demand is much higher.
func (h *holding) chooseShare(limit limiter.Limit, r ShareRequest, now time.Time) limiter.Share {
	held := h.bucket.Held(limit)
	tooSmall := held.Fraction.Of(limit.Burst) < minUsefulCapacity && r.Held > held.Fraction
	if h.sharer.draining() || held.Fraction == 0 || tooSmall {
		return held
	}
	// If both sides hold useful shares, the demand of those that borrow from
	// them counts too. Otherwise it does not, because the requester may itself
	// be one of the grantor's borrowers.
	own, theirs := h.demand.rateAt(now), r.Demand
	if r.Held.Of(limit.Burst) >= minUsefulCapacity {
		own, theirs = h.load.rateAt(now), r.Load
	}
	if own+theirs == 0 {
		return limiter.Share{}
	}
	total := held.Fraction + r.Held
	keep := limiter.Fraction(float64(total) * (own / (own + theirs)))
	if keep >= held.Fraction || float64(held.Fraction-keep) < minBalanceChange*float64(held.Fraction) {
		return limiter.Share{}
	}
	if keep.Of(limit.Burst) < minUsefulCapacity || (total-keep).Of(limit.Burst) < minUsefulCapacity {
		// The sum is too small to divide, so one side has to hold all of it.
		if theirs < wholeShareDemandRatio*own {
			return limiter.Share{}
		}
		keep = 0
	}
	moved := held.Fraction - keep
	return limiter.Share{Fraction: moved, Tokens: held.Tokens * float64(moved) / float64(held.Fraction)}
}

// lend lends tokens that the grantor does not need at once, and returns how
// many. The caller holds h.mu.
func (h *holding) lend(limit limiter.Limit, wanted float64, now time.Time) float64 {
	if wanted <= 0 {
		return 0
	}
	h.load.add(wanted, now)
	held := h.bucket.Held(limit)
	spare := held.Tokens - h.demand.rateAt(now)*demandReserve.Seconds()
	if amount := min(wanted, spare); (amount == wanted || amount >= minPartialLoan) && h.bucket.Lend(limit, amount, loanPeriod*loanMarginPercent/100) {
		held.Tokens -= amount
		h.prefetch(limit, held, now)
		return amount
	}
	h.prefetch(limit, held, now)
	return 0
}

func (s *Sharer) draining() bool {
	return s.drainStarted.Load()
}
