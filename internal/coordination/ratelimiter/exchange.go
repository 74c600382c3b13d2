package ratelimiter

import (
	"math"
	"slices"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// TokenRequest requests tokens from a peer. Waiting is the part of Wants for
// which operations wait already.
type TokenRequest struct {
	Wants   map[identifier.WorkspaceName]float64 `cbor:"wants"`
	Waiting map[identifier.WorkspaceName]float64 `cbor:"waiting,omitempty"`
}

// Grant transfers tokens to the peer that requested them. Left is the number
// that the grantor could still give. RetryAfter is the time until a token for
// which this peer may return, if it got none. Starting lists the workspaces
// whose bucket lacks tokens because the grantor has just started.
type Grant struct {
	Given      map[identifier.WorkspaceName]float64       `cbor:"given"`
	Left       map[identifier.WorkspaceName]float64       `cbor:"left"`
	RetryAfter map[identifier.WorkspaceName]time.Duration `cbor:"retry_after,omitempty"`
	Starting   []identifier.WorkspaceName                 `cbor:"starting,omitempty"`
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
	if now.Before(b.backoffUntil) || len(b.inFlight) >= maxInFlight {
		return false
	}
	for _, r := range b.inFlight {
		if now.Sub(r.sentAt) < slowAnswer {
			return false
		}
	}
	if b.available() < float64(max(1, b.waiting)) && (b.waiting > 0 || now.Sub(b.missedAt) <= maxMissAge) {
		return true
	}
	// With little demand, tokens are requested only when one is missing: a
	// prefetched token might never be spent.
	upcoming := b.demand.at(now) * demandHorizon.Seconds() / 2
	return len(b.inFlight) == 0 && upcoming >= 1 && b.available() < upcoming
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
	now := l.now()
	peer, ok := l.peers.bestOwner(w, l.shares[w], now, b.isAwaiting)
	if !ok {
		return "", TokenRequest{}, false
	}
	request := TokenRequest{Wants: map[identifier.WorkspaceName]float64{}, Waiting: map[identifier.WorkspaceName]float64{}}
	for name := range l.buckets {
		if o := l.bucket(name); o == b || l.isShort(o) {
			request.Wants[name] = o.missingTokens(now)
			if o.waiting > 0 {
				request.Waiting[name] = min(request.Wants[name], float64(o.waiting))
			}
		}
	}
	b.inFlight = append(b.inFlight, requestInFlight{peer, now})
	return peer, request, true
}

// missingTokens returns the number of tokens to request for the operations that
// wait and the demand within demandHorizon. Together with those at hand they make
// up at least one whole token.
func (b *bucket) missingTokens(now time.Time) float64 {
	needed := max(1, float64(b.waiting), b.demand.at(now)*demandHorizon.Seconds())
	return needed - min(b.available(), 1-minRequestedTokens)
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
		l.peers.exclude(from, now, failureBackoff)
	} else {
		for name, given := range g.Given {
			if b := l.bucket(name); b != nil && given > 0 {
				b.grants = append(b.grants, grant{given, now.Add(grantLifetime)})
			}
		}
		l.peers.recordGrant(from, w, l.shares[w], g, now)
	}
	b := l.bucket(w)
	if b == nil {
		return
	}
	switch {
	case b.available() >= 1:
		b.missedAt = time.Time{}
		b.denials = 0
	case g != nil && l.isContended(w, g):
		if b.denials++; b.denials >= maxDenials {
			b.denials = 0
			b.backoffUntil = now.Add(denialBackoff)
		}
	}
	b.endRequest(from)
}

// isContended reports whether the peer that sent the grant has promised its next
// token to others before.
func (l *Limiter) isContended(w identifier.WorkspaceName, g *Grant) bool {
	wait, ok := g.RetryAfter[w]
	return !ok || wait > min(time.Second, secondsPer(l.shares[w].refillRate())*3/2)
}

// CancelRequest ends the request of the workspace, which was not sent. The peer may
// be asked again soon, as nothing is known of its tokens.
func (l *Limiter) CancelRequest(w identifier.WorkspaceName, to identifier.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers.exclude(to, l.now(), minRequestBackoff)
	if b := l.bucket(w); b != nil {
		b.endRequest(to)
	}
}

// endRequest notifies those that wait for the request in flight.
func (b *bucket) endRequest(peer identifier.InstanceID) {
	b.inFlight = slices.DeleteFunc(b.inFlight, func(r requestInFlight) bool { return r.peer == peer })
	if b.requestEnded != nil {
		close(b.requestEnded)
		b.requestEnded = nil
	}
}

// RequestEnded returns a channel that is closed when the workspace's request in
// flight ends, or nil if none is in flight.
func (l *Limiter) RequestEnded(w identifier.WorkspaceName) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	if b == nil || len(b.inFlight) == 0 {
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
	g := Grant{
		Given: map[identifier.WorkspaceName]float64{}, Left: map[identifier.WorkspaceName]float64{},
		RetryAfter: map[identifier.WorkspaceName]time.Duration{},
	}
	for w, wanted := range request.Wants {
		if b := l.bucket(w); b != nil && wanted > 0 {
			l.give(w, b, wanted, request.Waiting[w], &g)
		}
	}
	return g
}

// give adds the grant from one bucket to g. Tokens for which no operation of the
// peer waits yet are taken from half of the spare ones only, because they lapse
// if the operations do not come.
func (l *Limiter) give(w identifier.WorkspaceName, b *bucket, wanted, waiting float64, g *Grant) {
	now := l.now()
	spare := max(0, b.tokens-b.demand.at(now)*grantorReserve.Seconds())
	if waiting > 0 {
		wanted = min(wanted, max(waiting, math.Floor(spare/2)))
	}
	given := grantableTokens(wanted, spare)
	b.tokens -= given
	g.Left[w] = spare - given
	if given > 0 {
		g.Given[w] = given
		return
	}
	s := l.shares[w]
	if s.ownedFraction(l.self) == 0 {
		return
	}
	if now.Before(l.shareStart) || b.isDueToStart(now, 1.0/deniedOwners) {
		g.Starting = append(g.Starting, w)
	}
	g.RetryAfter[w] = b.denied.next(now, l.timeUntilTokens(w, b, 1), secondsPer(s.refillRate()*deniedOwners)).Sub(now)
}

const (
	// deniedOwners is the usual number of owners that deny a token to an operation
	// before it is refused. Its caller returns at the time of one of them, so that
	// the times of the others stay unused.
	deniedOwners = 2
	// requestTimeout limits the wait for a peer's grant.
	requestTimeout = 150 * time.Millisecond
	// slowAnswer is the time without a peer's answer after which another owner is
	// asked as well.
	slowAnswer = 20 * time.Millisecond
	// maxInFlight is the number of requests that may be in flight for a workspace
	// while their peers do not answer.
	maxInFlight = 2
)
