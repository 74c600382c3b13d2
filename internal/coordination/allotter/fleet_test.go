package allotter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
)

// fleet plays instances that share one workspace on a simulated clock.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	limit     Limit
	instances []*Allotter
	peers     []Peer
	inFlight  []delivery
	cut       func(from, to int) bool
	admitted  []time.Time
	waiting   []*operation
	refused   int
	asks      int
}

// operation waits for a token.
type operation struct {
	instance int
	end      time.Time
	queued   bool
	queuedTo time.Time
}

// patience is how long an operation waits for a token.
const patience = 30 * time.Millisecond

// delivery is a grant under way.
type delivery struct {
	at       time.Time
	to, from int
	grant    *Grant
}

const shop identifier.WorkspaceName = "shop"

// fleetSize is the number of instances.
const fleetSize = 15

const dataCentres = 3

// hop is the time from a question to its answer between two instances.
const hop = 3 * time.Millisecond

func newFleet(seed uint64, limit Limit) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), limit: limit}
	f.cut = func(int, int) bool { return false }
	for i := range fleetSize {
		dataCentre := identifier.DataCentre(fmt.Sprint("dc-", i%dataCentres))
		f.peers = append(f.peers, Peer{identifier.InstanceID(fmt.Sprint(i)), dataCentre})
	}
	for i := range fleetSize {
		f.instances = append(f.instances, f.newInstance(i))
	}
	return f
}

func (f *fleet) newInstance(i int) *Allotter {
	a := &Allotter{Now: func() time.Time { return f.now }}
	share := Share{Limit: f.limit}
	for _, p := range f.peers[:Owners(f.limit, fleetSize, dataCentres)] {
		share.Owners = append(share.Owners, p.ID)
	}
	a.Set(map[identifier.WorkspaceName]Share{shop: share}, f.peers[i].ID, f.peers)
	return a
}

// play offers operations at the rate for the time. weights are the parts of
// the instances.
func (f *fleet) play(span time.Duration, rate float64, weights []float64) {
	const step = time.Millisecond
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(step) {
		f.deliver()
		f.serveWaiting()
		for i, w := range weights {
			if f.random.Float64() < rate*w/sum*step.Seconds() {
				f.offer(i)
			}
		}
	}
}

// offer admits one operation as [Asker.Admit] does: it waits for a grant under
// way, or for the instance's own part of the rate.
func (f *fleet) offer(i int) {
	a := f.instances[i]
	taken := a.Take(shop)
	f.ask(i)
	if taken {
		f.admitted = append(f.admitted, f.now)
		return
	}
	f.waiting = append(f.waiting, &operation{instance: i, end: f.now.Add(patience)})
}

// serveWaiting lets the waiting operations go on.
func (f *fleet) serveWaiting() {
	rest := f.waiting[:0]
	for _, o := range f.waiting {
		if !f.step(o) {
			rest = append(rest, o)
		}
	}
	f.waiting = rest
}

// step reports whether the operation was admitted or refused.
func (f *fleet) step(o *operation) bool {
	a := f.instances[o.instance]
	if o.queued && f.now.Before(o.queuedTo) {
		return false
	}
	if o.queued {
		a.Leave(shop)
	} else {
		f.ask(o.instance)
	}
	switch {
	case a.TakeAgain(shop):
		f.admitted = append(f.admitted, f.now)
	case !o.queued && a.Changed(shop) != nil && f.now.Before(o.end):
		return false
	case !o.queued:
		wait, ok := a.Queue(shop, o.end.Sub(f.now))
		if ok {
			o.queued, o.queuedTo = true, f.now.Add(wait)
			return false
		}
		f.refused++
	default:
		f.refused++
	}
	return true
}

func (f *fleet) ask(i int) {
	to, ask, ok := f.instances[i].Next(shop)
	if !ok {
		return
	}
	f.asks++
	for j, p := range f.peers {
		if p.ID != to {
			continue
		}
		d := delivery{at: f.now.Add(hop), to: i, from: j}
		if f.cut(i, j) {
			d.at = f.now.Add(askTimeout)
		} else {
			g := f.instances[j].Give(ask)
			d.grant = &g
		}
		f.inFlight = append(f.inFlight, d)
	}
}

func (f *fleet) deliver() {
	rest := f.inFlight[:0]
	for _, d := range f.inFlight {
		if d.at.After(f.now) {
			rest = append(rest, d)
			continue
		}
		f.instances[d.to].Receive(shop, f.peers[d.from].ID, d.grant)
	}
	f.inFlight = rest
}

// most returns the largest number of operations admitted in a quota window.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, t := range f.admitted {
		for t.Sub(f.admitted[first]) > quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// skewed gives a few instances most of the calls, as a hash of few clients does.
func skewed() []float64 {
	weights := make([]float64, fleetSize)
	for i := range weights {
		weights[i] = 1 / float64(1+i)
	}
	return weights
}

// quota is what the users accept in a window: a tenth and 20 operations over
// the rate and burst.
func quota(l Limit) int {
	return int((l.Rate*quotaWindow.Seconds()+l.Burst)*1.1 + 20)
}

const quotaWindow = 5 * time.Second

