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

// Baseline is a simple policy that replaces one of the proxy's policies, for
// comparison.
type Baseline int32

// Baselines can be switched while the installation runs.
const (
	NoBaseline           Baseline = iota
	PrimaryReads                  // All reads go to the primary.
	StaticShares                  // Each instance admits an equal share of each rate.
	FirstComeFirstServed          // Statements bypass the weighted slot queues and run in the order of arrival.
	FixedTimeout                  // A primary is replaced after fixedTimeout without a response.
)

// String returns the name that the tables show.
func (b Baseline) String() string {
	return [...]string{"proxy", "all reads to the primary", "equal static shares", "first come first served", "fixed timeout of 10 s"}[b]
}

const fixedTimeout = 10 * time.Second

// policySwitch selects the baseline for all instances and counts the reads that
// they ran.
type policySwitch struct {
	baseline           atomic.Int32
	unlimitedWorkspace atomic.Pointer[identifier.WorkspaceName] // Admitted without a charge to its rate.
	limits             map[identifier.WorkspaceName]limiter.Limit

	replicaReads, primaryReads atomic.Int64
	lastOpening                atomic.Pointer[promoter.Event] // Last event of StepOpened.
	// Reads that were routed to the primary because the position that they must
	// include is unknown, or because no replica has reached it.
	positionUnknown, replicasBehind atomic.Int64
}

func (p *policySwitch) active(b Baseline) bool { return Baseline(p.baseline.Load()) == b }

// suspectAfter returns the time without a response after which a backend server
// is suspected; 0 keeps the proxy's own policy.
func (p *policySwitch) suspectAfter() time.Duration {
	if p.active(FixedTimeout) {
		return fixedTimeout
	}
	return 0
}

// recordOpening stores the event that ends a failover. It splits the write gap
// by the steps of the promoter.
func (p *policySwitch) recordOpening(e promoter.Event) {
	if e.Step == promoter.StepOpened {
		p.lastOpening.Store(&e)
	}
}

// wrapHooks wraps the hooks of one instance, so that they follow the selected
// baseline and count reads.
func (p *policySwitch) wrapHooks(h acceptor.Hooks) acceptor.Hooks {
	base := h
	shares := &staticShares{limits: p.limits}
	h.Admit = func(ctx context.Context, w identifier.WorkspaceName, cost float64) error {
		if name := p.unlimitedWorkspace.Load(); name != nil && *name == w {
			return nil
		}
		if p.active(StaticShares) {
			return shares.admit(w, cost)
		}
		return base.Admit(ctx, w, cost)
	}
	h.RouteRead = func(s identifier.ServiceName, r acceptor.ReadRequirements) (acceptor.Target, error) {
		if p.active(PrimaryReads) {
			return base.RouteWrite(s)
		}
		c, err := base.RouteRead(s, r)
		if err == nil && c.Primary {
			if r.PositionKnown {
				p.replicasBehind.Add(1)
			} else {
				p.positionUnknown.Add(1)
			}
		}
		return c, err
	}
	h.AcquireSlot = func(ctx context.Context, server identifier.BackendServerID, w identifier.WorkspaceName, weight float64) (func(), error) {
		if p.active(FirstComeFirstServed) {
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

// staticShares limits each workspace at one instance to an equal share of its
// rate and burst.
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
	if _, retryAfter, ok := b.Take(s.limits[w], cost); !ok {
		refusal := refuser.New(refuser.OverRate, "")
		refusal.RetryAfter = retryAfter
		return refusal
	}
	return nil
}

// fullBucket returns a bucket with a fraction of the limit, filled with tokens.
func fullBucket(limit limiter.Limit, fraction limiter.Fraction) *limiter.Bucket {
	b := &limiter.Bucket{}
	b.Merge(limit, limiter.Share{Fraction: fraction, Tokens: fraction.Of(limit.Burst)})
	return b
}
