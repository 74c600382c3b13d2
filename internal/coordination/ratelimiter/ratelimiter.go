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
	// minRequestBackoff is the time without requests to a peer to which a request
	// could not be sent.
	minRequestBackoff = 60 * time.Millisecond
	// denialBackoff is the time without requests for a workspace after
	// maxDenials peers in a row had no tokens.
	denialBackoff = 60 * time.Millisecond
	maxDenials    = 3
	// grantLifetime is the time within which transferred tokens must be spent.
	// The grantor's bucket refills meanwhile, so tokens that are kept for
	// longer would add to the burst. It is a tenth of the window over which
	// users check the limit, because they accept a tenth over the limit.
	grantLifetime = 500 * time.Millisecond
	// minRestartTime is the shortest time from the end of a process to the
	// first operation of its successor.
	minRestartTime = 250 * time.Millisecond
	// maxMissAge is the time after an operation found no token for which tokens
	// are requested for it. Most operations do not wait for longer.
	maxMissAge = 150 * time.Millisecond
	// maxStartTime limits the time for which refusals are attributed to the start
	// of a process.
	maxStartTime = 3 * time.Second
	// Bounds of the retry delay that a refused caller receives.
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = 3 * time.Second
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

// refillRate returns the tokens that each owner's bucket gets per second.
func (s Share) refillRate() float64 {
	return s.Limit.Rate / float64(max(1, len(s.Owners)))
}

// capacity returns the number of tokens that each owner's bucket holds.
func (s Share) capacity() float64 {
	if len(s.Owners) == 0 {
		return 0
	}
	return max(s.Limit.Burst/float64(len(s.Owners)), min(usualCapacity, (s.Limit.Burst+maxExtraBurst)/float64(len(s.Owners))))
}

// Owners returns the number of instances among which a limit is divided: one
// for each minOwnerRate in the rate, but at least minOwners and one per data
// centre. There are at most all members, and no more than have minCapacity each
// within the burst and maxExtraBurst. Where most members can be owners, the rate
// is divided further, because owners need no message for their own operations.
func Owners(l Limit, members, dataCentres int) int {
	count := max(minOwners, dataCentres, int(l.Rate/minOwnerRate))
	if most := int(l.Rate / minMajorityOwnerRate); 2*most > members {
		count = most
	}
	return min(members, max(1, min(count, int((l.Burst+maxExtraBurst)/minCapacity))))
}

const (
	// minOwners is the usual number of owners of a small rate. While one of them
	// does not answer, the others yield three quarters of the rate.
	minOwners = 4
	// minOwnerRate is the smallest rate that an owner gets, in operations per
	// second, unless each data centre needs an owner.
	minOwnerRate = 20
	// minMajorityOwnerRate is the smallest rate that an owner gets if owners are
	// the majority of the members.
	minMajorityOwnerRate = 5
	// minCapacity is the smallest number of tokens that an owner's bucket holds
	// when it is full. A smaller bucket may hold no whole token, and loses most
	// of its refill between two operations.
	minCapacity = 3
	// usualCapacity is the number of tokens that an owner's bucket holds, unless
	// the burst is larger, or too small even with maxExtraBurst.
	usualCapacity = 6
	// maxExtraBurst limits the tokens that the buckets of all owners hold beyond
	// the burst so that each holds usualCapacity. Users accept 20 operations beyond
	// the limit in their window. The other half covers operations that wait
	// between their admission and their run.
	maxExtraBurst = 10
)

// Limiter holds the token buckets of one instance. The zero value admits
// nothing until [Limiter.Set] is called. It is safe for concurrent use.
type Limiter struct {
	Now func() time.Time // Nil selects time.Now.
	// StartedAt is the time at which this process started, after the end of the
	// previous process of this instance. The buckets of the first shares refill
	// from then on. The zero time means the time of the first shares.
	StartedAt time.Time

	mu         sync.Mutex
	shareStart time.Time // Start of the own fractions, after the JoinWait.
	newSince   time.Time // From when new buckets refill, apart from minRestartTime.
	self       identifier.InstanceID
	shares     map[identifier.WorkspaceName]Share
	buckets    map[identifier.WorkspaceName]*bucket
	peers      peers
	unknown    retrySchedule // Of the callers of workspaces that are not known.
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
	l.newSince = l.now()
	if l.shares == nil && !l.StartedAt.IsZero() {
		l.newSince = l.StartedAt
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
	now := l.now()
	b.demand.add(now)
	if !b.take() {
		b.missedAt = now
		return false
	}
	b.admitted.add(now)
	return true
}

// TakeAgain is [Limiter.Take] for an operation that is already counted as
// demand.
func (l *Limiter) TakeAgain(w identifier.WorkspaceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	if b == nil || !b.take() {
		return false
	}
	b.admitted.add(l.now())
	return true
}

// Wait registers an operation that waits for tokens. It must call
// [Limiter.EndWait] when it has one or gives up.
func (l *Limiter) Wait(w identifier.WorkspaceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.bucket(w); b != nil {
		b.waiting++
	}
}

// EndWait removes an operation that [Limiter.Wait] registered.
func (l *Limiter) EndWait(w identifier.WorkspaceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	if b == nil || b.waiting == 0 {
		return // The bucket was replaced during the wait.
	}
	b.waiting--
	if b.waiting == 0 {
		b.missedAt = time.Time{}
		b.denials = 0
	}
}

// Queue registers an operation that waits for a refill, of this instance's own
// bucket behind those that wait already, or of a peer's. It returns the time to
// wait, and false if that exceeds the limit. A registered operation must call
// [Limiter.Leave] after the wait.
func (l *Limiter) Queue(w identifier.WorkspaceName, limit time.Duration) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	if b == nil {
		return 0, false
	}
	wait = l.timeUntilTokens(w, b, float64(b.queued)+1)
	if b.queued == 0 && !l.now().Before(b.backoffUntil) {
		wait = min(wait, max(minRetryAfter, l.peers.timeUntilToken(w, l.shares[w], l.now())))
	}
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
	if b := l.bucket(w); b != nil && b.queued > 0 {
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
		b = &bucket{refilledAt: l.newSince.Add(-minRestartTime)}
		if l.shareStart.After(b.refilledAt) {
			b.refilledAt = l.shareStart
		}
		l.buckets[w] = b
	}
	fraction := s.ownedFraction(l.self)
	capacity := 0.0
	if fraction > 0 {
		capacity = s.capacity()
	}
	b.refill(now, s.Limit.Rate*fraction, capacity)
	if !ok && b.tokens < capacity {
		b.missing = capacity - b.tokens
		b.missingUntil = now.Add(min(maxStartTime, time.Duration(b.missing/(s.Limit.Rate*fraction)*float64(time.Second))))
	}
	return b
}

func (l *Limiter) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}
