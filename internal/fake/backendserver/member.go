package backendserver

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Roles of a member.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
)

// TermStart is the log offset at which a term begins.
type TermStart struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// Status contains the row of group_member_status() and further details.
type Status struct {
	Server       string      `json:"server"`
	Incarnation  string      `json:"incarnation"`
	Role         string      `json:"role"`
	Term         uint64      `json:"term"`
	PromisedTerm uint64      `json:"promised_term"`
	Applied      uint64      `json:"applied"`
	Received     uint64      `json:"received"`
	History      []TermStart `json:"history"`
	PromisedTo   string      `json:"holder"`
	Follows      string      `json:"follows"`
	Connections  int         `json:"connections"`
}

// entry is one committed transaction in the log. It occupies the bytes from
// Start to End. At is the wall-clock time of the commit in nanoseconds. Entries
// are sent to replicas as JSON with these field names.
type entry struct {
	Start, End uint64
	At         int64
	Ops        []operation
}

// memberState is the state of a server that survives a restart. It is guarded
// by the lock of the server.
type memberState struct {
	lineage  string // identifies the first primary of the log; logs of another lineage are refused
	role     string
	term     uint64
	promised uint64
	holder   string
	history  []TermStart
	log      []entry
	applied  int // number of log entries that the store contains
	store    *store
	follows  string
}

// received returns the end offset of the log.
func (m *memberState) received() uint64 {
	if len(m.log) == 0 {
		return 0
	}
	return m.log[len(m.log)-1].End
}

// appliedOffset returns the end offset of the last applied entry.
func (m *memberState) appliedOffset() uint64 {
	if m.applied == 0 {
		return 0
	}
	return m.log[m.applied-1].End
}

// applyTo applies the entries up to the first n of the log to the store.
func (m *memberState) applyTo(n int) {
	for ; m.applied < n; m.applied++ {
		for _, o := range m.log[m.applied].Ops {
			m.store.apply(o)
		}
	}
}

// truncate discards the log after an offset and rebuilds the store from the
// rest.
func (m *memberState) truncate(offset uint64) {
	n, _ := slices.BinarySearchFunc(m.log, offset, func(e entry, o uint64) int {
		if e.End <= o {
			return -1
		}
		return 1
	})
	applied := min(m.applied, n)
	m.log = slices.Clip(m.log[:n])
	m.store, m.applied = newStore(), 0
	m.applyTo(applied)
}

// Status returns the current status of the member.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &s.member
	return Status{
		Server: s.ID, Incarnation: s.incarnation, Role: m.role, Term: m.term, PromisedTerm: m.promised,
		Applied: m.appliedOffset(), Received: m.received(), History: slices.Clone(m.history),
		PromisedTo: m.holder, Follows: m.follows, Connections: s.admittedSessions,
	}
}

// Fence promises a term to a holder, after which the member commits no changes
// in lower terms. It fails if a higher term, or this term to another holder, is
// promised. See docs/design.md, 5.1.
func (s *Server) Fence(term uint64, holder string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &s.member
	if term < m.promised || term == m.promised && holder != m.holder {
		return sqlErrorf("55000", "term %d is promised to %q", m.promised, m.holder)
	}
	m.promised, m.holder = term, holder
	s.notify()
	return nil
}

// Promote makes the member the primary of a term that it has promised to the
// holder.
func (s *Server) Promote(term uint64, holder string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &s.member
	if term != m.promised || holder != m.holder {
		return sqlErrorf("55000", "term %d is promised to %q", m.promised, m.holder)
	}
	if m.role == RolePrimary && m.term == term {
		return nil
	}
	s.stopFollowing()
	m.applyTo(len(m.log))
	m.role, m.term, m.follows = RolePrimary, term, ""
	m.history = append(m.history, TermStart{term, m.received()})
	s.notify()
	return nil
}

// Follow makes the member a replica of the primary at an address. It fails if a
// higher term is promised, or if the member is itself the primary of this or a
// higher term.
func (s *Server) Follow(term uint64, address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &s.member
	if term < m.promised || m.role == RolePrimary && m.term >= term {
		return sqlErrorf("55000", "term %d is promised to %q, own term is %d", m.promised, m.holder, m.term)
	}
	if term > m.promised {
		m.promised, m.holder = term, ""
	}
	m.role, m.follows = RoleReplica, address
	s.startFollowing()
	s.notify()
	return nil
}

func formatHistory(history []TermStart) string {
	pairs := make([]string, len(history))
	for i, h := range history {
		pairs[i] = fmt.Sprintf("%d:%d", h.Term, h.Offset)
	}
	return strings.Join(pairs, ",")
}

// commonPrefixEnd returns the offset up to which two logs, given by their term
// histories and end offsets, are identical.
func commonPrefixEnd(a []TermStart, endA uint64, b []TermStart, endB uint64) uint64 {
	common := min(endA, endB)
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	if n == 0 {
		return 0
	}
	if n < len(a) {
		common = min(common, a[n].Offset)
	}
	if n < len(b) {
		common = min(common, b[n].Offset)
	}
	return common
}

// callGroupFunction runs the SQL functions of docs/design.md, 5.1, and
// group_pull. The second result is false for any other function.
func (s *Server) callGroupFunction(ctx context.Context, name string, args []value) (value, bool, error) {
	var command func(uint64, string) error
	switch name {
	case "group_fence":
		command = s.Fence
	case "group_promote":
		command = s.Promote
	case "group_follow":
		command = s.Follow
	case "group_pull":
		if len(args) != 1 || args[0] == nil {
			return nil, true, sqlErrorf("42883", "group_pull needs one argument")
		}
		answer, err := s.pullJSON(ctx, *args[0])
		return textValue(answer), true, err
	default:
		return nil, false, nil
	}
	if len(args) != 2 || args[0] == nil || args[1] == nil {
		return nil, true, sqlErrorf("42883", "%s needs a term and a text", name)
	}
	term, err := strconv.ParseUint(*args[0], 10, 64)
	if err != nil {
		return nil, true, sqlErrorf("22P02", "invalid term %.20q", *args[0])
	}
	return textValue("t"), true, command(term, *args[1])
}

// statusTable is the function that returns the status of the member.
const statusTable = "group_member_status()"

var statusColumns = []column{
	{"server", 25, true}, {"incarnation", 25, true}, {"role", 25, true}, {"term", 20, true}, {"promised_term", 20, true},
	{"applied", 20, true}, {"received", 20, true}, {"history", 25, true},
}

// row returns the values of statusColumns.
func (st Status) row() []value {
	return []value{
		textValue(st.Server), textValue(st.Incarnation), textValue(st.Role), numberValue(st.Term), numberValue(st.PromisedTerm),
		numberValue(st.Applied), numberValue(st.Received), textValue(formatHistory(st.History)),
	}
}
