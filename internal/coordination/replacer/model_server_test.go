package replacer_test

import (
	"time"

	"oleanderpulley/internal/state/identifier"
)

const (
	// replicationInterval is the time between two transfers of the primary's log.
	replicationInterval = 40 * time.Millisecond
	minPromotionDelay   = 50 * time.Millisecond
	maxPromotionDelay   = time.Second
	// rejoinDelay is the time after which a replaced primary that reaches the new one
	// becomes its replica. It leads on until then where promotions do not end it.
	rejoinDelay = time.Second
)

// modelServer is one backend server of the group.
type modelServer struct {
	id       identifier.BackendServerID
	leads    bool
	crashed  bool
	deaf     bool // Receives nothing.
	draining bool
	reached  time.Duration // For which a replaced primary that leads has reached the new one.
	term     identifier.Term
	log      *modelCommit // The newest commit; nil if there is none.
}

// modelCommit is a commit with all commits before it.
type modelCommit struct {
	previous *modelCommit
	end      identifier.Position
	acked    time.Time // When a client got the acknowledgement; zero if none did.
	// discarded is set once a server without the commit was promoted.
	discarded bool
}

// position returns the position of the commit. That of an empty log is the start of
// the first term.
func (c *modelCommit) position() identifier.Position {
	if c == nil {
		return identifier.Position{Term: 1}
	}
	return c.end
}

// contains reports whether the log that ends with c has the other commit.
func (c *modelCommit) contains(o *modelCommit) bool {
	return o == nil || c.at(o.end) == o
}

// at returns the commit at the position, nil if the log that ends with c has none.
func (c *modelCommit) at(p identifier.Position) *modelCommit {
	for ; c != nil && c.end.Offset > p.Offset; c = c.previous {
	}
	if c == nil || c.end != p {
		return nil
	}
	return c
}

// has reports whether the log that ends with c reaches the position, as servers
// compare it.
func (c *modelCommit) has(p identifier.Position) bool {
	return p.Offset == 0 || c.at(p) != nil
}

// commit adds a commit to the log of the server. The caller holds mu.
func (m *model) commit(s *modelServer) *modelCommit {
	c := &modelCommit{previous: s.log, end: identifier.Position{Term: s.term, Offset: s.log.position().Offset + 1}}
	s.log = c
	return c
}

// replica returns one of the servers that do not lead.
func (m *model) replica(number int) *modelServer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var replicas []*modelServer
	for _, s := range m.servers {
		if s != m.primary {
			replicas = append(replicas, s)
		}
	}
	return replicas[number%len(replicas)]
}

// replicate transfers the log of the primary to the replicas. A replica that was
// ahead of a new primary is rolled back.
func (m *model) replicate(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(replicationInterval):
		}
		m.mu.Lock()
		for _, s := range m.servers {
			if m.reachesPrimary(s) {
				m.receive(s)
			}
		}
		m.mu.Unlock()
	}
}

// reachesPrimary reports whether the server is a replica, or should be one, and reaches
// the primary. The caller holds mu.
func (m *model) reachesPrimary(s *modelServer) bool {
	isCut := m.cutServer != nil && (m.cutServer == s || m.cutServer == m.primary)
	return s != m.primary && m.primary.leads && !m.primary.crashed && !s.crashed && !s.deaf && !isCut
}

// receive makes a server the replica of the primary that it reaches. The caller holds mu.
func (m *model) receive(s *modelServer) {
	if s.leads {
		s.reached += replicationInterval
		s.leads = s.reached < rejoinDelay
		return
	}
	s.log, s.term, s.reached = m.primary.log, m.primary.term, 0
}

// executePromotion accepts the promotion of a server that runs. The server leads
// some time later.
func (m *model) executePromotion(id identifier.BackendServerID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.server(id)
	if s.crashed {
		return false
	}
	if s != m.primary || !s.leads {
		time.AfterFunc(m.delayed, func() { m.beginTerm(s) })
	}
	return true
}

// beginTerm makes the server the primary of the next term.
func (m *model) beginTerm(s *modelServer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.crashed || (s == m.primary && s.leads) {
		return
	}
	m.promoted++
	m.term++
	for _, o := range m.servers {
		for c := o.log; c != nil && !s.log.contains(c); c = c.previous {
			c.discarded = true
		}
	}
	if m.fenced || m.primary.crashed {
		m.primary.leads = false
	}
	m.primary = s
	s.leads, s.term = true, m.term
}
