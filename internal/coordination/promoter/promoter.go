package promoter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/confirmer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// Errors of an attempt.
var (
	ErrNoMajority  = errors.New("no majority of the members was reached")
	ErrPeerAnswer  = errors.New("the primary has answered a peer")
	ErrOpening     = errors.New("another attempt is opening a term of the group")
	ErrSuperseded  = errors.New("a later attempt holds the promise of a member")
	ErrPromotion   = errors.New("promotion of the chosen member failed")
	ErrNoCandidate = errors.New("no member can become primary")
	// ErrRefused is returned, wrapped, by Fence, Promote and Follow if the member
	// refused the command because of a promise.
	ErrRefused = errors.New("member refused the command because of a promise")
)

// Member is a backend server of a group.
type Member struct {
	Server  identifier.BackendServerID
	Address string // Network address at which followers reach it.
}

// Times are the durations of a promoter. A zero field selects the default.
type Times struct {
	RankDelay      time.Duration // Delay of an attempt per rank of the instance: 300 ms.
	TakeoverAge    time.Duration // Age from which the unfinished attempt of another instance is taken over: 5 s.
	RightsWait     time.Duration // Wait until write rights of older terms are no longer valid: confirmer.RightExpiryWait.
	FenceTimeout   time.Duration // Limit for obtaining the promises of a majority: 3 s.
	NoPrimaryGrace time.Duration // Delay before a group without a usable primary gets a new one: 2 s, more than an attempt takes.
	RetryInterval  time.Duration // Interval between attempts; a member is repaired at most once in two of them: 500 ms.
	CatchUpTimeout time.Duration // Limit for a replica to receive the whole log of a draining primary: 2 s.
}

// Promoter opens terms and repairs groups. The function fields before
// PrimaryAnsweredPeer must be set; the others are optional. It is safe for
// concurrent use.
type Promoter struct {
	Instance identifier.InstanceID
	Times    Times

	Group       func(service identifier.ServiceName) *tracker.Group
	Members     func(service identifier.ServiceName) []Member
	Status      func(ctx context.Context, service identifier.ServiceName, server identifier.BackendServerID) (tracker.MemberStatus, error)
	Fence       func(ctx context.Context, service identifier.ServiceName, server identifier.BackendServerID, term identifier.Term, holder string) (tracker.MemberStatus, error)
	Promote     func(ctx context.Context, service identifier.ServiceName, server identifier.BackendServerID, term identifier.Term, holder string) (tracker.MemberStatus, error)
	Follow      func(ctx context.Context, service identifier.ServiceName, server identifier.BackendServerID, term identifier.Term, address string) (tracker.MemberStatus, error)
	ReadGroup   func(ctx context.Context, service identifier.ServiceName) (GroupRecord, uint64, error) // Version 0 means that there is no record.
	UpdateGroup func(ctx context.Context, service identifier.ServiceName, rec GroupRecord, ifVersion uint64) (uint64, error)

	// PrimaryAnsweredPeer reports whether the primary of the term or a later
	// one has answered a query that a reachable peer sent within the last
	// second. Nil means that there are no peers.
	PrimaryAnsweredPeer func(ctx context.Context, service identifier.ServiceName, term identifier.Term) (bool, error)
	// Instances lists the live instances. Nil means that this is the only one.
	Instances func() []identifier.InstanceID
	// Leaving reports whether the backend server is draining. Nil means that
	// none is.
	Leaving func(server identifier.BackendServerID) bool
	// Evacuated reports whether the data centre of the backend server is
	// evacuated. Such a server counts as draining; a group of which only such
	// servers are known gets no new primary. Nil means that none is.
	Evacuated func(server identifier.BackendServerID) bool
	// OnTermOpened is called when a term has a primary, so that this instance
	// and its peers sample the group at once. It is optional.
	OnTermOpened func(service identifier.ServiceName, term identifier.Term)
	// OnStep is called after each step of an attempt, and may block. It is
	// optional.
	OnStep func(Event)
	// Now is a monotonic clock and After its timer. Nil selects those of package
	// time.
	Now   func() time.Time
	After func(time.Duration) <-chan time.Time
	// NewAttemptID returns an id that is unique among all attempts. Nil selects
	// random ids.
	NewAttemptID func() string

	mu       sync.Mutex
	closed   bool
	cancel   context.CancelFunc
	ctx      context.Context //nolint:containedctx // Close cancels it to end the goroutines.
	services map[identifier.ServiceName]*serviceState
	running  sync.WaitGroup
}

