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

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// simulation runs the admitters of a fleet for one workspace in a
// [synctest] bubble, so that waits and message delays take no real time.
type simulation struct {
	size, dataCentres int
	limit             Limit
	random            *rand.Rand
	instances         []*simulatedInstance
	report            report
	limits            []limitChange
	isPartitioned     func(from, to int) bool

	mu        sync.Mutex
	attempts  sync.WaitGroup
	reference referenceBucket
}

// simulatedInstance is one instance of a simulation.
type simulatedInstance struct {
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
		s.instances = append(s.instances, &simulatedInstance{index: i, peer: peer})
	}
	for _, n := range s.instances {
		s.restart(n, 0)
	}
	s.reference = referenceBucket{limit, limit.Burst, time.Now()}
	s.limits = []limitChange{{time.Now(), limit}}
	s.reset()
	return s
}

// restart replaces the process of an instance by a new one, which knows the
// limits after startup.
func (s *simulation) restart(n *simulatedInstance, startup time.Duration) {
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
func (s *simulation) setShares(n *simulatedInstance) {
	s.mu.Lock()
	share := Share{Limit: s.limit}
	peers := make([]Peer, 0, s.size)
	for _, m := range s.instances {
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
	for _, n := range s.instances {
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
func (s *simulation) send(ctx context.Context, from *simulatedInstance, to identifier.InstanceID, request TokenRequest) (Grant, error) {
	target := s.instances[0]
	for _, n := range s.instances {
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
		n := s.instances[choose()]
		if s.isDown(n) {
			continue
		}
		s.attempts.Go(func() { s.attempt(n) })
	}
	s.attempts.Wait()
}

// setRemoved removes an instance from all member lists, or adds it again.
func (s *simulation) setRemoved(n *simulatedInstance, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.removed = removed
}

func (s *simulation) isRemoved(n *simulatedInstance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return n.removed
}

func (s *simulation) isDown(n *simulatedInstance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return n.silent || n.closed
}

// attempt admits one operation at the instance, records the result and returns
// the refusal, if any.
func (s *simulation) attempt(n *simulatedInstance) *RefusalError {
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
	for _, n := range s.instances {
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
	for _, n := range s.instances {
		n.given, n.admitted = 0, 0
	}
}

// finish waits for the requests in flight and returns the results.
func (s *simulation) finish() report {
	time.Sleep(requestTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.instances[Owners(s.limit, s.size, s.dataCentres):] {
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
func (s *simulation) fail(n *simulatedInstance, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.silent, n.closed = !closed, closed
}

// removalDelay is the time from the end of an instance until others remove its
// registration.
const removalDelay = 8 * time.Second
