package router

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// Sentinel errors of a router. A statement that fails with one of them was not
// sent to a backend server.
var (
	ErrNoPrimary      = errors.New("primary of the group is not known")
	ErrNoRight        = errors.New("no proof that the primary is still the primary")
	ErrPositionLost   = errors.New("session position no longer reachable")
	ErrNoReplica      = errors.New("no backend server covers the session position")
	ErrUnknownService = errors.New("service has no backend servers")
	ErrEvacuated      = errors.New("every backend server of the service is in an evacuated data centre")
)

// Default limits.
const (
	// DefaultWriteWait bounds the wait for a write right. A group that was not
	// in use has no right until its members have been sampled.
	DefaultWriteWait = time.Second
	// DefaultLeavingGrace is how long statements are still routed to a draining
	// primary, and writes to one in an evacuated data centre, while its successor
	// takes over. Together with the second that polling the list of draining
	// backend servers takes, it ends within three seconds of the listing.
	DefaultLeavingGrace = 1500 * time.Millisecond
)

// Router chooses backend servers. Group, HasWriteRight and Members must be set.
type Router struct {
	DataCentre identifier.DataCentre // Of this instance.

	// Group returns the status of the service's database group.
	Group func(service identifier.ServiceName) *tracker.Group
	// HasWriteRight reports whether this instance holds the write right for the
	// term.
	HasWriteRight func(service identifier.ServiceName, term identifier.Term) bool
	// Members returns the backend servers of the service.
	Members func(service identifier.ServiceName) map[identifier.BackendServerID]configurer.BackendServer

	// LeavingSince returns since when a backend server has been known to be
	// draining, and false if it is not. Nil means that no backend server is
	// draining.
	LeavingSince func(server identifier.BackendServerID) (time.Time, bool)
	// EvacuatedSince returns since when the data centre of a backend server has
	// been evacuated, and false if it is not. Nil means that none is.
	EvacuatedSince func(server identifier.BackendServerID) (time.Time, bool)
	// Outstanding returns the number of statements that run or wait at a
	// backend server. Nil means 0.
	Outstanding func(server identifier.BackendServerID) int
	// Suspected reports whether the primary is known not to answer, so that
	// waiting for it is futile. Nil means that it never is.
	Suspected func(service identifier.ServiceName) bool
	// KeepSampled keeps the group sampled and RequestSample requests a sample
	// now. Nil does nothing.
	KeepSampled   func(service identifier.ServiceName)
	RequestSample func(service identifier.ServiceName)
	// Now is a monotonic clock. Nil selects time.Now.
	Now func() time.Time

	Costs        Costs
	WriteWait    time.Duration // 0 selects DefaultWriteWait.
	LeavingGrace time.Duration // 0 selects DefaultLeavingGrace.
}

// Choice is the backend server chosen for one statement.
type Choice struct {
	Server      identifier.BackendServerID
	Role        tracker.Role
	Term        identifier.Term // Of the primary whose right was checked; 0 for a replica.
	Incarnation string
	// Sampled is when the status query on which the choice is based was sent.
	// A connection opened later may reach a process that has restarted since.
	Sampled time.Time
	// Floor is the session's floor if the choice determined it.
	Floor      identifier.Position
	FloorKnown bool
	Waited     time.Duration // Time spent waiting for a replica or a sample.
}

// RouteWrite returns the primary if the instance holds the write right for its
// term. Otherwise it returns [ErrNoPrimary] or [ErrNoRight]: immediately if
// further waiting is futile, and else after [Router.WriteWait]. It returns
// [ErrEvacuated] at once if no backend server may be used.
func (r *Router) RouteWrite(service identifier.ServiceName) (Choice, error) {
	r.keepSampled(service)
	start := r.now()
	g := r.Group(service)
	for {
		if err := r.checkEvacuation(service); err != nil {
			return Choice{}, err
		}
		changed := g.Changed()
		waitFutile := r.isWaitFutile(service, g, start)
		c, err := r.primary(service, g)
		if err == nil {
			c.Waited = r.now().Sub(start)
			return c, nil
		}
		remaining := start.Add(r.writeWait()).Sub(r.now())
		if remaining <= 0 || waitFutile {
			return Choice{}, err
		}
		r.requestSample(service)
		waitForChange(changed, remaining)
	}
}

// primary returns the primary if the instance holds the write right for its
// term and the primary has not been draining for longer than the grace period.
func (r *Router) primary(service identifier.ServiceName, g *tracker.Group) (Choice, error) {
	server, term, ok := g.Primary()
	if !ok {
		return Choice{}, errors.WithStack(ErrNoPrimary)
	}
	if since, draining := r.draining(server); draining && r.now().Sub(since) > r.leavingGrace() {
		return Choice{}, r.leavingError(server)
	}
	if !r.HasWriteRight(service, term) {
		return Choice{}, errors.Wrapf(ErrNoRight, "term %d", term)
	}
	st, sent, _ := g.Status(server)
	return Choice{Server: server, Role: tracker.Primary, Term: term, Incarnation: st.Incarnation, Sampled: sent}, nil
}

// isWaitFutile reports whether waiting longer for a write right is futile: all
// members have answered since the start, or the primary is known not to answer.
// It must be called before the choice is tried: only then is the choice based on
// all answers that were counted here.
func (r *Router) isWaitFutile(service identifier.ServiceName, g *tracker.Group, start time.Time) bool {
	if r.Suspected != nil && r.Suspected(service) {
		return true
	}
	members := len(r.Members(service))
	return members == 0 || g.CountAnswered(start) >= members
}

// draining returns since when the backend server has been draining or its data
// centre evacuated, and false if neither is the case.
func (r *Router) draining(server identifier.BackendServerID) (time.Time, bool) {
	evacuatedSince, evacuated := r.evacuated(server)
	if r.LeavingSince == nil {
		return evacuatedSince, evacuated
	}
	since, leaving := r.LeavingSince(server)
	if !leaving || evacuated && evacuatedSince.Before(since) {
		return evacuatedSince, evacuated
	}
	return since, true
}

func (r *Router) keepSampled(service identifier.ServiceName) {
	if r.KeepSampled != nil {
		r.KeepSampled(service)
	}
}

func (r *Router) requestSample(service identifier.ServiceName) {
	if r.RequestSample != nil {
		r.RequestSample(service)
	}
}

func (r *Router) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

func (r *Router) writeWait() time.Duration {
	if r.WriteWait > 0 {
		return r.WriteWait
	}
	return DefaultWriteWait
}

func (r *Router) leavingGrace() time.Duration {
	if r.LeavingGrace > 0 {
		return r.LeavingGrace
	}
	return DefaultLeavingGrace
}

// waitForChange returns when the channel is closed or the limit has passed.
func waitForChange(changed <-chan struct{}, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
}
