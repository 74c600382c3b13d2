package sharer

import (
	"slices"
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

const (
	// maxHolders bounds the other holders that are remembered for a workspace.
	maxHolders = 12
	// unresponsivePeriod is how long a peer that did not answer is passed over.
	unresponsivePeriod = 2 * time.Second
	// localTokenRatio is the part of the largest holder's tokens that a holder
	// in the same data centre must have to be asked first. Without this bound,
	// the holders in busy data centres run out of tokens while the buckets in
	// other data centres are full and lose their refill.
	localTokenRatio = 0.5
)

// holders records the shares that other instances were last known to hold of a
// workspace, newest first.
type holders struct {
	list []holderRecord
}

type holderRecord struct {
	Holder
	reportedAt time.Time
}

// update records a holder's share unless a newer record of that holder exists.
// Older records are reduced so that all fractions sum to at most 1: a fraction
// in a newer record can no longer be with the holder of an older one.
func (l *holders) update(holder Holder, now time.Time) {
	at := now.Add(-time.Duration(holder.AgeMS) * time.Millisecond)
	holder.AgeMS = 0
	i := slices.IndexFunc(l.list, func(x holderRecord) bool { return x.Instance == holder.Instance })
	if i >= 0 {
		if at.Before(l.list[i].reportedAt) {
			return
		}
		l.list = slices.Delete(l.list, i, i+1)
	}
	i, _ = slices.BinarySearchFunc(l.list, at, func(x holderRecord, at time.Time) int { return at.Compare(x.reportedAt) })
	l.list = slices.Insert(l.list, i, holderRecord{holder, at})
	sum := limiter.Fraction(0)
	for i := range l.list {
		l.list[i].Share.Fraction = min(l.list[i].Share.Fraction, limiter.Whole-sum)
		sum += l.list[i].Share.Fraction
	}
	if len(l.list) > maxHolders {
		l.list = l.list[:maxHolders]
	}
}

// known reports whether any other instance is known to hold a fraction.
func (l *holders) known() bool {
	return slices.ContainsFunc(l.list, func(x holderRecord) bool { return x.Share.Fraction > 0 })
}

// largest returns up to n holders with the largest fractions, without the
// excluded instance.
func (l *holders) largest(n int, except identifier.InstanceID, now time.Time) []Holder {
	var list []Holder
	for _, x := range l.list {
		if x.Instance != except && x.Share.Fraction > 0 {
			x.AgeMS = now.Sub(x.reportedAt).Milliseconds()
			list = append(list, x.Holder)
		}
	}
	slices.SortFunc(list, func(a, b Holder) int { return int(int64(b.Share.Fraction) - int64(a.Share.Fraction)) })
	return list[:min(n, len(list))]
}

// estimateTokens returns the tokens that the holder has now if it spent none
// since the record.
func (x holderRecord) estimateTokens(limit limiter.Limit, now time.Time) float64 {
	refill := x.Share.Fraction.Of(limit.Rate) * now.Sub(x.reportedAt).Seconds()
	return min(x.Share.Tokens+refill, x.Share.Fraction.Of(limit.Burst))
}

// nextPeer selects the peer to ask next. The holder with the most tokens comes
// first, or one in the same data centre, if its tokens suffice. Next come the
// trackers of the workspace, which may name other holders, and then the holder
// with the most tokens even if these do not suffice.
func (h *holding) nextPeer(asked map[identifier.InstanceID]bool) (identifier.InstanceID, bool) {
	s := h.sharer
	shortfall := h.shortfall()
	trackers := s.trackers(h.workspace)
	limit := s.limit(h.workspace)
	now := s.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var largest, local holderRecord
	for _, x := range h.holders.list {
		if asked[x.Instance] || x.Share.Fraction == 0 || s.peers.unresponsive(x.Instance, now) {
			continue
		}
		if largest.Instance == "" || x.estimateTokens(limit, now) > largest.estimateTokens(limit, now) {
			largest = x
		}
		if x.DataCentre == s.Self.DataCentre && (local.Instance == "" || x.estimateTokens(limit, now) > local.estimateTokens(limit, now)) {
			local = x
		}
	}
	if local.Instance != "" && local.estimateTokens(limit, now) >= max(shortfall, localTokenRatio*largest.estimateTokens(limit, now)) {
		return local.Instance, true
	}
	if largest.Instance != "" && largest.estimateTokens(limit, now) >= shortfall {
		return largest.Instance, true
	}
	for _, tracker := range trackers {
		if tracker != "" && !asked[tracker] && !s.peers.unresponsive(tracker, now) {
			return tracker, true
		}
	}
	return largest.Instance, largest.Instance != ""
}

// peerCache caches the list of instances and what is derived from it. The
// periodic work updates it.
type peerCache struct {
	mu                sync.Mutex
	all               []Peer
	dataCentres       map[identifier.InstanceID]identifier.DataCentre
	trackers          map[identifier.WorkspaceName][2]identifier.InstanceID
	unresponsiveUntil map[identifier.InstanceID]time.Time
}

// trackers returns the two instances that track a workspace's holders: one in
// this data centre and one for the whole fleet.
func (s *Sharer) trackers(workspace identifier.WorkspaceName) [2]identifier.InstanceID {
	c := &s.peers
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dataCentres == nil {
		c.refresh(s.Self, s.Peers())
	}
	if trackers, ok := c.trackers[workspace]; ok {
		return trackers
	}
	local, _ := highestRanked(string(workspace), c.all, func(p Peer) bool { return p.DataCentre == s.Self.DataCentre })
	global, _ := highestRanked(string(workspace), c.all, func(Peer) bool { return true })
	trackers := [2]identifier.InstanceID{local.ID, global.ID}
	c.trackers[workspace] = trackers
	return trackers
}

// update replaces the cached list if the peers have changed.
func (c *peerCache) update(self Peer, peers []Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.all) == len(peers)+1 && slices.Equal(c.all[:len(peers)], peers) {
		return
	}
	c.refresh(self, peers)
}

func (c *peerCache) refresh(self Peer, peers []Peer) {
	c.all = append(slices.Clone(peers), self)
	c.trackers = map[identifier.WorkspaceName][2]identifier.InstanceID{}
	c.dataCentres = make(map[identifier.InstanceID]identifier.DataCentre, len(c.all))
	for _, p := range c.all {
		c.dataCentres[p.ID] = p.DataCentre
	}
	for id := range c.unresponsiveUntil {
		if _, ok := c.dataCentres[id]; !ok {
			delete(c.unresponsiveUntil, id)
		}
	}
}

func (c *peerCache) dataCentre(id identifier.InstanceID) identifier.DataCentre {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dataCentres[id]
}

func (c *peerCache) contains(id identifier.InstanceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.dataCentres[id]
	return ok
}

func (c *peerCache) markUnresponsive(id identifier.InstanceID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unresponsiveUntil == nil {
		c.unresponsiveUntil = map[identifier.InstanceID]time.Time{}
	}
	c.unresponsiveUntil[id] = now.Add(unresponsivePeriod)
}

func (c *peerCache) unresponsive(id identifier.InstanceID, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.unresponsiveUntil[id]
	return ok && now.Before(until)
}
