package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Times of the database group, as the sheet of obiseda-pool gives them.
const (
	receiveDelay  = time.Millisecond        // Network time of a commit to a replica.
	applyDelay    = 60 * time.Millisecond   // "replicas 60 ms behind".
	promoteDelay  = time.Second             // "1,000 ms a promote".
	rejoinDelay   = time.Second             // "a second after it can reach the new one".
	statementTime = 6 * time.Millisecond    // Work of a read, a write or a commit.
	connectTime   = 12 * time.Millisecond   // "12 ms a new connection".
	syncPoll      = time.Millisecond        // Between two looks whether a replica has received a commit.
	beatInterval  = 1200 * time.Millisecond // heartbeatMs
	expiryBeats   = 3                       // An entry is removed after three intervals of silence.
)

// write is one write of a commit.
type write struct {
	id, item, data string
}

// entry is one commit in a log. Its number is its index plus one.
type entry struct {
	term   int
	writes []write
}

// group is one service with its servers, which share one mutex.
type group struct {
	service  string
	sync     int  // syncReplicas
	unfenced bool // A replaced primary goes on until it steps down, or until rejoinDelay has passed.
	record   *recorder
	register func(m *member) // Writes the entry of a server to the store.
	remove   func(id string) // Removes the entry of a server from the store.

	mu      sync.Mutex
	term    int
	primary *member // The server that was promoted last.
	members []*member
}

// member is one backend server.
type member struct {
	id, zone, address string
	group             *group
	born              int64

	up       bool
	draining bool
	deaf     bool // Receives nothing from the primary.
	leads    bool
	term     int     // Newest term that it knows.
	log      []entry // What it has received.
	applied  int     // Number of entries that it has applied.
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// add starts a server; the first one is the primary.
func (g *group) add(id, zone, ip string) (*member, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	m := &member{
		id: id, zone: zone, address: l.Addr().String(), group: g, born: time.Now().UnixMilli(),
		up: true, term: 1, log: []entry{{term: 1}}, applied: 1, listener: l, conns: map[net.Conn]struct{}{},
	}
	g.mu.Lock()
	if g.primary == nil {
		g.term, g.primary, m.leads = 1, m, true
	}
	g.members = append(g.members, m)
	g.mu.Unlock()
	go m.accept(l)
	g.register(m)
	return m, nil
}

// position returns TERM.NUMBER of the first n entries of the log.
func (m *member) position(n int) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", m.log[n-1].term, n)
}

// hasApplied reports whether the applied log contains the position.
func (m *member) hasApplied(term, number int) bool {
	if m.leads {
		m.applied = len(m.log)
	}
	return number <= m.applied && number > 0 && m.log[number-1].term == term
}

// receive copies the log of the primary, unless the server is deaf or one of both
// is down. The group must be locked.
func (m *member) receive() {
	p := m.group.primary
	if m == p || m.leads || !m.up || m.deaf || !p.up || !p.leads {
		return
	}
	kept := 0
	for kept < min(len(m.log), len(p.log)) && m.log[kept].term == p.log[kept].term {
		kept++
	}
	m.log = append(m.log[:kept:kept], p.log[kept:]...)
	m.applied = min(m.applied, kept)
	m.term = m.group.term
	received := len(m.log)
	time.AfterFunc(applyDelay, func() {
		m.group.mu.Lock()
		defer m.group.mu.Unlock()
		m.applied = max(m.applied, min(received, len(m.log)))
	})
}

// replicate makes all replicas receive the log after the network time.
func (g *group) replicate() {
	time.AfterFunc(receiveDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, m := range g.members {
			m.receive()
		}
	})
}

