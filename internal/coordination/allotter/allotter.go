package allotter

import (
	"slices"
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
)

const (
	// ahead is the time of its own demand for which an instance holds tokens.
	ahead = 400 * time.Millisecond
	// kept is the time of its own demand that a giver keeps.
	kept = 200 * time.Millisecond
	// demandWindow is the time over which demand is averaged.
	demandWindow = time.Second
	// Bounds of the time for which nobody is asked after all asked peers had
	// no tokens.
	minExhausted = 60 * time.Millisecond
	maxExhausted = 150 * time.Millisecond
	// grantLife is the time within which tokens that a peer has handed over
	// are spent. The peer's bucket fills up meanwhile, so that tokens that
	// are kept for longer would add to the burst. It is a tenth of the users'
	// window, as is what they accept over the limit.
	grantLife = 500 * time.Millisecond
	// restart is the least time from the end of a process to the first
	// operation of its successor.
	restart = 250 * time.Millisecond
	// asksInRow is the number of peers that are asked for one shortage.
	asksInRow = 3
	// Bounds of the time that a refused caller is told to wait.
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = time.Second
)

// Limit is the rate in operations a second and the burst in operations of a
// workspace over all instances.
type Limit struct {
	Rate, Burst float64
}

// Share is the limit of a workspace with the instances that own it.
type Share struct {
	Limit  Limit
	Owners []identifier.InstanceID
}

// part is the fraction that the instance owns.
func (s Share) part(id identifier.InstanceID) float64 {
	if !slices.Contains(s.Owners, id) {
		return 0
	}
	return 1 / float64(len(s.Owners))
}

// Owners returns the number of instances among which a rate is divided, at
// most all of them: each gets enough for its bucket to hold whole tokens, and
// there is one for each data centre if possible.
func Owners(l Limit, members, dataCentres int) int {
	return min(members, max(dataCentres, int(l.Rate/ownerRate)))
}

// ownerRate is the least part of a rate that an owner gets, in operations a
// second. With smaller parts the buckets of instances without demand are full
// most of the time, and what they do not gain is lost to the workspace.
const ownerRate = 5

// Allotter holds the buckets of one instance. The zero value admits nothing
// until [Allotter.Set]. It is safe for concurrent use.
type Allotter struct {
	Now func() time.Time // Nil selects time.Now.

	mu      sync.Mutex
	begins  time.Time // Of the own part.
	self    identifier.InstanceID
	shares  map[identifier.WorkspaceName]Share
	buckets map[identifier.WorkspaceName]*bucket
	peers   peers
}

// JoinWait is the time after its registration within which an instance has no
// part of any rate. Instances that start together read lists without each other
// and would all take parts that are too large; they have read the whole list
// twice within it.
const JoinWait = 2500 * time.Millisecond

// Joined tells that this instance was registered just now.
func (a *Allotter) Joined() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begins = a.now().Add(JoinWait)
	for _, b := range a.buckets {
		b.tokens = 0
		b.filled = a.begins
	}
}

// Begins returns when the own part of the rates begins, the zero time if it has
// no wait.
func (a *Allotter) Begins() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.begins
}

// Set replaces the shares and the instances that hold them.
func (a *Allotter) Set(shares map[identifier.WorkspaceName]Share, self identifier.InstanceID, members []Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.buckets {
		a.bucket(w) // Fills by the old shares up to now.
	}
	a.self = self
	a.shares = shares
	a.peers.set(self, members)
	for w := range a.buckets {
		if _, ok := shares[w]; !ok {
			delete(a.buckets, w)
		}
	}
	for w := range shares {
		a.bucket(w) // Begins to fill, so that the first operation finds a token.
	}
}

// Take removes a token for one operation and reports whether there was one.
func (a *Allotter) Take(w identifier.WorkspaceName) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(w)
	if b == nil {
		return false
	}
	b.arrive(a.now())
	taken := b.take()
	b.starved = b.starved || !taken
	return taken
}

// TakeAgain is [Allotter.Take] for an operation that was counted as demand
// before.
func (a *Allotter) TakeAgain(w identifier.WorkspaceName) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(w)
	return b != nil && b.take()
}

// RetryAfter returns the time after which the instance's own part of the rate
// gives a token to one more operation than those that wait already.
func (a *Allotter) RetryAfter(w identifier.WorkspaceName) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(w)
	if b == nil {
		return maxRetryAfter
	}
	return a.refillTime(w, b, 1)
}

// Queue lets an operation wait for the own part of the rate if a token comes
// within the limit. The caller calls [Allotter.Leave] after the wait.
func (a *Allotter) Queue(w identifier.WorkspaceName, limit time.Duration) (wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(w)
	if b == nil {
		return 0, false
	}
	wait = a.refillTime(w, b, float64(b.waiting)+1)
	if wait > limit {
		return wait, false
	}
	b.waiting++
	return wait, true
}

// Leave ends a wait.
func (a *Allotter) Leave(w identifier.WorkspaceName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.bucket(w); b != nil {
		b.waiting--
	}
}

func (a *Allotter) refillTime(w identifier.WorkspaceName, b *bucket, tokens float64) time.Duration {
	s := a.shares[w]
	rate := s.Limit.Rate * s.part(a.self)
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration((tokens - b.available()) / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// bucket returns the filled bucket of a workspace, nil for an unknown one.
func (a *Allotter) bucket(w identifier.WorkspaceName) *bucket {
	s, ok := a.shares[w]
	if !ok {
		return nil
	}
	now := a.now()
	b, ok := a.buckets[w]
	if !ok {
		if a.buckets == nil {
			a.buckets = map[identifier.WorkspaceName]*bucket{}
		}
		// A new bucket starts with what a restart takes, not with its
		// burst, which this instance may have spent just before.
		b = &bucket{filled: now.Add(-restart), seen: now}
		if a.begins.After(b.filled) {
			b.filled = a.begins
		}
		a.buckets[w] = b
	}
	b.fill(now, s.Limit, s.part(a.self))
	return b
}

func (a *Allotter) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}
