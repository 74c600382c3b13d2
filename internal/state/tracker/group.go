package tracker

import (
	"slices"
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// Group is an instance's view of one database group. The zero value is a group
// without any known member. It is safe for concurrent use.
type Group struct {
	mu          sync.RWMutex
	configured  []identifier.BackendServerID // Nil until SetMembers is called.
	members     map[identifier.BackendServerID]*member
	newestTerm  identifier.Term // Highest term of any member's log so far; never decreases.
	history     []TermStart     // History of the newest term.
	confirmedAt time.Time       // Latest time at which the newest term is proven to have been the last one; zero without proof.
	samples     []sample        // Positions of the primaries, oldest first.
	changed     chan struct{}
	lastWake    func() time.Time // Of [Groups]; nil means never.
}

type member struct {
	status         MemberStatus
	positionKnown  bool          // False after the member's probe connection broke.
	sent, received time.Time     // Before the query of the status was sent and after the answer arrived.
	delay          time.Duration // Estimate of the replication delay; 0 if there is none.
}

// SetMembers sets the members that the configuration lists for the group, and
// drops all others. Before the first call every server that answers is a member.
func (g *Group) SetMembers(configured []identifier.BackendServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.configured = slices.Clone(configured)
	for id := range g.members {
		if !slices.Contains(configured, id) {
			delete(g.members, id)
		}
	}
	g.notifyChanged()
}

// Observe records the answer to a status query. The parameter sent is the time
// before the query was sent, received the time after the answer arrived. Observe
// ignores servers that are not configured, and an answer whose query was sent
// before that of the last recorded answer.
func (g *Group) Observe(st MemberStatus, sent, received time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.configured != nil && !slices.Contains(g.configured, st.Server) {
		return
	}
	if g.members == nil {
		g.members = map[identifier.BackendServerID]*member{}
	}
	m := g.members[st.Server]
	if m == nil {
		m = &member{}
		g.members[st.Server] = m
	}
	if sent.Before(m.sent) {
		return
	}
	if m.status.Incarnation != st.Incarnation {
		m.delay = 0
	}
	m.status, m.positionKnown, m.sent, m.received = st, true, sent, received
	g.advanceTerm(st)
	g.confirmNewestTerm()
	if st.Role == Primary && st.Term == g.newestTerm {
		g.addSample(sample{position: st.Position(), sent: sent, promised: st.Promised})
	}
	if st.Role == Replica {
		m.estimateDelay(g)
	}
	g.notifyChanged()
}

// Forget marks the member's position as unknown until it answers again. It is
// called when the member's probe connection breaks.
func (g *Group) Forget(server identifier.BackendServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[server]; m != nil && m.positionKnown {
		m.positionKnown = false
		g.notifyChanged()
	}
}

// Primary returns the member whose last answer was that of the primary of the
// newest term, and that term. Without such a member it returns false, and still
// the newest term.
func (g *Group) Primary() (identifier.BackendServerID, identifier.Term, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for id, m := range g.members {
		if m.status.Role == Primary && m.status.Term == g.newestTerm {
			return id, g.newestTerm, true
		}
	}
	return "", g.newestTerm, false
}

// Status returns the last status of a member and the time before its query was
// sent. It returns false while the member's position is unknown.
func (g *Group) Status(server identifier.BackendServerID) (MemberStatus, time.Time, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	m := g.members[server]
	if m == nil || !m.positionKnown {
		return MemberStatus{}, time.Time{}, false
	}
	return m.status, m.sent, true
}

// Statuses returns the last status of every member whose position is known.
func (g *Group) Statuses() []MemberStatus {
	g.mu.RLock()
	defer g.mu.RUnlock()
	all := make([]MemberStatus, 0, len(g.members))
	for _, m := range g.members {
		if m.positionKnown {
			all = append(all, m.status)
		}
	}
	return all
}

// AnsweredAsPrimary reports whether the primary of the newest term has answered
// a query sent after the given time without having promised a later term. It
// reports false if the newest term is lower than the given one.
func (g *Group) AnsweredAsPrimary(term identifier.Term, after time.Time) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, m := range g.members {
		if m.status.Role == Primary && m.status.Term == g.newestTerm && m.status.Promised <= g.newestTerm && g.newestTerm >= term && m.sent.After(after) {
			return true
		}
	}
	return false
}

// CountAnswered returns the number of members with a known position whose last
// answer is to a query sent after the given time.
func (g *Group) CountAnswered(after time.Time) int {
	g.mu.RLock()
	defer g.mu.RUnlock()
	n := 0
	for _, m := range g.members {
		if m.positionKnown && m.sent.After(after) {
			n++
		}
	}
	return n
}

// Changed returns a channel that is closed when a status is recorded or
// forgotten, or the members are set, the next time.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

// advanceTerm adopts the term and history of a status that has a newer term, or
// more history of the newest one. When the term changes, the ages of the older
// term's samples are fixed to start no later than confirmedAt, and samples
// without such a time are dropped.
func (g *Group) advanceTerm(st MemberStatus) {
	if st.Term < g.newestTerm || st.Term == g.newestTerm && len(st.History) <= len(g.history) {
		return
	}
	if st.Term > g.newestTerm {
		g.samples = slices.DeleteFunc(g.samples, func(s sample) bool { return g.ageStart(s).IsZero() })
		for i := range g.samples {
			g.samples[i].sent = g.ageStart(g.samples[i])
		}
		g.newestTerm, g.confirmedAt = st.Term, time.Time{}
	}
	g.history = slices.Clone(st.History)
}

func (g *Group) notifyChanged() {
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}
