package sessioner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
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
