package placer

import (
	"sync"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Weights of the expected cost of a read, in time.
const (
	startLatency  = 20 * time.Millisecond // Assumed of a server that has answered nothing yet.
	distance      = 45 * time.Millisecond // Cost of leaving the data centre, for its bytes.
	handshake     = 25 * time.Millisecond // Cost of a new connection and of the slot that it takes.
	averageWeight = 8                     // Answers over which latency is averaged.

	// lagLife is the age up to which the lag seen at a replica rules it out.
	// A replica that was behind earlier may have caught up.
	lagLife = 500 * time.Millisecond

	// notPreferred spreads the workspaces of an instance over the servers of
	// a service, so that each of its few connections serves fewer of them.
	notPreferred = 6 * time.Millisecond

	// A server without answers is put aside for firstPause, then twice as
	// long each time, up to lastPause.
	firstPause = 200 * time.Millisecond
	lastPause  = 2 * time.Second

	// denied is the time for which a server that did not lead is not taken
	// for the primary on its own word.
	denied = 700 * time.Millisecond
)

// Placer decides where statements run. DataCentre is this instance's own. The
// zero value works. It is safe for concurrent use.
type Placer struct {
	DataCentre identifier.DataCentre
	Now        func() time.Time // Nil selects time.Now.
	// DrainLimit is the time after which a primary that drains gets no more
	// statements. 0 sets no limit.
	DrainLimit time.Duration
	// HasIdle reports whether a connection of the workspace is ready. Nil
	// counts as always.
	HasIdle func(identifier.BackendServerID, identifier.WorkspaceName) bool

	mu      sync.Mutex
	servers map[identifier.BackendServerID]*server
	leaders map[identifier.ServiceName]*leader
}

type server struct {
	running    int
	latency    time.Duration
	lag        time.Duration
	lagAt      time.Time
	failures   int
	asideUntil time.Time
	deniedAt   time.Time
	window     window
}

type leader struct {
	id      identifier.BackendServerID
	term    identifier.Term
	at      time.Time
	changed chan struct{}
}

// Start counts a statement that is about to be sent.
func (p *Placer) Start(id identifier.BackendServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(id).running++
}

// Finish counts an answer. A statement that takes no slot passes no time, so
// that it does not count for the server's latency.
func (p *Placer) Finish(id identifier.BackendServerID, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(id)
	s.running--
	s.failures = 0
	s.asideUntil = time.Time{}
	if took > 0 {
		s.window.answered(took, p.now())
	}
	switch {
	case took == 0:
	case s.latency == 0:
		s.latency = took
	default:
		s.latency += (took - s.latency) / averageWeight
	}
}

// Lags records how far a replica was behind its primary.
func (p *Placer) Lags(id identifier.BackendServerID, lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(id)
	s.lag, s.lagAt = lag, p.now()
}

// Fail counts a statement that ended without an answer.
func (p *Placer) Fail(id identifier.BackendServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(id)
	s.running--
	s.window.lose(p.now())
	p.setAside(s)
}

// Overloaded counts a refusal of a server for its load.
func (p *Placer) Overloaded(id identifier.BackendServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(id).window.lose(p.now())
}

// Width returns the number of statements to keep outstanding at the server.
func (p *Placer) Width(id identifier.BackendServerID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server(id).window.current()
}

// Unreachable counts a connection that could not be opened.
func (p *Placer) Unreachable(id identifier.BackendServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setAside(p.server(id))
}

func (p *Placer) setAside(s *server) {
	now := p.now()
	if now.Before(s.asideUntil) {
		return // One outage counts once, however many statements it hits.
	}
	pause := firstPause << min(s.failures, 4)
	s.failures++
	s.asideUntil = now.Add(min(pause, lastPause))
}

// IsAside reports whether the server is put aside for its silence.
func (p *Placer) IsAside(id identifier.BackendServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now().Before(p.server(id).asideUntil)
}

// Led records that a server led the term at the time at which it was asked.
func (p *Placer) Led(service identifier.ServiceName, id identifier.BackendServerID, term identifier.Term, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leader(service)
	if term < l.term {
		return
	}
	changed := l.id != id
	if changed && term == l.term && asked.Before(l.at) {
		return
	}
	l.id, l.term, l.at = id, term, asked
	p.server(id).deniedAt = time.Time{}
	if changed && l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// NotLeading records that a server answered that it does not lead.
func (p *Placer) NotLeading(service identifier.ServiceName, id identifier.BackendServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(id).deniedAt = p.now()
	if l := p.leader(service); l.id == id {
		l.id = ""
	}
}

// Primary returns the server to send writes to: the one that was last seen
// leading, or else the one that says so itself.
func (p *Placer) Primary(service identifier.ServiceName, servers []cataloger.BackendServer) (cataloger.BackendServer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leader(service)
	var best cataloger.BackendServer
	found := false
	for _, s := range servers {
		if p.isLeaving(s) {
			continue
		}
		if s.ID == l.id {
			return s, true
		}
		if !s.SaysPrimary || p.now().Sub(p.server(s.ID).deniedAt) < denied {
			continue
		}
		if !found || s.Revision > best.Revision {
			best, found = s, true
		}
	}
	return best, found
}

// isLeaving reports whether a server that drains has had its time. A successor
// takes over from a primary within it.
func (p *Placer) isLeaving(s cataloger.BackendServer) bool {
	return s.Draining && p.DrainLimit > 0 && p.now().Sub(s.DrainingSince) > p.DrainLimit
}

// LeaderChanged returns a channel that is closed when another server is seen
// leading the service.
func (p *Placer) LeaderChanged(service identifier.ServiceName) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leader(service)
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// LastLed returns when and in which term the service was last seen led.
func (p *Placer) LastLed(service identifier.ServiceName) (id identifier.BackendServerID, term identifier.Term, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leader(service)
	return l.id, l.term, l.at
}

// Ranks of readers.
const (
	rankGood = iota
	rankBehind
	rankAside
)

func (p *Placer) server(id identifier.BackendServerID) *server {
	if p.servers == nil {
		p.servers = map[identifier.BackendServerID]*server{}
	}
	s, ok := p.servers[id]
	if !ok {
		s = &server{}
		p.servers[id] = s
	}
	return s
}

func (p *Placer) leader(service identifier.ServiceName) *leader {
	if p.leaders == nil {
		p.leaders = map[identifier.ServiceName]*leader{}
	}
	l, ok := p.leaders[service]
	if !ok {
		l = &leader{}
		p.leaders[service] = l
	}
	return l
}

func (p *Placer) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}
