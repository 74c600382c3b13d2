package ratelimiter

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"oleanderpulley/internal/state/identifier"
)

// simulation runs the admitters of a fleet for one workspace in a
// [synctest] bubble, so that waits and message delays take no real time.
type simulation struct {
	size, dataCentres int
	limit             Limit
	random            *rand.Rand
	nodes             []*node
	report            report
	limits            []limitChange
	isPartitioned     func(from, to int) bool

	mu        sync.Mutex
	attempts  sync.WaitGroup
	reference referenceBucket
}

// node is one instance of a simulation.
type node struct {
	index    int
	peer     Peer
	limiter  *Limiter
	admitter *Admitter
	silent   bool    // Gets no messages and answers none.
	closed   bool    // Its connections are closed, so that requests are not sent.
	removed  bool    // Is in no member list.
	given    float64 // Tokens that peers transferred to it.
	admitted int
}

// report holds the results of a simulation.
type report struct {
	attempts, owed, refused, wrongful int
	messages                          int
	waits                             time.Duration
	longestWait                       time.Duration
	idleTokens                        float64 // Whole tokens in the buckets of all instances, summed over idleSamples.
	idleSamples                       int     // Wrongful refusals at which the tokens were counted.
	lapsed                            float64 // Transferred tokens that were not spent at instances that own nothing.
	admitted                          []time.Time
	reasons                           map[Reason]int
}

const (
	// attemptWait is a quarter of a target latency of 200 ms.
	attemptWait = 50 * time.Millisecond
	// Round trips of a message in a data centre and between two.
	localRoundTrip  = 2 * time.Millisecond
	remoteRoundTrip = 12 * time.Millisecond
)

// referenceBucket is one bucket in place of all instances. It admits every
// attempt for which it has a token, whether or not the fleet admitted it.
type referenceBucket struct {
	limit  Limit
	tokens float64
	at     time.Time
}

