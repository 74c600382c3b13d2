package measurer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
	"oleanderpulley/internal/transport/acceptor"
)

// Baseline replaces one policy of the proxy by a plainer one.
type Baseline int32

// Baselines that can be switched while the installation runs.
const (
	NoBaseline   Baseline = iota
	PrimaryReads          // All reads go to the primary.
	StaticShares          // Each instance admits an equal part of each rate.
	FirstCome             // Statements queue in the order of their arrival.
	FixedTimeout          // A primary is replaced after fixedTimeout without an answer.
)

// String returns the name in the tables.
func (b Baseline) String() string {
	return [...]string{"proxy", "all reads to the primary", "equal static shares", "first come first served", "fixed timeout of 10 s"}[b]
}

const fixedTimeout = 10 * time.Second

// policies is the switch of the baselines for all instances, and counts the
// reads that they ran.
type policies struct {
	baseline  atomic.Int32
	unlimited atomic.Pointer[identifier.WorkspaceName] // Not charged to its rate.
	limits    map[identifier.WorkspaceName]limiter.Limit

	replicaReads, primaryReads atomic.Int64
	opened                     atomic.Pointer[promoter.Event] // The last opening of a term.
	// Reads at the primary by their cause.
	floorUnknown, floorAhead atomic.Int64
}

func (p *policies) is(b Baseline) bool { return Baseline(p.baseline.Load()) == b }

// suspectAfter is the silence after which a backend server is suspected.
func (p *policies) suspectAfter() time.Duration {
	if p.is(FixedTimeout) {
		return fixedTimeout
	}
	return 0
}

// failover keeps the parts of the gap that a promoter reports.
func (p *policies) failover(e promoter.Event) {
	if e.Step == promoter.StepOpened {
		p.opened.Store(&e)
	}
}

// hooks wraps the hooks of one instance.
func (p *policies) hooks(h acceptor.Hooks) acceptor.Hooks {
	base := h
	shares := &staticShares{limits: p.limits}
	h.Admit = func(ctx context.Context, w identifier.WorkspaceName, cost float64) error {
		if name := p.unlimited.Load(); name != nil && *name == w {
			return nil
		}
		if p.is(StaticShares) {
			return shares.admit(w, cost)
		}
		return base.Admit(ctx, w, cost)
	}
	h.RouteRead = func(s identifier.ServiceName, r acceptor.ReadRequirements) (acceptor.Target, error) {
		if p.is(PrimaryReads) {
			return base.RouteWrite(s)
		}
		c, err := base.RouteRead(s, r)
		if err == nil && c.Primary {
			if r.FloorKnown {
				p.floorAhead.Add(1)
			} else {
				p.floorUnknown.Add(1)
			}
		}
		return c, err
	}
	h.AcquireSlot = func(ctx context.Context, server identifier.BackendServerID, w identifier.WorkspaceName, weight float64) (func(), error) {
		if p.is(FirstCome) {
			return func() {}, nil
		}
		return base.AcquireSlot(ctx, server, w, weight)
	}
	h.ObserveBatch = func(m acceptor.Measurement) {
		base.ObserveBatch(m)
		if m.Class != classifier.Read || m.State != "" {
			return
		}
		if m.Primary {
			p.primaryReads.Add(1)
		} else {
			p.replicaReads.Add(1)
		}
	}
	return h
}

// staticShares admits an equal part of each rate and burst at one instance.
type staticShares struct {
	limits map[identifier.WorkspaceName]limiter.Limit

	mu      sync.Mutex
	buckets map[identifier.WorkspaceName]*limiter.Bucket
}

func (s *staticShares) admit(w identifier.WorkspaceName, cost float64) error {
	s.mu.Lock()
	b, ok := s.buckets[w]
	if !ok {
		if s.buckets == nil {
			s.buckets = map[identifier.WorkspaceName]*limiter.Bucket{}
		}
		b = fullBucket(s.limits[w], limiter.Whole/userInstances)
		s.buckets[w] = b
	}
	s.mu.Unlock()
	if _, wait, ok := b.Take(s.limits[w], cost); !ok {
		refusal := refuser.New(refuser.OverRate, "")
		refusal.RetryAfter = wait
		return refusal
	}
	return nil
}

// fullBucket returns a bucket that holds the fraction with all of its tokens.
func fullBucket(limit limiter.Limit, fraction limiter.Fraction) *limiter.Bucket {
	b := &limiter.Bucket{}
	b.Merge(limit, limiter.Share{Fraction: fraction, Tokens: fraction.Of(limit.Burst)})
	return b
}
