package sessioner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

// Guards against a COMMIT that runs before a value which was set in its transaction (PINNED).
func TestValueIsSetBeforeTheCommit(t *testing.T) {
	s, seen := newTestServer()
	qt.Assert(t, s.Execute("peer", openingForward("shops", 1)).Result.Code, qt.Equals, requester.OK)
	f := openingForward("shops", 1)
	f.Begin, f.Writes, f.Settings = requester.Unknown, false, lender.Settings{{Name: "zone", Value: "centro"}}
	f.Statement = requester.Statement{ID: "i2", Kind: requester.Commit, Text: "COMMIT"}
	qt.Assert(t, s.Execute("peer", f).Result.Code, qt.Equals, requester.OK)
	qt.Assert(t, seen["shops"], qt.DeepEquals, []requester.Kind{requester.Begin, requester.Write, requester.Set, requester.Commit})
}

// Guards against a read that lacks its session's own commit, which was answered after the permit had ended (STALE).
func TestCommitOfUnknownOutcomeIsTheNewestOfItsSession(t *testing.T) {
	own := identifier.Position{Term: 1, Offset: 5}
	s, _ := newTestServer()
	replaceDuring(s, requester.Write)
	r := s.Execute("peer", primaryRequest(requester.Write, "WRITE x 1"))
	qt.Assert(t, r.Result.Code, qt.Equals, requester.OutcomeUnknown)
	qt.Assert(t, r.LastCommit, qt.Equals, own)

	s, _ = newTestServer()
	replaceDuring(s, requester.Commit)
	qt.Assert(t, s.Execute("peer", openingForward("shops", 1)).Result.Code, qt.Equals, requester.OK)
	f := openingForward("shops", 1)
	f.Begin, f.Writes = requester.Unknown, false
	f.Statement = requester.Statement{ID: "i2", Kind: requester.Commit, Text: "COMMIT"}
	r = s.Execute("peer", f)
	qt.Assert(t, r.Result.Code, qt.Equals, requester.OutcomeUnknown)
	qt.Assert(t, r.LastCommit, qt.Equals, own)
}