func (b *referenceBucket) take(now time.Time) bool {
	b.tokens = min(b.limit.Burst, b.tokens+b.limit.Rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// newSimulation starts the instances. It must be called in a bubble.
func newSimulation(seed uint64, size, dataCentres int, limit Limit) *simulation {
	s := &simulation{size: size, dataCentres: dataCentres, limit: limit, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range size {
		peer := Peer{identifier.InstanceID(fmt.Sprint(i)), identifier.DataCentre(fmt.Sprint("dc-", i%dataCentres))}
		s.nodes = append(s.nodes, &node{index: i, peer: peer})
	}
	for _, n := range s.nodes {
		s.restart(n, 0)
	}
	s.reference = referenceBucket{limit, limit.Burst, time.Now()}
	s.limits = []limitChange{{time.Now(), limit}}
	s.reset()
	return s
}

// restart replaces the process of an instance by a new one, which knows the
// limits after startup.
func (s *simulation) restart(n *node, startup time.Duration) {
	limiter := &Limiter{StartedAt: time.Now()}
	s.mu.Lock()
	n.limiter = limiter
	n.admitter = &Admitter{Limiter: limiter, Request: func(ctx context.Context, to identifier.InstanceID, request TokenRequest) (Grant, error) {
		return s.send(ctx, n, to, request)
	}}
	n.silent, n.closed = false, false
	s.mu.Unlock()
	time.Sleep(startup)
	s.setShares(n)
}

// setShares passes the limit and the member list to an instance.
func (s *simulation) setShares(n *node) {
	s.mu.Lock()
	share := Share{Limit: s.limit}
	peers := make([]Peer, 0, s.size)
	for _, m := range s.nodes {
		if !m.removed {
			peers = append(peers, m.peer)
		}
	}
	limiter := n.limiter
	s.mu.Unlock()
	for _, p := range peers[:Owners(share.Limit, len(peers), s.dataCentres)] {
		share.Owners = append(share.Owners, p.ID)
	}
	limiter.Set(map[identifier.WorkspaceName]Share{shop: share}, n.peer.ID, peers)
}

// updateShares passes the limit and the member list to all instances, within the
// time that a change takes to reach them.
func (s *simulation) updateShares() {
	for _, n := range s.nodes {
		if !s.isRemoved(n) {
			delay := time.Duration(s.random.Int64N(int64(propagation)))
			s.attempts.Go(func() {
				time.Sleep(delay)
				s.setShares(n)
			})
		}
	}
}

// propagation is the longest time from the first instance that knows a change of
// the catalog to the last one.
const propagation = 800 * time.Millisecond

// send delivers a request after half of the round trip and its grant after the
// other half.
func (s *simulation) send(ctx context.Context, from *node, to identifier.InstanceID, request TokenRequest) (Grant, error) {
	target := s.nodes[0]
	for _, n := range s.nodes {
		if n.peer.ID == to {
			target = n
		}
	}
	s.mu.Lock()
	silent, closed, limiter := target.silent, target.closed, target.limiter
	partitioned := s.isPartitioned != nil && s.isPartitioned(from.index, target.index)
	if !closed {
		s.report.messages++
	}
	s.mu.Unlock()
	if closed {
		return Grant{}, ErrNotConnected
	}
	if silent || partitioned {
		<-ctx.Done()
		return Grant{}, ctx.Err()
	}
	delay := remoteRoundTrip
	if target.peer.DataCentre == from.peer.DataCentre {
		delay = localRoundTrip
	}
	time.Sleep(delay / 2)
	g := limiter.Give(request)
	time.Sleep(delay / 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	from.given += g.Given[shop]
	return g, nil
}

// run starts attempts at the rate for the span, each at the instance that
// choose returns, and waits for their ends.
func (s *simulation) run(span time.Duration, rate float64, choose func() int) {
	for end := time.Now().Add(span); ; {
		time.Sleep(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
		if !time.Now().Before(end) {
			break
		}
		n := s.nodes[choose()]
		if s.isDown(n) {
			continue
		}
		s.attempts.Go(func() { s.attempt(n) })
	}
	s.attempts.Wait()
}

// setRemoved removes an instance from all member lists, or adds it again.
func (s *simulation) setRemoved(n *node, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.removed = removed
}

func (s *simulation) isRemoved(n *node) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return n.removed
}

func (s *simulation) isDown(n *node) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return n.silent || n.closed
}

// attempt admits one operation at the instance, records the result and returns
// the refusal, if any.
func (s *simulation) attempt(n *node) *RefusalError {
	s.mu.Lock()
	owed := s.reference.take(time.Now())
	s.report.attempts++
	if owed {
		s.report.owed++
	}
	admitter := n.admitter
	s.mu.Unlock()
	began := time.Now()
	err := admitter.Admit(shop, attemptWait)
	waited := time.Since(began)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.waits += waited
	s.report.longestWait = max(s.report.longestWait, waited)
	if n.silent || n.closed || n.admitter != admitter {
		return nil // The process has ended.
	}
	if err == nil {
		n.admitted++
		s.report.admitted = append(s.report.admitted, time.Now())
		return nil
	}
	s.report.refused++
	refusal := &RefusalError{}
	if errors.As(err, &refusal) {
		s.report.reasons[refusal.Reason()]++
	}
	if owed {
		s.report.wrongful++
		if s.report.wrongful%16 == 1 { // A sample, because it visits all instances.
			s.report.idleTokens += s.wholeTokens()
			s.report.idleSamples++
		}
	}
	return refusal
}

// wholeTokens returns the number of whole tokens in the buckets of all instances.
func (s *simulation) wholeTokens() float64 {
	sum := 0.0
	for _, n := range s.nodes {
		n.limiter.mu.Lock()
		if b := n.limiter.bucket(shop); b != nil && !n.silent {
			sum += math.Floor(b.available())
		}
		n.limiter.mu.Unlock()
	}
	return sum
}

// reset forgets the results so far.
func (s *simulation) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = report{admitted: s.report.admitted, reasons: map[Reason]int{}}
	for _, n := range s.nodes {
		n.given, n.admitted = 0, 0
	}
}

// finish waits for the requests in flight and returns the results.
func (s *simulation) finish() report {
	time.Sleep(requestTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes[Owners(s.limit, s.size, s.dataCentres):] {
		s.report.lapsed += max(0, n.given-float64(n.admitted))
	}
	return s.report
}

// mostInWindow returns the largest number of operations within one quotaWindow.
func (r report) mostInWindow() int {
	f := fleet{admitted: r.admitted}
	return f.maxAdmitted()
}

func (r report) String() string {
	return fmt.Sprintf("attempts %d owed %d refused %d wrongful %.2f%% idle/wrongful %.1f lapsed %.0f wait %v (max %v) messages/attempt %.2f served/owed %.3f most in 5 s %d %v",
		r.attempts, r.owed, r.refused, 100*r.wrongfulShare(), r.idleTokens/float64(max(1, r.idleSamples)), r.lapsed,
		(r.waits / time.Duration(max(1, r.attempts))).Round(100*time.Microsecond), r.longestWait, r.messagesPerAttempt(), r.servedShare(), r.mostInWindow(), r.reasons)
}

// add adds the counts of another simulation.
func (r *report) add(o report) {
	r.attempts += o.attempts
	r.owed += o.owed
	r.refused += o.refused
	r.wrongful += o.wrongful
	r.messages += o.messages
	r.waits += o.waits
	r.longestWait = max(r.longestWait, o.longestWait)
	r.idleTokens += o.idleTokens
	r.idleSamples += o.idleSamples
	r.lapsed += o.lapsed
	for reason, n := range o.reasons {
		r.reasons[reason] += n
	}
}

// servedShare returns the number of admitted attempts as a part of those owed.
func (r report) servedShare() float64 {
	return float64(r.attempts-r.refused) / float64(max(1, r.owed))
}

func (r report) messagesPerAttempt() float64 {
	return float64(r.messages) / float64(max(1, r.attempts))
}

// wrongfulShare returns the refused part of the attempts within the rate.
func (r report) wrongfulShare() float64 {
	return float64(r.wrongful) / float64(max(1, r.owed))
}

// Callers: where the attempts of a workspace arrive.
func skewed(s *simulation) func() int {
	order := s.random.Perm(s.size)
	sum := 0.0
	for i := range s.size {
		sum += 1 / float64(1+i)
	}
	return func() int {
		x := s.random.Float64() * sum
		for i := range order {
			if x -= 1 / float64(1+i); x < 0 {
				return order[i]
			}
		}
		return order[0]
	}
}

func roaming(s *simulation) func() int {
	return func() int { return s.random.IntN(s.size) }
}

// moving callers use a few instances for a second each.
func moving(s *simulation) func() int {
	return func() int { return int(time.Now().Unix()*7919+int64(s.random.IntN(3))*31) % s.size }
}

// single callers use one instance.
func single(s *simulation) func() int {
	return func() int { return s.size - 1 }
}

type callers struct {
	name string
	make func(*simulation) func() int
}

var everyCallers = []callers{{"skewed", skewed}, {"roaming", roaming}, {"moving", moving}, {"single", single}}

var everySize = []struct{ size, dataCentres int }{{15, 3}, {136, 4}, {295, 5}}

// loads are the demands, as multiples of the rate, with their bounds.
var loads = []struct {
	demand   float64
	span     time.Duration
	wrongful float64 // Highest refused part of the attempts within the rate, over all callers and rates.
	messages float64 // Most requests per attempt, over all callers and rates.
	served   float64 // Lowest part of the owed operations that is admitted, in every simulation.
}{
	{0.625, 30 * time.Second, 0.005, 1, 0.98},
	{0.9, 30 * time.Second, 0.02, 1.2, 0.9},
	{7.5, 8 * time.Second, 1, 3, 0.85},
}

// Guards against refusals of a workspace that stays within its rate, a bucket
// that never holds a whole token, floods that ask every owner for each operation,
// and a sum over all instances beyond the limit.
func TestSimulatedLoads(t *testing.T) {
	for _, z := range everySize {
		for _, load := range loads {
			t.Run(fmt.Sprint(z.size, "/", load.demand), func(t *testing.T) {
				sum := report{reasons: map[Reason]int{}}
				for _, rate := range []float64{1, 3, 10, 50} {
					for _, c := range everyCallers {
						limit := Limit{rate, rate}
						r := simulate(t, 1, z.size, z.dataCentres, limit, func(s *simulation) {
							choose := c.make(s)
							s.run(10*time.Second, rate*0.6, choose)
							s.reset()
							s.run(load.span, rate*load.demand, choose)
						})
						t.Logf("%v/%s: %v", rate, c.name, r)
						qt.Check(t, r.mostInWindow() <= quota(limit), qt.IsTrue, qt.Commentf("%v/%s: %d", rate, c.name, r.mostInWindow()))
						qt.Check(t, r.servedShare() >= load.served, qt.IsTrue, qt.Commentf("%v/%s: served %.3f", rate, c.name, r.servedShare()))
						sum.add(r)
					}
				}
				t.Logf("all: %v", sum)
				qt.Check(t, sum.wrongfulShare() < load.wrongful, qt.IsTrue, qt.Commentf("wrongful %.4f", sum.wrongfulShare()))
				qt.Check(t, sum.messagesPerAttempt() < load.messages, qt.IsTrue, qt.Commentf("messages %.2f", sum.messagesPerAttempt()))
			})
		}
	}
}

// simulate runs a simulation in a bubble and returns its results.
func simulate(t *testing.T, seed uint64, size, dataCentres int, limit Limit, run func(*simulation)) report {
	t.Helper()
	var r report
	synctest.Test(t, func(*testing.T) {
		s := newSimulation(seed, size, dataCentres, limit)
		run(s)
		r = s.finish()
	})
	return r
}

// fail ends the process of an instance.
func (s *simulation) fail(n *node, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.silent, n.closed = !closed, closed
}

// removalDelay is the time from the end of an instance until others remove its
// registration.
const removalDelay = 8 * time.Second

// Guards against the loss of more than an owner's fraction while the owner does
// not answer, and against refusals of operations that wait for its answer.
func TestSimulatedDeathOfAnOwner(t *testing.T) {
	for _, z := range everySize {
		for _, closed := range []bool{false, true} {
			t.Run(fmt.Sprint(z.size, "/closed=", closed), func(t *testing.T) {
				sum := report{reasons: map[Reason]int{}}
				for _, rate := range []float64{1, 3, 10, 50} {
					for _, c := range everyCallers {
						limit := Limit{rate, rate}
						r := simulate(t, 1, z.size, z.dataCentres, limit, func(s *simulation) {
							choose := c.make(s)
							s.run(5*time.Second, rate*0.625, choose)
							s.reset()
							owner := s.nodes[(s.size-1)%z.dataCentres] // In the data centre of the single caller.
							s.fail(owner, closed)
							s.run(removalDelay, rate*0.625, choose)
							s.setRemoved(owner, true)
							s.updateShares()
							s.run(4*time.Second, rate*0.625, choose)
						})
						t.Logf("%v/%s: %v", rate, c.name, r)
						qt.Check(t, r.mostInWindow() <= quota(limit), qt.IsTrue, qt.Commentf("%v/%s: %d", rate, c.name, r.mostInWindow()))
						sum.add(r)
					}
				}
				t.Logf("all: %v", sum)
				qt.Check(t, sum.wrongfulShare() < 0.02, qt.IsTrue, qt.Commentf("wrongful %.4f", sum.wrongfulShare()))
			})
		}
	}
}

// Guards against refusals after a loss of power: the buckets began with a quarter
// of a second of the rate when the limits were known, although nothing had been
// admitted since the processes had started.
func TestSimulatedLossOfPower(t *testing.T) {
	const powerless, startup = 1400 * time.Millisecond, 900 * time.Millisecond
	for _, z := range everySize {
		t.Run(fmt.Sprint(z.size), func(t *testing.T) {
			sum := report{reasons: map[Reason]int{}}
			for _, rate := range []float64{1, 3, 10, 50} {
				for _, c := range everyCallers {
					limit := Limit{rate, rate}
					r := simulate(t, 1, z.size, z.dataCentres, limit, func(s *simulation) {
						choose := c.make(s)
						s.run(5*time.Second, rate*0.625, choose)
						time.Sleep(powerless)
						for _, n := range s.nodes {
							s.attempts.Go(func() { s.restart(n, startup) })
						}
						s.attempts.Wait()
						s.reset()
						s.run(time.Second, rate*1.5, choose) // Callers return.
						s.run(4*time.Second, rate*0.625, choose)
					})
					t.Logf("%v/%s: %v", rate, c.name, r)
					qt.Check(t, r.mostInWindow() <= quota(limit), qt.IsTrue, qt.Commentf("%v/%s: %d", rate, c.name, r.mostInWindow()))
					sum.add(r)
				}
			}
			t.Logf("all: %v", sum)
			qt.Check(t, sum.wrongfulShare() < 0.03, qt.IsTrue, qt.Commentf("wrongful %.4f", sum.wrongfulShare()))
		})
	}
}

// Guards against refusals after a limit is raised, because owners that are new
// for the larger rate hold nothing yet, and against the old limit after it is
// lowered.
func TestSimulatedChangesOfTheLimit(t *testing.T) {
	for _, z := range everySize {
		t.Run(fmt.Sprint(z.size), func(t *testing.T) {
			sum := report{reasons: map[Reason]int{}}
			for _, c := range everyCallers {
				excess := 0
				r := simulate(t, 1, z.size, z.dataCentres, Limit{10, 10}, func(s *simulation) {
					choose := c.make(s)
					s.run(5*time.Second, 6, choose)
					s.reset()
					for _, rate := range []float64{50, 10, 50, 5} {
						s.setLimit(Limit{rate, rate})
						s.run(propagation, min(rate, 6), choose)
						s.run(5*time.Second, rate*0.625, choose)
					}
					excess = s.excess()
				})
				t.Logf("%s: %v", c.name, r)
				qt.Check(t, excess <= 0, qt.IsTrue, qt.Commentf("%s: %d", c.name, excess))
				sum.add(r)
			}
			t.Logf("all: %v", sum)
			qt.Check(t, sum.wrongfulShare() < 0.005, qt.IsTrue, qt.Commentf("wrongful %.4f", sum.wrongfulShare()))
		})
	}
}

// limitChange is the limit from a time on.
type limitChange struct {
	at    time.Time
	limit Limit
}

// setLimit changes the limit at all instances, within the time that a change
// takes to reach them.
func (s *simulation) setLimit(l Limit) {
	s.mu.Lock()
	s.limit, s.reference.limit = l, l
	s.limits = append(s.limits, limitChange{time.Now(), l})
	s.mu.Unlock()
	s.updateShares()
}

// excess returns by how many operations the fullest quotaWindow exceeds the
// largest limit that was in force at an instance within it.
func (s *simulation) excess() int {
	excess, first := math.MinInt, 0
	for i, t := range s.report.admitted {
		for t.Sub(s.report.admitted[first]) > quotaWindow {
			first++
		}
		allowed := 0
		for j, c := range s.limits {
			ended := j+1 < len(s.limits) && s.limits[j+1].at.Add(propagation).Before(s.report.admitted[first])
			if !ended && !c.at.After(t) {
				allowed = max(allowed, quota(c.limit))
			}
		}
		excess = max(excess, i-first+1-allowed)
	}
	return excess
}

// rejoin starts an instance again, which registers if it was removed.
func (s *simulation) rejoin(n *node) {
	if !s.isRemoved(n) {
		s.restart(n, 0)
		return
	}
	s.setRemoved(n, false)
	s.restart(n, 0)
	n.limiter.MarkRegistered()
	s.updateShares()
}

// disturb changes the simulation at random.
func (s *simulation) disturb(kind int) {
	n := s.nodes[s.random.IntN(min(s.size, 8))]
	switch kind {
	case 0:
		s.fail(n, s.random.IntN(2) == 0)
	case 1:
		for _, n := range s.nodes {
			if s.isDown(n) {
				s.setRemoved(n, true)
			}
		}
		s.updateShares()
	case 2:
		if s.isDown(n) {
			time.Sleep(minRestartTime)
			s.rejoin(n)
		}
	case 3:
		for _, n := range s.nodes {
			s.fail(n, false)
		}
		time.Sleep(minRestartTime)
		for _, n := range s.nodes {
			s.rejoin(n)
		}
	case 4:
		rate := float64(1 + s.random.IntN(50))
		s.setLimit(Limit{rate, float64(1+s.random.IntN(20)) / 10 * rate})
	case 5:
		parts := 1 + s.random.IntN(3)
		s.mu.Lock()
		s.isPartitioned = func(i, j int) bool { return i%parts != j%parts }
		s.mu.Unlock()
	default: // The load alone.
	}
}

// disturbances is the number of kinds of [simulation.disturb].
const disturbances = 7

// Guards against a sum over all instances beyond the limit, in any order of
// floods, failures, removals, restarts, partitions and changes of the limit.
func TestSimulatedSumStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		size := rapid.IntRange(1, 20).Draw(rt, "size")
		dataCentres := rapid.IntRange(1, 5).Draw(rt, "data centres")
		rate := float64(rapid.IntRange(1, 50).Draw(rt, "rate"))
		limit := Limit{rate, max(1, rate*rapid.Float64Range(0.1, 3).Draw(rt, "burst"))}
		kinds := rapid.SliceOfN(rapid.IntRange(0, disturbances-1), 1, 8).Draw(rt, "kinds")
		spans := rapid.SliceOfN(rapid.IntRange(50, 2000), len(kinds), len(kinds)).Draw(rt, "spans")
		callers := rapid.SampledFrom(everyCallers).Draw(rt, "callers")
		excess := 0
		simulate(t, seed, size, dataCentres, limit, func(s *simulation) {
			choose := callers.make(s)
			time.Sleep(3 * time.Second) // Fills the buckets.
			for i, kind := range kinds {
				s.run(time.Duration(spans[i])*time.Millisecond, 7.5*s.limit.Rate, choose)
				s.disturb(kind)
			}
			s.run(2*time.Second, 7.5*s.limit.Rate, choose)
			excess = s.excess()
		})
		if excess > 0 {
			rt.Fatalf("%d operations beyond the limit", excess)
		}
	})
}
