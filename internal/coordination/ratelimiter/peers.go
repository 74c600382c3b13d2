package ratelimiter

import (
	"math/rand/v2"
	"slices"
	"time"

	"oleanderpulley/internal/state/identifier"
)

const (
	// failureBackoff is the time without requests to a peer after one to it
	// failed.
	failureBackoff = time.Second
)

// Peer is an instance that may own a fraction of a limit.
type Peer struct {
	ID         identifier.InstanceID
	DataCentre identifier.DataCentre
}

// peers tracks how many tokens the other instances can give. Those in the own
// data centre get requests first.
type peers struct {
	local, remote []*peer
}

type peer struct {
	id           identifier.InstanceID
	backoffUntil time.Time
	balances     map[identifier.WorkspaceName]balance
}

// balance is the number of tokens that a peer could give at a time.
type balance struct {
	tokens float64
	at     time.Time
}

// update replaces the peers and keeps the state of those that remain.
func (p *peers) update(self identifier.InstanceID, members []Peer) {
	known := map[identifier.InstanceID]*peer{}
	for _, list := range [][]*peer{p.local, p.remote} {
		for _, e := range list {
			known[e.id] = e
		}
	}
	var own identifier.DataCentre
	for _, m := range members {
		if m.ID == self {
			own = m.DataCentre
		}
	}
	p.local, p.remote = nil, nil
	for _, m := range members {
		if m.ID == self {
			continue
		}
		e, ok := known[m.ID]
		if !ok {
			e = &peer{id: m.ID, balances: map[identifier.WorkspaceName]balance{}}
		}
		if m.DataCentre == own {
			p.local = append(p.local, e)
		} else {
			p.remote = append(p.remote, e)
		}
	}
}

// bestOwner returns the owner that is estimated to have the most tokens of the
// workspace, at least one token or a full bucket if that holds less. Owners in
// the own data centre take precedence.
func (p *peers) bestOwner(w identifier.WorkspaceName, s Share, now time.Time) (identifier.InstanceID, bool) {
	refillRate := s.Limit.Rate / float64(max(1, len(s.Owners)))
	capacity := s.Limit.Burst / float64(max(1, len(s.Owners)))
	for _, list := range [][]*peer{p.local, p.remote} {
		if len(list) == 0 {
			continue
		}
		start := rand.IntN(len(list))
		var best *peer
		highest := 0.0
		for i := range list {
			e := list[(start+i)%len(list)]
			if now.Before(e.backoffUntil) || !slices.Contains(s.Owners, e.id) {
				continue
			}
			estimate := capacity
			if b, ok := e.balances[w]; ok {
				estimate = min(capacity, b.tokens+refillRate*now.Sub(b.at).Seconds())
			}
			if estimate >= min(1, capacity) && estimate > highest {
				best, highest = e, estimate
			}
		}
		if best != nil {
			return best.id, true
		}
	}
	return "", false
}

func (p *peers) find(id identifier.InstanceID) *peer {
	for _, list := range [][]*peer{p.local, p.remote} {
		for _, e := range list {
			if e.id == id {
				return e
			}
		}
	}
	return nil
}

// recordBalances records the tokens that a peer has left after a grant.
func (p *peers) recordBalances(id identifier.InstanceID, left map[identifier.WorkspaceName]float64, now time.Time) {
	e := p.find(id)
	if e == nil {
		return
	}
	for w, tokens := range left {
		e.balances[w] = balance{tokens, now}
	}
}

// recordFailure starts the backoff of a peer to which a request failed.
func (p *peers) recordFailure(id identifier.InstanceID, now time.Time) {
	if e := p.find(id); e != nil {
		e.backoffUntil = now.Add(failureBackoff)
	}
}
