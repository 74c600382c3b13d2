package ratelimiter

import (
	"slices"
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
)

const (
	// demandHorizon is the time for which an instance aims to hold the tokens
	// that its own demand needs.
	demandHorizon = 400 * time.Millisecond
	// grantorReserve is the time for which an instance keeps the tokens that
	// its own demand needs when a peer requests some.
	grantorReserve = 200 * time.Millisecond
	// demandWindow is the time constant of the moving average of demand.
	demandWindow = time.Second
	// Bounds of the time without requests after the peers of one shortage had
	// no tokens.
	minRequestBackoff = 60 * time.Millisecond
	maxRequestBackoff = 150 * time.Millisecond
	// grantLifetime is the time within which transferred tokens must be spent.
	// The grantor's bucket refills meanwhile, so tokens that are kept for
	// longer would add to the burst. It is a tenth of the window over which
	// users check the limit, because they accept a tenth over the limit.
	grantLifetime = 500 * time.Millisecond
	// minRestartTime is the shortest time from the end of a process to the
	// first operation of its successor.
	minRestartTime = 250 * time.Millisecond
	// maxRequestsPerShortage is the number of requests that one shortage may
	// cause in a row before the backoff.
	maxRequestsPerShortage = 3
	// maxMissAge is the time after an operation found no token for which tokens
	// are requested for it. Most operations do not wait for longer.
	maxMissAge = 150 * time.Millisecond
	// Bounds of the retry delay that a refused caller receives.
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = time.Second
)

// Limit is the rate limit of a workspace over all instances: the rate in
// operations per second and the burst in operations.
type Limit struct {
	Rate, Burst float64
}

// Share is the limit of a workspace and the instances among which it is divided.
type Share struct {
	Limit  Limit
	Owners []identifier.InstanceID
}

// ownedFraction returns the fraction of the limit that the instance owns.
func (s Share) ownedFraction(id identifier.InstanceID) float64 {
	if !slices.Contains(s.Owners, id) {
		return 0
	}
	return 1 / float64(len(s.Owners))
}

// Owners returns the number of instances among which a limit is divided: one
// for each minOwnerRate in the rate, but at least one per data centre and at
// most all members.
func Owners(l Limit, members, dataCentres int) int {
	return min(members, max(dataCentres, int(l.Rate/minOwnerRate)))
}

// minOwnerRate is the smallest rate that an owner gets, in operations per
// second, unless each data centre needs an owner. With smaller fractions a
// bucket may hold no whole token, and the buckets of instances without demand
// are full most of the time: the tokens that do not fit are lost to the
// workspace.
const minOwnerRate = 5

// Limiter holds the token buckets of one instance. The zero value admits
// nothing until [Limiter.Set] is called. It is safe for concurrent use.
type Limiter struct {
	Now func() time.Time // Nil selects time.Now.

	mu         sync.Mutex
	shareStart time.Time // Start of the own fractions, after the JoinWait.
	self       identifier.InstanceID
	shares     map[identifier.WorkspaceName]Share
	buckets    map[identifier.WorkspaceName]*bucket
	peers      peers
}

// JoinWait is the time after its registration during which an instance owns no
// fraction of any limit. Instances that start together read member lists that
// lack each other and would all take fractions that are too large. Within this
// time they have read the full list twice.
const JoinWait = 2500 * time.Millisecond

// MarkRegistered records that this instance was registered just now: it empties
// the buckets and starts the [JoinWait].
func (l *Limiter) MarkRegistered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shareStart = l.now().Add(JoinWait)
	for _, b := range l.buckets {
		b.tokens = 0
		b.refilledAt = l.shareStart
	}
}

// OwnershipStart returns the time from which this instance owns its fractions,
// or the zero time if [Limiter.MarkRegistered] was not called.
func (l *Limiter) OwnershipStart() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shareStart
}

// Set replaces the shares and the members from which tokens are requested.
func (l *Limiter) Set(shares map[identifier.WorkspaceName]Share, self identifier.InstanceID, members []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := range l.buckets {
		l.bucket(w) // Refills by the old shares up to now.
	}
	l.self = self
	l.shares = shares
	l.peers.update(self, members)
	for w := range l.buckets {
		if _, ok := shares[w]; !ok {
			delete(l.buckets, w)
		}
	}
	for w := range shares {
		l.bucket(w) // Starts the refill, so that the first operation finds a token.
	}
}

// Take counts an operation as demand, removes a token for it and reports
// whether there was one.
func (l *Limiter) Take(w identifier.WorkspaceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	if b == nil {
		return false
	}
	b.recordArrival(l.now())
	taken := b.take()
	if !taken {
		b.missedAt = l.now()
	}
	return taken
}

// TakeAgain is [Limiter.Take] for an operation that is already counted as
// demand.
func (l *Limiter) TakeAgain(w identifier.WorkspaceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	return b != nil && b.take()
}

// RetryAfter returns the time until the refill from this instance's own
// fraction brings the bucket to one token, within minRetryAfter and
// maxRetryAfter.
func (l *Limiter) RetryAfter(w identifier.WorkspaceName) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	if b == nil {
		return maxRetryAfter
	}
	return l.timeUntilTokens(w, b, 1)
}

// Queue registers an operation that waits for a token from this instance's own
// fraction, behind those that wait already. It returns the time to wait, and
// false if that exceeds the limit. A registered operation must call
// [Limiter.Leave] after the wait.
func (l *Limiter) Queue(w identifier.WorkspaceName, limit time.Duration) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	if b == nil {
		return 0, false
	}
	wait = l.timeUntilTokens(w, b, float64(b.queued)+1)
	if wait > limit {
		return wait, false
	}
	b.queued++
	return wait, true
}

// Leave removes an operation that [Limiter.Queue] registered.
func (l *Limiter) Leave(w identifier.WorkspaceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.bucket(w); b != nil {
		b.queued--
	}
}

// timeUntilTokens returns the time until the bucket holds the tokens, from the
// refill by this instance's own fraction alone, within minRetryAfter and
// maxRetryAfter.
func (l *Limiter) timeUntilTokens(w identifier.WorkspaceName, b *bucket, tokens float64) time.Duration {
	s := l.shares[w]
	rate := s.Limit.Rate * s.ownedFraction(l.self)
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration((tokens - b.available()) / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// bucket refills the bucket of a workspace up to now and returns it, or
// nil if the workspace is unknown.
func (l *Limiter) bucket(w identifier.WorkspaceName) *bucket {
	s, ok := l.shares[w]
	if !ok {
		return nil
	}
	now := l.now()
	b, ok := l.buckets[w]
	if !ok {
		if l.buckets == nil {
			l.buckets = map[identifier.WorkspaceName]*bucket{}
		}
		// A new bucket starts with the refill of one restart instead of a
		// full burst: the previous process of this instance may have spent
		// that burst just before.
		b = &bucket{refilledAt: now.Add(-minRestartTime), demandAsOf: now}
		if l.shareStart.After(b.refilledAt) {
			b.refilledAt = l.shareStart
		}
		l.buckets[w] = b
	}
	b.refill(now, s.Limit, s.ownedFraction(l.self))
	return b
}

func (l *Limiter) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}
