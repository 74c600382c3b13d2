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
	// unknownLimitBackoff is the time without requests to a peer for a workspace
	// whose limit the peer does not know yet.
	unknownLimitBackoff = 100 * time.Millisecond
	// maxBalanceAge is the age up to which a peer's answer counts as evidence for
	// the cause of a refusal.
	maxBalanceAge = 3 * time.Second
)

// Peer is an instance that may own a fraction of a limit.
type Peer struct {
	ID         identifier.InstanceID
	DataCentre identifier.DataCentre
}

// peers tracks how many tokens the other instances can give.
type peers struct {
	byID map[identifier.InstanceID]*peer
}

type peer struct {
	local        bool // In the own data centre.
	backoffUntil time.Time
	balances     map[identifier.WorkspaceName]balance
}

// balance is the number of tokens that a peer could give at a time.
type balance struct {
	tokens   float64
	at       time.Time
	retryAt  time.Time // When the peer expects a token for this instance.
	starting bool      // The peer does not know the limit or has just started.
}

// estimate returns the number of tokens that the peer has now if nobody took
// any since.
func (b balance) estimate(s Share, now time.Time) float64 {
	return min(s.capacity(), b.tokens+s.refillRate()*now.Sub(b.at).Seconds())
}

// timeUntilToken returns the time until the estimate reaches one token, at most
// maxRetryAfter.
func (b balance) timeUntilToken(s Share, now time.Time) time.Duration {
	missing := 1 - b.estimate(s, now)
	if missing <= 0 {
		return 0
	}
	if missing >= s.refillRate()*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(missing / s.refillRate() * float64(time.Second))
}

// update replaces the peers and keeps the state of those that remain.
func (p *peers) update(self identifier.InstanceID, members []Peer) {
	known := p.byID
	p.byID = make(map[identifier.InstanceID]*peer, len(members))
	var own identifier.DataCentre
	for _, m := range members {
		if m.ID == self {
			own = m.DataCentre
		}
	}
	for _, m := range members {
		if m.ID == self {
			continue
		}
		e, ok := known[m.ID]
		if !ok {
			e = &peer{balances: map[identifier.WorkspaceName]balance{}}
		}
		e.local = m.DataCentre == own
		p.byID[m.ID] = e
	}
}

// bestOwner returns the owner that is estimated to have the most tokens of the
// workspace, at least one token or a full bucket if that holds less. Owners in
// the own data centre take precedence. It skips those for which skip is true.
func (p *peers) bestOwner(w identifier.WorkspaceName, s Share, now time.Time, skip func(identifier.InstanceID) bool) (identifier.InstanceID, bool) {
	if len(s.Owners) == 0 {
		return "", false
	}
	capacity := s.capacity()
	var best identifier.InstanceID
	highest, local := 0.0, false
	start := rand.IntN(len(s.Owners))
	for i := range s.Owners {
		id := s.Owners[(start+i)%len(s.Owners)]
		e := p.find(id)
		if e == nil || now.Before(e.backoffUntil) || skip(id) || local && !e.local {
			continue
		}
		estimate := capacity
		if b, ok := e.balances[w]; ok {
			estimate = b.estimate(s, now)
		}
		if estimate >= min(1, capacity) && (estimate > highest || e.local && !local) {
			best, highest, local = id, estimate, e.local
		}
	}
	return best, highest > 0
}

// timeUntilToken returns the time until an owner is estimated to have a token.
func (p *peers) timeUntilToken(w identifier.WorkspaceName, s Share, now time.Time) time.Duration {
	soonest := maxRetryAfter
	for _, id := range s.Owners {
		e := p.find(id)
		if e == nil || now.Before(e.backoffUntil) {
			continue
		}
		if b, ok := e.balances[w]; ok {
			soonest = min(soonest, b.timeUntilToken(s, now))
		}
	}
	return soonest
}

func (p *peers) count() int {
	return len(p.byID)
}

func (p *peers) find(id identifier.InstanceID) *peer {
	return p.byID[id]
}

// recordGrant records the tokens that a peer has left after its grant to a
// request for the workspace. A peer that does not name the workspace does not
// know its limit yet.
func (p *peers) recordGrant(id identifier.InstanceID, w identifier.WorkspaceName, s Share, g *Grant, now time.Time) {
	e := p.find(id)
	if e == nil {
		return
	}
	for name, left := range g.Left {
		b := balance{tokens: left, at: now, starting: slices.Contains(g.Starting, name)}
		if wait, ok := g.RetryAfter[name]; ok {
			b.retryAt = now.Add(wait)
		}
		e.balances[name] = b
	}
	if _, ok := g.Left[w]; !ok {
		e.balances[w] = balance{tokens: 1 - s.refillRate()*unknownLimitBackoff.Seconds(), at: now, starting: true}
	}
}

// exclude stops requests to a peer for the time.
func (p *peers) exclude(id identifier.InstanceID, now time.Time, backoff time.Duration) {
	if e := p.find(id); e != nil {
		e.backoffUntil = now.Add(backoff)
	}
}
