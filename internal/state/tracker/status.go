package tracker

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// ErrMalformedHistory is returned by [ParseHistory] for a text that is not a term
// history.
var ErrMalformedHistory = errors.New("term history is not a list of term:offset")

// Role is the replication role of a member in its group.
type Role string

// Roles of a member.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// TermStart is the offset at which the log of a term begins.
type TermStart struct {
	Term   identifier.Term      `json:"term" cbor:"term"`
	Offset identifier.LogOffset `json:"offset" cbor:"offset"`
}

// MemberStatus is a member's answer to a status query.
type MemberStatus struct {
	Server      identifier.BackendServerID
	Incarnation string // Changes whenever the server process restarts.
	Role        Role
	Term        identifier.Term      // Term of the member's log.
	Promised    identifier.Term      // Highest term that the member has promised. It refuses commands of lower terms.
	Applied     identifier.LogOffset // End of the log that queries on the member can read.
	Received    identifier.LogOffset // End of the log that the member has received.
	History     []TermStart          // Terms of the member's log in ascending order.
}

// ParseHistory parses a comma-separated list of term:offset entries, such as
// "1:0,2:5120". The empty text is an empty history. ParseHistory returns
// [ErrMalformedHistory] if an entry has another form, if a term is not higher
// than the one before, or if an offset is lower than the one before.
func ParseHistory(s string) ([]TermStart, error) {
	if s == "" {
		return nil, nil
	}
	entries := strings.Split(s, ",")
	history := make([]TermStart, 0, len(entries))
	for i, entry := range entries {
		term, offset, _ := strings.Cut(entry, ":")
		t, err := strconv.ParseUint(term, 10, 64)
		if err != nil {
			return nil, errors.Wrapf(ErrMalformedHistory, "term %.20q", term)
		}
		o, err := strconv.ParseUint(offset, 10, 64)
		if err != nil {
			return nil, errors.Wrapf(ErrMalformedHistory, "offset %.20q", offset)
		}
		start := TermStart{Term: identifier.Term(t), Offset: identifier.LogOffset(o)}
		if i > 0 && (start.Term <= history[i-1].Term || start.Offset < history[i-1].Offset) {
			return nil, errors.Wrapf(ErrMalformedHistory, "entry %.40q does not ascend", entry)
		}
		history = append(history, start)
	}
	return history, nil
}

// Position returns the end of the member's log as a position of the member's
// term. On a primary it is at or after every write that was committed before the
// status was taken.
func (st MemberStatus) Position() identifier.Position {
	return identifier.Position{Term: st.Term, Offset: max(st.Applied, st.Received)}
}

// LogEnd returns the end of the received log with the term of its last byte.
// This term is lower than Term while a follower has not yet received the log up
// to the start of the term that it follows. Ranking such a follower by Term would
// place it before a member with a longer log of the older term.
func (st MemberStatus) LogEnd() identifier.Position {
	end := identifier.Position{Term: st.Term, Offset: st.Received}
	for i := len(st.History) - 1; i >= 0; i-- {
		if st.History[i].Term <= st.Term && st.History[i].Offset <= st.Received {
			end.Term = st.History[i].Term
			break
		}
	}
	return end
}
