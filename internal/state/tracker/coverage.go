package tracker

import "oleanderpulley/internal/state/identifier"

// Coverage describes whether a member's applied data include a log position.
type Coverage int

// Values of Coverage.
const (
	Unknown Coverage = iota // The member's status is not known.
	Covered                 // The member has applied the position.
	Behind                  // The member has not applied the position yet.
	Lost                    // A later term discarded the position; no member will ever cover it.
)

// String returns the value's name in lower case.
func (c Coverage) String() string {
	return [...]string{"unknown", "covered", "behind", "lost"}[c]
}

// Covers reports whether the data that the member has applied include p. Every
// member covers the zero position.
func (g *Group) Covers(server identifier.BackendServerID, p identifier.Position) Coverage {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.covers(g.members[server], p)
}

// Lost reports whether the log of the newest known term does not contain p,
// because p is in a log suffix that a later term discarded.
func (g *Group) Lost(p identifier.Position) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return discarded(g.history, g.newestTerm, p)
}

// CountReceived returns the number of members that are known to have received p
// in the term of p. A position that a majority has received survives every
// later change of primary.
func (g *Group) CountReceived(p identifier.Position) int {
	g.mu.RLock()
	defer g.mu.RUnlock()
	n := 0
	for _, m := range g.members {
		if m.positionKnown && m.status.Term == p.Term && m.status.Received >= p.Offset {
			n++
		}
	}
	return n
}

func (g *Group) covers(m *member, p identifier.Position) Coverage {
	if p.IsZero() {
		return Covered
	}
	if discarded(g.history, g.newestTerm, p) {
		return Lost
	}
	if m == nil || !m.positionKnown {
		return Unknown
	}
	return m.status.covers(p)
}

func (st MemberStatus) covers(p identifier.Position) Coverage {
	switch {
	case st.Term < p.Term:
		return Behind
	case discarded(st.History, st.Term, p):
		return Lost
	case st.Applied >= p.Offset:
		return Covered
	}
	return Behind
}

// discarded reports whether a log of the given term and history belongs to a
// later term than p and does not contain p. If the term of p is missing from the
// history, it was opened on a member whose log is not part of this one, so its
// offsets are not comparable and p counts as discarded.
func discarded(history []TermStart, term identifier.Term, p identifier.Position) bool {
	if term <= p.Term {
		return false
	}
	found := false
	for _, h := range history {
		if h.Term > p.Term {
			return !found || p.Offset > h.Offset
		}
		found = h.Term == p.Term
	}
	return true
}
