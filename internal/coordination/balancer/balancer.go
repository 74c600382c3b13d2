package balancer

import (
	"sync"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Parameters of the expected cost of a read, a duration, and of the ranking of
// servers.
const (
	initialLatency      = 20 * time.Millisecond // Assumed for a server that has not answered yet.
	crossDataCentreCost = 45 * time.Millisecond // Accounts for the bytes that cross data centres.
	connectCost         = 25 * time.Millisecond // Cost of opening a connection and of the slot that it occupies.
	latencyAverageCount = 8                     // Answers over which the latency is averaged.

	// maxLagAge is the age up to which an observed lag ranks a replica lower. A
	// replica whose lag was observed earlier may have caught up.
	maxLagAge = 500 * time.Millisecond

	// maxAffinityCost is the highest cost that a workspace adds to servers other
	// than its preferred ones. It spreads the workspaces of an instance over the
	// servers of a service, so that each of the few connections to a server
	// serves fewer workspaces.
	maxAffinityCost = 6 * time.Millisecond

	// A server that does not answer is ejected for minEjection, and then for
	// twice as long with each further failure, up to maxEjection. Ejected
	// servers rank last for reads.
	minEjection = 200 * time.Millisecond
	maxEjection = 2 * time.Second

	// claimDistrust is the time for which a server's claim to be the primary is
	// ignored after it was observed not to lead.
	claimDistrust = 700 * time.Millisecond
)

// Balancer selects the backend server for each statement. DataCentre is that of
// this instance. The zero value is ready to use. It is safe for concurrent use.
type Balancer struct {
	DataCentre identifier.DataCentre
	Now        func() time.Time // Nil selects time.Now.
	// DrainLimit is the time after which a draining primary gets no more
	// statements. 0 means no limit.
	DrainLimit time.Duration
	// EvacuationLimit is the same for a server whose data centre is evacuated.
	// It holds for all statements, also those of open transactions. 0 means no
	// limit.
	EvacuationLimit time.Duration
	// ColdRate returns the statements a second that this instance may send to a
	// server that is still slow after its start, and false if there is no limit.
	// Nil means that there is none. It must not call the balancer.
	ColdRate func(cataloger.BackendServer) (perSecond float64, limited bool)
	// HasIdle reports whether an idle connection of the workspace to the server
	// is open. Nil means always.
	HasIdle func(identifier.BackendServerID, identifier.WorkspaceName) bool

	mu      sync.Mutex
	servers map[identifier.BackendServerID]*server
	leaders map[identifier.ServiceName]*leader
}

// server is what this instance has observed of a backend server.
type server struct {
	inFlight     int
	latency      time.Duration
	lag          time.Duration
	lagSeenAt    time.Time
	failures     int
	ejectedUntil time.Time
	notLeadingAt time.Time
	nextCold     time.Time // Earliest time of the next statement while the server is cold.
	window       window
}

// leader is the server last observed leading a service. Its id is empty after
// that server was observed not to lead.
type leader struct {
	id          identifier.BackendServerID
	term        identifier.Term
	confirmedAt time.Time
	changed     chan struct{}
}

// Start records that a statement is about to be sent to the server.
func (b *Balancer) Start(id identifier.BackendServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server(id).inFlight++
}

// Finish records an answer. For a statement that takes no slot, took must be 0,
// so that it does not count towards the server's latency.
func (b *Balancer) Finish(id identifier.BackendServerID, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(id)
	s.inFlight--
	s.failures = 0
	s.ejectedUntil = time.Time{}
	if took > 0 {
		s.window.recordAnswer(took, b.now())
	}
	switch {
	case took == 0:
	case s.latency == 0:
		s.latency = took
	default:
		s.latency += (took - s.latency) / latencyAverageCount
	}
}

// RecordLag records the lag of a replica behind its primary.
func (b *Balancer) RecordLag(id identifier.BackendServerID, lag time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(id)
	s.lag, s.lagSeenAt = lag, b.now()
}

// Fail records a statement that ended without an answer.
func (b *Balancer) Fail(id identifier.BackendServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(id)
	s.inFlight--
	s.window.decrease(b.now())
	b.eject(s)
}

// Cancel records a statement that was not sent, for a reason that says nothing about
// the server.
func (b *Balancer) Cancel(id identifier.BackendServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server(id).inFlight--
}

// Overloaded records that a server refused a statement because of its load.
func (b *Balancer) Overloaded(id identifier.BackendServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server(id).window.decrease(b.now())
}

// ConcurrencyLimit returns the maximum number of statements to keep outstanding
// at the server.
func (b *Balancer) ConcurrencyLimit(id identifier.BackendServerID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server(id).window.limit()
}

// Unreachable records a connection attempt that failed.
func (b *Balancer) Unreachable(id identifier.BackendServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.eject(b.server(id))
}

// eject ejects a server that is not ejected already.
func (b *Balancer) eject(s *server) {
	now := b.now()
	if now.Before(s.ejectedUntil) {
		return // Counts an outage once, however many statements fail in it.
	}
	pause := minEjection << min(s.failures, 4)
	s.failures++
	s.ejectedUntil = now.Add(min(pause, maxEjection))
}

// IsEjected reports whether the server is ejected because it did not answer.
func (b *Balancer) IsEjected(id identifier.BackendServerID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now().Before(b.server(id).ejectedUntil)
}

// RecordLeader records that a server led in the term when it answered a request
// that was sent at sentAt. Evidence of an older term is ignored, and so is
// evidence of another leader of the same term if its request was sent earlier.
func (b *Balancer) RecordLeader(service identifier.ServiceName, id identifier.BackendServerID, term identifier.Term, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.leader(service)
	if term < l.term {
		return
	}
	changed := l.id != id
	if changed && term == l.term && sentAt.Before(l.confirmedAt) {
		return
	}
	l.id, l.term, l.confirmedAt = id, term, sentAt
	b.server(id).notLeadingAt = time.Time{}
	if changed && l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// RecordNotLeading records the answer of a server that it is not the leader.
func (b *Balancer) RecordNotLeading(service identifier.ServiceName, id identifier.BackendServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server(id).notLeadingAt = b.now()
	if l := b.leader(service); l.id == id {
		l.id = ""
	}
}

// Primary returns the server to send writes to: the one last observed leading,
// or else, of those that claim to be the primary, the one whose registration
// has the highest revision.
func (b *Balancer) Primary(service identifier.ServiceName, servers []cataloger.BackendServer) (cataloger.BackendServer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.leader(service)
	var best cataloger.BackendServer
	found := false
	for _, s := range servers {
		if b.isPastDrainLimit(s) || b.IsWithdrawn(s) {
			continue
		}
		if s.ID == l.id {
			return s, true
		}
		if !s.ClaimsPrimary || b.now().Sub(b.server(s.ID).notLeadingAt) < claimDistrust {
			continue
		}
		if !found || s.Revision.IsAfter(best.Revision) {
			best, found = s, true
		}
	}
	return best, found
}

// isPastDrainLimit reports whether a server has been draining for longer than
// DrainLimit. A new primary takes over from a draining one within that time.
func (b *Balancer) isPastDrainLimit(s cataloger.BackendServer) bool {
	return s.Draining && b.DrainLimit > 0 && b.now().Sub(s.DrainingSince) > b.DrainLimit
}

// IsWithdrawn reports whether no statement may be sent to the server, because its
// data centre has been evacuated for longer than EvacuationLimit.
func (b *Balancer) IsWithdrawn(s cataloger.BackendServer) bool {
	return s.Evacuated && b.EvacuationLimit > 0 && b.now().Sub(s.EvacuatedSince) > b.EvacuationLimit
}

// LeaderChanged returns a channel that is closed when another server is observed
// leading the service.
func (b *Balancer) LeaderChanged(service identifier.ServiceName) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.leader(service)
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// LastLed returns the server last observed leading the service, its term, and
// the time at which the request that showed it was sent. The id is empty if that
// server was observed not to lead since.
func (b *Balancer) LastLed(service identifier.ServiceName) (id identifier.BackendServerID, term identifier.Term, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.leader(service)
	return l.id, l.term, l.confirmedAt
}

// Ranks of servers for reads, from best to worst.
const (
	rankUsable = iota
	rankLagging
	rankEjected
)

func (b *Balancer) server(id identifier.BackendServerID) *server {
	if b.servers == nil {
		b.servers = map[identifier.BackendServerID]*server{}
	}
	s, ok := b.servers[id]
	if !ok {
		s = &server{}
		b.servers[id] = s
	}
	return s
}

func (b *Balancer) leader(service identifier.ServiceName) *leader {
	if b.leaders == nil {
		b.leaders = map[identifier.ServiceName]*leader{}
	}
	l, ok := b.leaders[service]
	if !ok {
		l = &leader{}
		b.leaders[service] = l
	}
	return l
}

func (b *Balancer) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}
