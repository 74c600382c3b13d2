package sharer

import (
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// maxUnackedGrants bounds the grants that are kept for one requester.
const maxUnackedGrants = 256

// transfers keeps the requests sent that wait for an answer, and the grants
// made that their requesters have not acknowledged.
//
// A request whose answer was lost is repeated with its id and gets the same
// grant, so that the share in it arrives late but is not lost. A grant is
// applied only while its request is pending.
type transfers struct {
	mu           sync.Mutex
	lastID       uint64
	pending      map[uint64]*pendingRequest
	grantsByPeer map[identifier.InstanceID]*peerGrants
}

// pendingRequest is a request that waits for its answer.
type pendingRequest struct {
	holding   *holding
	peer      identifier.InstanceID
	request   ShareRequest
	inFlight  bool
	firstSent time.Time // Time of the first sending.
	lastSent  time.Time // Time of the last sending.
}

// peerGrants are the grants made to one requester.
type peerGrants struct {
	ackedBelow uint64
	unacked    map[uint64]recordedGrant
}

type recordedGrant struct {
	shard int
	grant ShareGrant
}

// open registers a request and assigns its id. If an earlier request for the
// same holding to the same peer was not answered, it returns that request, or
// nil while it is in flight.
func (t *transfers) open(h *holding, peer identifier.InstanceID, request ShareRequest, now time.Time) *pendingRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pending {
		if p.holding != h || p.peer != peer {
			continue
		}
		if p.inFlight {
			return nil
		}
		p.inFlight, p.lastSent = true, now
		return p
	}
	t.lastID++
	request.ID = t.lastID
	p := &pendingRequest{holding: h, peer: peer, request: request, inFlight: true, firstSent: now, lastSent: now}
	if t.pending == nil {
		t.pending = map[uint64]*pendingRequest{}
	}
	t.pending[request.ID] = p
	return p
}

// message returns the message to send for the request, with the current
// AckedBelow.
func (t *transfers) message(p *pendingRequest) ShareRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := p.request
	r.AckedBelow = r.ID
	for id, other := range t.pending {
		if other.peer == p.peer {
			r.AckedBelow = min(r.AckedBelow, id)
		}
	}
	return r
}

// markUnanswered marks a request whose answer did not arrive, so that it can be
// repeated.
func (t *transfers) markUnanswered(p *pendingRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.inFlight = false
}

// complete removes and returns the request that a grant answers. It returns nil
// if that request is not pending, because the grant is repeated or arrived after
// the request was discarded.
func (t *transfers) complete(from identifier.InstanceID, id uint64) *pendingRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pending[id]
	if p == nil || p.peer != from {
		return nil
	}
	delete(t.pending, id)
	return p
}

// takeOverdue returns the requests to repeat and marks them as in flight.
func (t *transfers) takeOverdue(now time.Time) []*pendingRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*pendingRequest
	for _, p := range t.pending {
		if !p.inFlight && now.Sub(p.lastSent) >= requestTimeout {
			p.inFlight, p.lastSent = true, now
			list = append(list, p)
		}
	}
	return list
}

// previousGrant returns the grant made before for the same request. It also
// reports true, with an empty grant, for a request that must not get a share:
// one that is already acknowledged, or one whose requester has too many
// unacknowledged grants.
func (t *transfers) previousGrant(from identifier.InstanceID, r ShareRequest) (ShareGrant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.grantsFor(from)
	if r.AckedBelow > g.ackedBelow {
		g.ackedBelow = r.AckedBelow
		for id := range g.unacked {
			if id < r.AckedBelow {
				delete(g.unacked, id)
			}
		}
	}
	if a, ok := g.unacked[r.ID]; ok {
		return a.grant, true
	}
	return ShareGrant{ID: r.ID, Epoch: r.Epoch}, r.ID < g.ackedBelow || len(g.unacked) >= maxUnackedGrants
}

// recordGrant keeps a grant until it is acknowledged. The requester may have
// been purged since previousGrant was called.
func (t *transfers) recordGrant(from identifier.InstanceID, shard int, grant ShareGrant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grantsFor(from).unacked[grant.ID] = recordedGrant{shard: shard, grant: grant}
}

// grantsFor returns the grants made to a requester. The caller holds mu.
func (t *transfers) grantsFor(from identifier.InstanceID) *peerGrants {
	g := t.grantsByPeer[from]
	if g == nil {
		g = &peerGrants{unacked: map[uint64]recordedGrant{}}
		if t.grantsByPeer == nil {
			t.grantsByPeer = map[identifier.InstanceID]*peerGrants{}
		}
		t.grantsByPeer[from] = g
	}
	return g
}

// unackedShares returns the number of granted shares whose arrival is not
// confirmed.
func (t *transfers) unackedShares() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, g := range t.grantsByPeer {
		for _, a := range g.unacked {
			if a.grant.Share.Fraction > 0 {
				n++
			}
		}
	}
	return n
}

// clear discards the transfers of the selected shards. Shares in transfer are
// then missing until they are issued again.
func (t *transfers) clear(selected func(index int) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.pending {
		if selected(p.holding.shardIndex) {
			delete(t.pending, id)
		}
	}
	for _, g := range t.grantsByPeer {
		for id, a := range g.unacked {
			if selected(a.shard) {
				delete(g.unacked, id)
			}
		}
	}
}

// purge discards the grants of requesters that left the fleet.
func (t *transfers) purge(member func(identifier.InstanceID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.grantsByPeer {
		if !member(id) {
			delete(t.grantsByPeer, id)
		}
	}
}