// commit appends the writes to the log of the primary and waits until as many
// replicas have received them as the service demands. It returns the code of a
// refusal, and false if the server ended meanwhile.
func (m *member) commit(writes []write) (code string, alive bool) {
	g := m.group
	g.mu.Lock()
	if !m.leads {
		g.mu.Unlock()
		return "READONLY", true
	}
	term := m.term
	m.log = append(m.log, entry{term: term, writes: writes})
	m.applied = len(m.log)
	number := len(m.log)
	g.record.committed(m, m.position(number), writes, g.primary != m)
	g.mu.Unlock()
	g.replicate()
	for {
		g.mu.Lock()
		up, leads, received := m.up, m.leads && m.term == term, 0
		for _, o := range g.members {
			if o != m && o.up && len(o.log) >= number && o.log[number-1].term == term {
				received++
			}
		}
		g.mu.Unlock()
		switch {
		case !up || !leads:
			return "", false // No answer: whether the commit stays is not known.
		case received >= g.sync:
			return "", true
		}
		time.Sleep(syncPoll)
	}
}

// promote makes a server the primary of the next term after promoteDelay. It
// returns false if the server is not running.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.id != id || !m.up {
			continue
		}
		if g.primary == m && m.leads {
			return true
		}
		time.AfterFunc(promoteDelay, func() { g.beginTerm(m) })
		return true
	}
	return false
}

// beginTerm makes the server the primary with the log that it has received.
func (g *group) beginTerm(m *member) {
	g.mu.Lock()
	if !m.up {
		g.mu.Unlock()
		return
	}
	g.term++
	for _, o := range g.members {
		if g.unfenced && o.leads {
			g.rejoinLater(o)
		} else {
			o.leads = false
		}
	}
	g.primary, m.leads, m.term, m.deaf = m, true, g.term, false
	m.applied = len(m.log)
	g.record.promoted(m, g.term, m.log)
	g.mu.Unlock()
	g.replicate()
	for _, o := range g.members {
		g.register(o)
	}
}

// rejoinLater makes a replaced primary a replica after rejoinDelay.
func (g *group) rejoinLater(m *member) {
	time.AfterFunc(rejoinDelay, func() {
		g.mu.Lock()
		replaced := m.leads && g.primary != m
		if replaced {
			m.leads = false
		}
		g.mu.Unlock()
		if replaced {
			g.record.event("server %s (%s), which was replaced, becomes a replica", m.id, m.zone)
			g.register(m)
			g.replicate()
		}
	})
}

// setDeaf begins or ends the time in which the server receives nothing.
func (m *member) setDeaf(deaf bool) {
	m.group.mu.Lock()
	m.deaf = deaf
	m.group.mu.Unlock()
	m.group.record.event("server %s (%s) deaf=%v", m.id, m.zone, deaf)
	m.group.replicate()
}

// drain makes the server report that it drains. It goes on receiving and serving.
func (m *member) drain() {
	m.group.mu.Lock()
	m.draining = true
	m.group.mu.Unlock()
	m.group.register(m)
	m.group.record.event("server %s (%s) reports draining", m.id, m.zone)
}

// crash ends the server without a word; its log stays.
func (m *member) crash() {
	m.group.mu.Lock()
	m.up = false
	_ = m.listener.Close()
	for c := range m.conns {
		_ = c.Close()
	}
	end := m.position(len(m.log))
	m.group.mu.Unlock()
	m.group.record.event("server %s (%s) crashes; its log ends at %s", m.id, m.zone, end)
	time.AfterFunc(expiryBeats*beatInterval, func() {
		m.group.mu.Lock()
		up := m.up
		m.group.mu.Unlock()
		if !up {
			m.group.remove(m.id)
		}
	})
}

// restart starts the server again at its address, as a replica if another one was
// promoted.
func (m *member) restart() error {
	l, err := net.Listen("tcp4", m.address)
	if err != nil {
		return err
	}
	m.group.mu.Lock()
	m.up, m.listener, m.conns, m.born = true, l, map[net.Conn]struct{}{}, time.Now().UnixMilli()
	m.leads = m.group.primary == m
	m.group.mu.Unlock()
	go m.accept(l)
	m.group.register(m)
	m.group.record.event("server %s (%s) is back", m.id, m.zone)
	m.group.replicate()
	return nil
}
