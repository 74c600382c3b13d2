package follower

import (
	"math/rand/v2"
	"sync"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	// maxFallbackRate is the number of queries a second to the store from the
	// instances of one data centre whose relays have no recent proof, besides those
	// of the relays. While the store is away, all of them would query it otherwise.
	maxFallbackRate = 5
	// relayFallbackInterval is the time between two queries of a relay whose root
	// has no recent proof. The first one is sent at once, because others wait for it.
	relayFallbackInterval = time.Second
	// servicePeriod is the time without a request after which a fallback relay stops
	// to query the store.
	servicePeriod = time.Second
	// queryInterval is the least time between two queries that are answered. It is
	// shorter than the period of the rounds, whose jitter may shorten it.
	queryInterval = defaultPeriod * 7 / 8
)

// Fallback decides when an instance that does not get a recent proof from its
// parents queries the store: while others ask it for one, it does so at the pace of
// a root, as long as the store answers. After a failed query it waits for an
// interval that grows with the instances of the data centre, whatever the reason of
// the next query is, so that the calls stay bounded while the store is away. It is
// safe for concurrent use.
type Fallback struct {
	mu          sync.Mutex
	asked       bool
	askedAt     time.Duration // Last request while this instance was asked.
	wantedAge   time.Duration // Of the last request without a recent proof, until the store is queried; 0 means none.
	queried     bool
	queriedAt   time.Duration
	outstanding bool // The last query has not been answered yet.
	failures    int  // Of queries in succession.
	interval    time.Duration
}

// setInterval sets the time between two queries while the store does not answer.
func (b *Fallback) setInterval(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interval = d
}

// ObserveRequest records a request for a proof of at most this age, which this instance does
// not have. It reports whether the store has to be queried for it, and whether a
// query is or will be under way.
func (b *Fallback) ObserveRequest(now, maxAge time.Duration) (due, querying bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked, b.askedAt = true, now
	due = b.isDue(now)
	if due {
		b.wantedAge = maxAge
	}
	return due, due || b.outstanding
}

// isWanted reports whether the store has to be queried for a request at once.
func (b *Fallback) isWanted(now, age time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wantedAge > 0 && age > b.wantedAge && b.isDue(now)
}

// ObserveServed records a request that was answered with a recent proof.
func (b *Fallback) ObserveServed(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.serves(now) {
		b.askedAt = now
	}
}

// End ends the service of this instance as a fallback relay, because its parents
// have recent proofs again.
func (b *Fallback) End() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked = false
}

// Serves reports whether this instance is asked as a fallback relay.
func (b *Fallback) Serves(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serves(now)
}

func (b *Fallback) serves(now time.Duration) bool {
	return b.asked && now-b.askedAt <= servicePeriod
}

// Due reports whether this instance may query the store now.
func (b *Fallback) Due(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isDue(now)
}

// isRegular reports whether a root queries the store in this round: always, unless
// a query failed recently.
func (b *Fallback) isRegular(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.outstanding && (b.failures == 0 || b.isDue(now))
}

func (b *Fallback) isDue(now time.Duration) bool {
	interval := queryInterval
	if b.failures > 0 {
		interval = b.interval
	}
	return !b.outstanding && (!b.queried || now-b.queriedAt >= interval)
}

// Query records that a query is sent.
func (b *Fallback) Query(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queried, b.queriedAt, b.outstanding, b.wantedAge = true, now, true, 0
}

// Observe records the outcome of a query.
func (b *Fallback) Observe(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outstanding = false
	b.failures++
	if err == nil {
		b.failures = 0
	}
}

// fallsBack reports whether an instance that got no recent proof from a relay
// queries the store in this round. It does without as long as its own proof is
// recent. In a data centre with many instances it waits for its turn then, while
// it goes on asking the relays.
func (f *Follower) fallsBack() bool {
	now := f.Holder.Clock()
	if age, ok := f.Holder.Age(); ok && age < maxProofAgeWithoutRelay {
		f.fallbackAt = 0
		return false
	}
	f.fallbackRole.adopt(f.Holder.Catalog(), f.Self.ID)
	if f.fallbackAt == 0 {
		f.fallbackAt = now
		if !f.fallbackRole.isRelay {
			f.fallbackAt += rand.N(f.fallbackRole.interval)
		}
	}
	if now < f.fallbackAt || !f.Fallback.Due(now) {
		return false
	}
	f.fallbackAt = now + f.fallbackRole.interval
	return true
}

// fallbackRole is what an instance derives from a catalog for its queries of the store
// while its relays have no recent proof.
type fallbackRole struct {
	catalog  *cataloger.Catalog
	isRelay  bool
	interval time.Duration
}

func (r *fallbackRole) adopt(c *cataloger.Catalog, self identifier.InstanceID) {
	if r.catalog != c {
		t := newTree(c.Instances)
		*r = fallbackRole{c, t.isRelay(self), t.fallbackInterval(self)}
	}
}

// hasFailed reports whether the last query was not answered.
func (b *Fallback) hasFailed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures > 0
}
