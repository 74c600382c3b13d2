package sessioner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
)

// Guards against a sample from before a suspension of the machine that counts as recent (STALE).
func TestReadAfterASuspensionIgnoresEarlierSamples(t *testing.T) {
	s, _ := newTestServer()
	replaceDuring(s, requester.Unknown)
	now := s.Holder.Clock()
	s.Holder.Now = func() time.Duration { return now }
	qt.Assert(t, s.Execute("peer", primaryRequest(requester.Write, "WRITE x 1")).Result.Code, qt.Equals, requester.OK)
	s.Fencer.Observe("rentals", cataloger.Leadership{Holder: "other", Revision: 7})
	read := primaryRequest(requester.Read, "READ x")
	read.Route.Consistency, read.Route.MaxStaleness = cataloger.BoundedStaleness, time.Second
	qt.Assert(t, s.Execute("peer", read).Result.Code, qt.Equals, requester.OK)

	now += 5 * time.Second // The clock of package time has stopped meanwhile.
	s.Holder.SetProof(now)
	qt.Assert(t, s.Execute("peer", read).Result.Code, qt.Equals, requester.Lagging)
}