// serviceState is the promoter's state for one service.
type serviceState struct {
	active         bool // A goroutine is running handle for the service.
	suspicion      suspicion
	noPrimarySince time.Time // Zero while the group has a usable primary.
	repairedAt     map[identifier.BackendServerID]time.Time
	observed       observedRecord
	ownAttempt     string // Id of this instance's attempt that a later run may resume.
}

// suspicion is the suspected failure of the primary of a term.
type suspicion struct {
	server      identifier.BackendServerID
	term        identifier.Term
	lastAnswer  time.Time // Time of the last answer of the primary.
	suspectedAt time.Time // Time at which the suspicion was reported.
}

// Suspect records that a member is suspected to have failed and has not answered
// since the given time. It ignores members other than the primary of the newest
// known term.
func (p *Promoter) Suspect(service identifier.ServiceName, server identifier.BackendServerID, since time.Time) {
	primary, term, ok := p.Group(service).Primary()
	if !ok || primary != server {
		return
	}
	p.mu.Lock()
	state := p.serviceState(service)
	if state.suspicion.server != server || state.suspicion.term != term || since.After(state.suspicion.lastAnswer) {
		state.suspicion = suspicion{server: server, term: term, lastAnswer: since, suspectedAt: p.now()}
	}
	p.mu.Unlock()
	p.Check(service)
}

// Check determines whether the group needs a new primary or a repair, and if so
// starts that in the background. It is cheap enough to be called after each
// sample.
func (p *Promoter) Check(service identifier.ServiceName) {
	if p.mostUrgentReason(service) == None {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.serviceState(service)
	if state.active || p.closed {
		return
	}
	state.active = true
	if p.ctx == nil {
		p.ctx, p.cancel = context.WithCancel(context.Background())
	}
	p.running.Add(1)
	go func(ctx context.Context) {
		defer p.running.Done()
		p.handle(ctx, service, state)
	}(p.ctx)
}

// PrimaryAnswered reports whether the primary of the term or a later one has
// answered a query that this instance sent within the last second. It serves a
// peer's [GroupNotice].
func (p *Promoter) PrimaryAnswered(service identifier.ServiceName, term identifier.Term) bool {
	return p.Group(service).AnsweredAsPrimary(term, p.now().Add(-time.Second))
}

// Close cancels all attempts and waits for their goroutines. Another instance
// takes over an attempt that was not completed.
func (p *Promoter) Close() {
	p.mu.Lock()
	p.closed = true
	if p.cancel != nil {
		p.cancel()
	}
	p.mu.Unlock()
	p.running.Wait()
}

// handle opens terms and repairs members of the service's group until neither is
// needed any more.
func (p *Promoter) handle(ctx context.Context, service identifier.ServiceName, state *serviceState) {
	for ctx.Err() == nil {
		reason := p.mostUrgentReason(service)
		p.mu.Lock()
		if reason == None {
			state.active = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		var err error
		if reason == Repair {
			p.repair(ctx, service)
		} else if err = p.Run(ctx, service, reason); err != nil {
			p.reportEvent(Event{Service: service, Step: StepFailed, Reason: reason, Err: err})
		}
		if err != nil || reason == Repair {
			p.pause(ctx, orDefault(p.Times.RetryInterval, 500*time.Millisecond))
		}
	}
}

// serviceState returns the state of the service, which it creates if needed. The
// caller must hold mu.
func (p *Promoter) serviceState(service identifier.ServiceName) *serviceState {
	if p.services == nil {
		p.services = map[identifier.ServiceName]*serviceState{}
	}
	if p.services[service] == nil {
		p.services[service] = &serviceState{repairedAt: map[identifier.BackendServerID]time.Time{}}
	}
	return p.services[service]
}

func (p *Promoter) reportEvent(e Event) {
	if p.OnStep != nil {
		p.OnStep(e)
	}
}

func (p *Promoter) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

func (p *Promoter) after(d time.Duration) <-chan time.Time {
	if p.After != nil {
		return p.After(d)
	}
	return time.After(d)
}

func (p *Promoter) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-p.after(d):
	}
}

func (p *Promoter) rightsWait() time.Duration {
	return orDefault(p.Times.RightsWait, confirmer.RightExpiryWait)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