// Guards against operations over the rate of a workspace that sends many times
// its rate, and against refusals below it, with calls that arrive unevenly.
func TestSharesFollowUnevenDemand(t *testing.T) {
	for _, test := range []struct {
		name    string
		limit   Limit
		demand  float64 // Times the rate.
		refused float64 // Part of the operations within the rate.
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
				f.play(5*time.Second, limit.Rate/1.6, skewed())
				f.admitted, f.refused, f.asks = nil, 0, 0
				const span = 20 * time.Second
				f.play(span, demand, skewed())
				owed := min(demand, limit.Rate) * span.Seconds()
				lost := 1 - float64(len(f.admitted))/owed
				t.Logf("admitted %d of %.0f owed, refused %d, asks %d", len(f.admitted), owed, f.refused, f.asks)
				if demand < limit.Rate {
					lost = float64(f.refused) / float64(f.refused+len(f.admitted))
				}
				qt.Check(t, lost < test.refused, qt.IsTrue, qt.Commentf("lost %.4f", lost))
				qt.Check(t, f.most() <= quota(limit), qt.IsTrue)
			})
		}
	}
}

// Guards against each side of a partition spending the whole rate.
func TestSharesHoldThroughAPartition(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	f := newFleet(1, limit)
	f.play(5*time.Second, 60, skewed())
	f.cut = func(i, j int) bool { return (i%3 == 0) != (j%3 == 0) }
	f.play(6*time.Second, 400, skewed())
	f.cut = func(int, int) bool { return false }
	f.play(6*time.Second, 400, skewed())
	qt.Assert(t, f.most() <= quota(limit), qt.IsTrue, qt.Commentf("most %d", f.most()))
}

// Guards against a burst for each restart, when all instances are killed again
// and again while a workspace sends many times its rate.
func TestSharesHoldThroughRestarts(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	f := newFleet(1, limit)
	f.play(5*time.Second, 60, skewed()) // Fills the bursts.
	for range 6 {
		f.play(500*time.Millisecond, 500, skewed())
		f.now = f.now.Add(restart) // The processes start again.
		for i := range f.instances {
			f.instances[i] = f.newInstance(i)
		}
		f.inFlight = nil
	}
	qt.Assert(t, f.most() <= quota(limit), qt.IsTrue, qt.Commentf("most %d", f.most()))
}

// Guards against a burst that instances without a view of the others add to
// that of the workspace: each of them has read a list of instances that lacks
// those which register later (seed 303 of the soak).
func TestBucketsShrinkWithTheOwnPart(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := Limit{Rate: 30, Burst: 30}
	a := &Allotter{Now: func() time.Time { return now }}
	share := Share{Limit: limit, Owners: []identifier.InstanceID{"0"}}
	a.Set(map[identifier.WorkspaceName]Share{shop: share}, "0", nil)
	now = now.Add(time.Second)
	share.Owners = []identifier.InstanceID{"0", "1", "2", "3", "4"}
	a.Set(map[identifier.WorkspaceName]Share{shop: share}, "0", nil)
	admitted := 0
	for a.Take(shop) {
		admitted++
	}
	qt.Assert(t, admitted, qt.Equals, 6)
}

// Guards against tokens that peers have handed over being kept beside buckets
// that fill up again, while most callers wait for servers that do not answer:
// the workspace would have more than its burst when they go on.
func TestGrantsAreSpentSoonOrNotAtAll(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &Allotter{Now: func() time.Time { return now }}
	share := Share{Limit: Limit{Rate: 30, Burst: 30}, Owners: []identifier.InstanceID{"0", "1", "2", "3", "4"}}
	a.Set(map[identifier.WorkspaceName]Share{shop: share}, "0", nil)
	a.Receive(shop, "1", &Grant{Given: map[identifier.WorkspaceName]float64{shop: 16}})
	now = now.Add(grantLife)
	a.Take(shop)
	now = now.Add(grantLife)
	admitted := 0
	for a.Take(shop) {
		admitted++
	}
	qt.Assert(t, admitted, qt.Equals, 6)
}

// Guards against instances that start together, read a list that lacks the
// others and admit a whole rate each (seed 303 of the soak: 119 operations of a
// workspace with rate and burst 30 in the first second).
func TestNewInstancesWaitForTheWholeList(t *testing.T) {
	now := time.Unix(1000, 0)
	admitted := 0
	all := []identifier.InstanceID{"0", "1", "2", "3", "4"}
	var fleet []*Allotter
	for _, id := range all {
		a := &Allotter{Now: func() time.Time { return now }}
		a.Joined()
		alone := Share{Limit: Limit{Rate: 30, Burst: 30}, Owners: []identifier.InstanceID{id}}
		a.Set(map[identifier.WorkspaceName]Share{shop: alone}, id, nil)
		fleet = append(fleet, a)
	}
	for second := range 5 {
		for i, a := range fleet {
			if second == 2 {
				whole := Share{Limit: Limit{Rate: 30, Burst: 30}, Owners: all}
				a.Set(map[identifier.WorkspaceName]Share{shop: whole}, all[i], nil)
			}
			for a.Take(shop) {
				admitted++
			}
		}
		now = now.Add(time.Second)
	}
	qt.Assert(t, admitted <= 2*30, qt.IsTrue, qt.Commentf("%d", admitted))
}
