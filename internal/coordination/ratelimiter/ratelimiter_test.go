package ratelimiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
)

// fleet simulates instances that share the limit of one workspace, on a
// simulated clock.
type fleet struct {
	random        *rand.Rand
	now           time.Time
	limit         Limit
	instances     []*Limiter
	peers         []Peer
	inFlight      []delivery
	isPartitioned func(from, to int) bool
	admitted      []time.Time
	waiting       []*operation
	refused       int
	requests      int
}

// operation is an operation that waits for a token.
type operation struct {
	instance    int
	deadline    time.Time
	queued      bool
	queuedUntil time.Time
}

// admissionTimeout is how long an operation waits for a token.
const admissionTimeout = 30 * time.Millisecond

// delivery is a grant in flight, or a failed request if the grant is nil.
type delivery struct {
	at       time.Time
	to, from int
	grant    *Grant
}

const shop identifier.WorkspaceName = "shop"

const fleetSize = 15

const dataCentres = 3

// roundTrip is the time from a request to its grant.
const roundTrip = 3 * time.Millisecond

func newFleet(seed uint64, limit Limit) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), limit: limit}
	f.isPartitioned = func(int, int) bool { return false }
	for i := range fleetSize {
		dataCentre := identifier.DataCentre(fmt.Sprint("dc-", i%dataCentres))
		f.peers = append(f.peers, Peer{identifier.InstanceID(fmt.Sprint(i)), dataCentre})
	}
	for i := range fleetSize {
		f.instances = append(f.instances, f.newInstance(i))
	}
	return f
}

func (f *fleet) newInstance(i int) *Limiter {
	l := &Limiter{Now: func() time.Time { return f.now }}
	share := Share{Limit: f.limit}
	for _, p := range f.peers[:Owners(f.limit, fleetSize, dataCentres)] {
		share.Owners = append(share.Owners, p.ID)
	}
	l.Set(map[identifier.WorkspaceName]Share{shop: share}, f.peers[i].ID, f.peers)
	return l
}

// run starts operations at the rate for the duration. The weights distribute
// them over the instances.
func (f *fleet) run(span time.Duration, rate float64, weights []float64) {
	const step = time.Millisecond
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(step) {
		f.deliverGrants()
		f.advanceWaiting()
		for i, w := range weights {
			if f.random.Float64() < rate*w/sum*step.Seconds() {
				f.startOperation(i)
			}
		}
	}
}

// startOperation starts one operation as [Admitter.Admit] does: without a token
// it waits for a grant in flight, or for the refill by the instance's own
// fraction.
func (f *fleet) startOperation(i int) {
	l := f.instances[i]
	taken := l.Take(shop)
	f.request(i)
	if taken {
		f.admitted = append(f.admitted, f.now)
		return
	}
	f.waiting = append(f.waiting, &operation{instance: i, deadline: f.now.Add(admissionTimeout)})
}

// advanceWaiting admits or refuses the waiting operations that are due.
func (f *fleet) advanceWaiting() {
	remaining := f.waiting[:0]
	for _, o := range f.waiting {
		if !f.advance(o) {
			remaining = append(remaining, o)
		}
	}
	f.waiting = remaining
}

// advance reports whether the operation was admitted or refused.
func (f *fleet) advance(o *operation) bool {
	l := f.instances[o.instance]
	if o.queued && f.now.Before(o.queuedUntil) {
		return false
	}
	if o.queued {
		l.Leave(shop)
	} else {
		f.request(o.instance)
	}
	switch {
	case l.TakeAgain(shop):
		f.admitted = append(f.admitted, f.now)
	case !o.queued && l.RequestEnded(shop) != nil && f.now.Before(o.deadline):
		return false
	case !o.queued:
		wait, ok := l.Queue(shop, o.deadline.Sub(f.now))
		if ok {
			o.queued, o.queuedUntil = true, f.now.Add(wait)
			return false
		}
		f.refused++
	default:
		f.refused++
	}
	return true
}

func (f *fleet) request(i int) {
	to, request, ok := f.instances[i].NextRequest(shop)
	if !ok {
		return
	}
	f.requests++
	for j, p := range f.peers {
		if p.ID != to {
			continue
		}
		d := delivery{at: f.now.Add(roundTrip), to: i, from: j}
		if f.isPartitioned(i, j) {
			d.at = f.now.Add(requestTimeout)
		} else {
			g := f.instances[j].Give(request)
			d.grant = &g
		}
		f.inFlight = append(f.inFlight, d)
	}
}

func (f *fleet) deliverGrants() {
	remaining := f.inFlight[:0]
	for _, d := range f.inFlight {
		if d.at.After(f.now) {
			remaining = append(remaining, d)
			continue
		}
		f.instances[d.to].FinishRequest(shop, f.peers[d.from].ID, d.grant)
	}
	f.inFlight = remaining
}

