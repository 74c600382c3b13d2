package sharer

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

// offerInterval is the time between two offers of the shares that are still
// held.
const offerInterval = 100 * time.Millisecond

// ErrNotDrained is returned when not all shares were taken over by peers. The
// caller then counts its departure as a removal (see [Members]), so that the
// shares are issued again.
var ErrNotDrained = errors.New("shares were not taken over")

// Drain transfers all shares to peers and returns when the peers have confirmed
// their arrival. Afterwards this instance admits no request that costs tokens.
func (s *Sharer) Drain(ctx context.Context) error {
	s.drainStarted.Store(true)
	ticker := time.NewTicker(offerInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		if !s.offerShares(round) && s.transfers.unackedShares() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ErrNotDrained, ctx.Err().Error())
		case <-ticker.C:
		}
	}
}

// offerShares offers each workspace's share to a peer. It reports whether any
// share is still held.
func (s *Sharer) offerShares(round int) bool {
	now := s.now()
	peers := s.Peers()
	s.peers.update(s.Self, peers)
	offers := map[identifier.InstanceID]ShareReport{}
	remaining := false
	for w, h := range s.allHoldings() {
		held := h.bucket.Held(s.limit(w))
		if held.Fraction == 0 {
			continue
		}
		remaining = true
		// A different peer is chosen after half a second without success.
		key := string(w) + strconv.Itoa(round/5)
		to, ok := highestRanked(key, peers, func(p Peer) bool {
			return p.DataCentre == s.Self.DataCentre && !s.peers.unresponsive(p.ID, now)
		})
		if !ok || round >= 10 {
			to, ok = highestRanked(key, peers, func(Peer) bool { return true })
		}
		if !ok {
			continue
		}
		if _, ok := offers[to.ID]; !ok {
			offers[to.ID] = ShareReport{Offered: true, Holdings: map[identifier.WorkspaceName]limiter.Share{}}
		}
		offers[to.ID].Holdings[w] = held
	}
	for to, r := range offers {
		s.Send(to, r)
	}
	return remaining
}

// fetchAll takes over the whole share of a draining peer. The second request
// acknowledges the grant that answered the first.
func (h *holding) fetchAll(ctx context.Context, from identifier.InstanceID) {
	s := h.sharer
	for range 2 {
		p := h.openRequest(from)
		if p == nil {
			return
		}
		s.roundTrip(ctx, p)
		if ctx.Err() != nil {
			return
		}
	}
}
