package ratelimiter

import (
	"math"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// TokenRequest requests tokens from a peer.
type TokenRequest struct {
	Wants map[identifier.WorkspaceName]float64 `cbor:"wants"`
}

// Grant transfers tokens to the peer that requested them. Left is the number
// that the grantor could still give.
type Grant struct {
	Given map[identifier.WorkspaceName]float64 `cbor:"given"`
	Left  map[identifier.WorkspaceName]float64 `cbor:"left"`
}

// IsShort reports whether to request tokens for the workspace from a peer now,
// because those at hand do not cover the upcoming demand.
func (l *Limiter) IsShort(w identifier.WorkspaceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	return b != nil && l.isShort(b)
}

// isShort is [Limiter.IsShort] for a refilled bucket; l.mu must be held.
func (l *Limiter) isShort(b *bucket) bool {
	now := l.now()
	if b.requestInFlight || now.Before(b.backoffUntil) {
		return false
	}
	if b.available() < 1 && now.Sub(b.missedAt) <= maxMissAge {
		return true
	}
	// With little demand, tokens are requested only when one is missing: a
	// prefetched token might never be spent.
	upcoming := b.demandAt(now) * demandHorizon.Seconds() / 2
	return upcoming >= 1 && b.available() < upcoming
}

// NextRequest returns a request for tokens and the peer to send it to, or false
// if none is due or no peer probably has tokens. The request covers all
// workspaces that are short. The caller must end it with
// [Limiter.FinishRequest].
func (l *Limiter) NextRequest(w identifier.WorkspaceName) (identifier.InstanceID, TokenRequest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	if b == nil || !l.isShort(b) {
		return "", TokenRequest{}, false
	}
	peer, ok := l.peers.bestOwner(w, l.shares[w], l.now())
	if !ok {
		b.backoffUntil = l.now().Add(minRequestBackoff)
		return "", TokenRequest{}, false
	}
	request := TokenRequest{Wants: map[identifier.WorkspaceName]float64{}}
	for name := range l.buckets {
		if o := l.bucket(name); o == b || l.isShort(o) {
			request.Wants[name] = o.missingTokens()
		}
	}
	b.requestInFlight = true
	return peer, request, true
}

// missingTokens returns the number of tokens to request for the demand within
// demandHorizon. Together with those at hand they make up at least one whole
// token.
func (b *bucket) missingTokens() float64 {
	return max(1, b.demand*demandHorizon.Seconds()) - min(b.available(), 1-minRequestedTokens)
}

// minRequestedTokens is the smallest fraction of a token that is requested.
const minRequestedTokens = 0.05

// grantableTokens returns how many of the spare tokens a grantor transfers: all
// that are requested, or else whole tokens only. A fraction of a token does not
// help the requester and would be missing at the grantor.
func grantableTokens(wanted, spare float64) float64 {
	if wanted <= spare {
		return wanted
	}
	return math.Floor(spare)
}

// FinishRequest ends the request of the workspace with the peer's grant, or
// with nil if the request failed.
func (l *Limiter) FinishRequest(w identifier.WorkspaceName, from identifier.InstanceID, g *Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if g == nil {
		l.peers.recordFailure(from, now)
	} else {
		for name, given := range g.Given {
			if b := l.bucket(name); b != nil && given > 0 {
				b.grants = append(b.grants, grant{given, now.Add(grantLifetime)})
			}
		}
		l.peers.recordBalances(from, g.Left, now)
	}
	b := l.bucket(w)
	if b == nil {
		return
	}
	b.requests++
	if b.available() >= 1 {
		b.requests = 0
		b.missedAt = time.Time{}
	} else if b.requests >= maxRequestsPerShortage {
		b.requests = 0
		b.backoffUntil = now.Add(l.shares[w].requestBackoff())
	}
	b.endRequest()
}

// CancelRequest ends the request of the workspace, which was not sent. The peer may
// be asked again soon, as nothing is known of its tokens.
func (l *Limiter) CancelRequest(w identifier.WorkspaceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	if b == nil {
		return
	}
	b.backoffUntil = l.now().Add(minRequestBackoff)
	b.endRequest()
}

// endRequest notifies those that wait for the request in flight.
func (b *bucket) endRequest() {
	b.requestInFlight = false
	if b.requestEnded != nil {
		close(b.requestEnded)
		b.requestEnded = nil
	}
}

// requestBackoff returns the time without requests after peers had no tokens:
// the time in which the rate over all instances yields one token, within
// minRequestBackoff and maxRequestBackoff.
func (s Share) requestBackoff() time.Duration {
	if s.Limit.Rate <= 0 {
		return maxRequestBackoff
	}
	next := time.Duration(float64(time.Second) / s.Limit.Rate)
	return min(max(next, minRequestBackoff), maxRequestBackoff)
}

// RequestEnded returns a channel that is closed when the workspace's request in
// flight ends, or nil if none is in flight.
func (l *Limiter) RequestEnded(w identifier.WorkspaceName) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	if b == nil || !b.requestInFlight {
		return nil
	}
	if b.requestEnded == nil {
		b.requestEnded = make(chan struct{})
	}
	return b.requestEnded
}

// Give removes the tokens that a peer requests from the buckets, except those
// that this instance needs for its own demand, and returns them as a grant.
func (l *Limiter) Give(request TokenRequest) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := Grant{Given: map[identifier.WorkspaceName]float64{}, Left: map[identifier.WorkspaceName]float64{}}
	now := l.now()
	for w, wanted := range request.Wants {
		b := l.bucket(w)
		if b == nil || !(wanted > 0) {
			continue
		}
		spare := max(0, b.tokens-b.demandAt(now)*grantorReserve.Seconds())
		given := grantableTokens(wanted, spare)
		b.tokens -= given
		if given > 0 {
			g.Given[w] = given
		}
		g.Left[w] = spare - given
	}
	return g
}

// requestTimeout limits the wait for a peer's grant.
const requestTimeout = 150 * time.Millisecond