// maxAdmitted returns the largest number of operations admitted within
// one quotaWindow.
func (f *fleet) maxAdmitted() int {
	maxAdmitted, first := 0, 0
	for i, t := range f.admitted {
		for t.Sub(f.admitted[first]) > quotaWindow {
			first++
		}
		maxAdmitted = max(maxAdmitted, i-first+1)
	}
	return maxAdmitted
}

// skewedWeights gives a few instances most of the operations, as happens when
// few clients are distributed by a hash.
func skewedWeights() []float64 {
	weights := make([]float64, fleetSize)
	for i := range weights {
		weights[i] = 1 / float64(1+i)
	}
	return weights
}

// quota returns the number of operations that users accept in a quotaWindow: a
// tenth and 20 operations more than rate and burst allow.
func quota(l Limit) int {
	return int((l.Rate*quotaWindow.Seconds()+l.Burst)*1.1 + 20)
}

const quotaWindow = 5 * time.Second

// Guards against a workspace being admitted beyond its rate when it sends many
// times that rate, and against refusals below the rate, when operations are
// distributed unevenly over the instances.
func TestSharesFollowUnevenDemand(t *testing.T) {
	for _, test := range []struct {
		name    string
		limit   Limit
		demand  float64 // Times the rate.
		refused float64 // Upper bound, as a fraction of the operations within the rate.
	}{
		{"usual", Limit{100, 100}, 1 / 1.6, 0.005},
		{"flood", Limit{100, 100}, 5, 0.05},
		{"small", Limit{12, 12}, 1 / 1.6, 0.02},
		{"small-over", Limit{12, 12}, 1.4, 0.05},
		{"small-flood", Limit{12, 12}, 5, 0.05},
	} {
		limit := test.limit
		demand := test.demand * limit.Rate
		for _, seed := range []uint64{1, 2, 3} {
			t.Run(fmt.Sprint(test.name, seed), func(t *testing.T) {
				f := newFleet(seed, limit)
				f.run(5*time.Second, limit.Rate/1.6, skewedWeights())
				f.admitted, f.refused, f.requests = nil, 0, 0
				const span = 20 * time.Second
				f.run(span, demand, skewedWeights())
				expected := min(demand, limit.Rate) * span.Seconds()
				refused := 1 - float64(len(f.admitted))/expected
				t.Logf("admitted %d of %.0f expected, refused %d, requests %d", len(f.admitted), expected, f.refused, f.requests)
				if demand < limit.Rate {
					refused = float64(f.refused) / float64(f.refused+len(f.admitted))
				}
				qt.Check(t, refused < test.refused, qt.IsTrue, qt.Commentf("refused fraction %.4f", refused))
				qt.Check(t, f.maxAdmitted() <= quota(limit), qt.IsTrue)
			})
		}
	}
}

// Guards against each side of a partition spending the entire rate.
func TestSharesHoldThroughAPartition(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	f := newFleet(1, limit)
	f.run(5*time.Second, 60, skewedWeights())
	f.isPartitioned = func(i, j int) bool { return (i%3 == 0) != (j%3 == 0) }
	f.run(6*time.Second, 400, skewedWeights())
	f.isPartitioned = func(int, int) bool { return false }
	f.run(6*time.Second, 400, skewedWeights())
	qt.Assert(t, f.maxAdmitted() <= quota(limit), qt.IsTrue, qt.Commentf("most operations in a window: %d", f.maxAdmitted()))
}

// Guards against an additional burst for each restart when all instances are
// killed repeatedly while a workspace sends many times its rate.
func TestSharesHoldThroughRestarts(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	f := newFleet(1, limit)
	f.run(5*time.Second, 60, skewedWeights()) // Fills the buckets.
	for range 6 {
		f.run(500*time.Millisecond, 500, skewedWeights())
		f.now = f.now.Add(minRestartTime) // The processes restart.
		for i := range f.instances {
			f.instances[i] = f.newInstance(i)
		}
		f.inFlight = nil
	}
	qt.Assert(t, f.maxAdmitted() <= quota(limit), qt.IsTrue, qt.Commentf("most operations in a window: %d", f.maxAdmitted()))
}

// Guards against instances that exceed the burst of a workspace together: each
// has read a member list that lacks the instances which register later, and has
// filled a bucket for too large a fraction (seed 303 of the soak).
func TestBucketsShrinkWithTheOwnedFraction(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := Limit{Rate: 30, Burst: 30}
	l := &Limiter{Now: func() time.Time { return now }}
	share := Share{Limit: limit, Owners: []identifier.InstanceID{"0"}}
	l.Set(map[identifier.WorkspaceName]Share{shop: share}, "0", nil)
	now = now.Add(time.Second)
	share.Owners = []identifier.InstanceID{"0", "1", "2", "3", "4"}
	l.Set(map[identifier.WorkspaceName]Share{shop: share}, "0", nil)
	admitted := 0
	for l.Take(shop) {
		admitted++
	}
	qt.Assert(t, admitted, qt.Equals, 6)
}

// Guards against transferred tokens being kept in addition to the refilled
// buckets of their grantors while most callers wait for backend servers that do
// not answer. The workspace would exceed its burst when the callers resume.
func TestExpiredGrantsAreCappedByTheBucket(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &Limiter{Now: func() time.Time { return now }}
	share := Share{Limit: Limit{Rate: 30, Burst: 30}, Owners: []identifier.InstanceID{"0", "1", "2", "3", "4"}}
	l.Set(map[identifier.WorkspaceName]Share{shop: share}, "0", nil)
	l.FinishRequest(shop, "1", &Grant{Given: map[identifier.WorkspaceName]float64{shop: 16}})
	now = now.Add(grantLifetime)
	l.Take(shop)
	now = now.Add(grantLifetime)
	admitted := 0
	for l.Take(shop) {
		admitted++
	}
	qt.Assert(t, admitted, qt.Equals, 6)
}

// Guards against instances that start together, read a member list that lacks
// the others and each admit the entire rate (seed 303 of the soak: 119
// operations of a workspace with rate and burst 30 in the first second).
func TestNewInstancesWaitForTheFullMemberList(t *testing.T) {
	now := time.Unix(1000, 0)
	admitted := 0
	all := []identifier.InstanceID{"0", "1", "2", "3", "4"}
	var instances []*Limiter
	for _, id := range all {
		l := &Limiter{Now: func() time.Time { return now }}
		l.MarkRegistered()
		alone := Share{Limit: Limit{Rate: 30, Burst: 30}, Owners: []identifier.InstanceID{id}}
		l.Set(map[identifier.WorkspaceName]Share{shop: alone}, id, nil)
		instances = append(instances, l)
	}
	for second := range 5 {
		for i, l := range instances {
			if second == 2 {
				divided := Share{Limit: Limit{Rate: 30, Burst: 30}, Owners: all}
				l.Set(map[identifier.WorkspaceName]Share{shop: divided}, all[i], nil)
			}
			for l.Take(shop) {
				admitted++
			}
		}
		now = now.Add(time.Second)
	}
	qt.Assert(t, admitted <= 2*30, qt.IsTrue, qt.Commentf("%d", admitted))
}

// Guards against tokens that nobody spends: an instance that has once refused an
// operation of many workspaces asked for tokens of all of them with each further
// request, and these lapsed. After a loss of power of 295 instances, each owner of
// many workspaces gave away most of their rates in this way.
func TestRequestsCoverOnlyWaitingOperations(t *testing.T) {
	now := time.Unix(1000, 0)
	shares := map[identifier.WorkspaceName]Share{}
	for i := range 30 {
		name := identifier.WorkspaceName(fmt.Sprint("w", i))
		shares[name] = Share{Limit: Limit{Rate: 20, Burst: 20}, Owners: []identifier.InstanceID{"owner"}}
	}
	l := &Limiter{Now: func() time.Time { return now }}
	l.Set(shares, "self", []Peer{{ID: "self"}, {ID: "owner"}})
	for name := range shares {
		qt.Assert(t, l.Take(name), qt.IsFalse)
	}
	_, request, ok := l.NextRequest("w0")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, request.Wants, qt.HasLen, 30) // All of them wait.
	l.FinishRequest("w0", "owner", &Grant{Given: map[identifier.WorkspaceName]float64{"w0": 1}})
	now = now.Add(10 * time.Second)
	qt.Assert(t, l.Take("w1"), qt.IsFalse)
	_, request, ok = l.NextRequest("w1")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, request.Wants, qt.HasLen, 1)
}

// Guards against an owner that is not asked for a second because the first request
// to it was not sent: after a loss of power the links are still being opened.
func TestCanceledRequestIsRepeatedSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &Limiter{Now: func() time.Time { return now }}
	shares := map[identifier.WorkspaceName]Share{shop: {Limit: Limit{Rate: 20, Burst: 20}, Owners: []identifier.InstanceID{"owner"}}}
	l.Set(shares, "self", []Peer{{ID: "self"}, {ID: "owner"}})
	qt.Assert(t, l.Take(shop), qt.IsFalse)
	_, _, ok := l.NextRequest(shop)
	qt.Assert(t, ok, qt.IsTrue)
	l.CancelRequest(shop, "owner")
	now = now.Add(minRequestBackoff)
	qt.Assert(t, l.Take(shop), qt.IsFalse)
	_, _, ok = l.NextRequest(shop)
	qt.Assert(t, ok, qt.IsTrue)
}
