package sessioner

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Guards against a sample from before a suspension of the host that counts as recent (STALE).
func TestReadAfterASuspensionIgnoresEarlierSamples(t *testing.T) {
	s, _ := newTestServer()
	replaceDuring(s, requester.Unknown)
	clock := setClock(s)
	qt.Assert(t, s.Execute("peer", primaryRequest(requester.Write, "WRITE x 1")).Result.Code, qt.Equals, requester.OK)
	s.Fencer.Observe("rentals", cataloger.Leadership{Holder: "other", Revision: cataloger.Revision{Number: 7}})
	read := primaryRequest(requester.Read, "READ x")
	read.Route.Consistency, read.Route.MaxStaleness = cataloger.BoundedStaleness, time.Second
	qt.Assert(t, s.Execute("peer", read).Result.Code, qt.Equals, requester.OK)

	clock.advance(5 * time.Second) // The clock of package time has stopped meanwhile.
	s.Holder.SetProof(clock.now())
	qt.Assert(t, s.Execute("peer", read).Result.Code, qt.Equals, requester.Lagging)
}

// Guards against a read that lacks its session's own commit, because a peer's reply has none (STALE).
func TestReplyOfAnotherSessionKeepsTheOwnCommit(t *testing.T) {
	own := identifier.Position{Term: 2, Offset: 9}
	for name, reply := range map[string]ForwardReply{
		"transaction that is not open there": {Result: requester.Result{Code: requester.Aborted, State: requester.Failed}},
		"earlier commit":                     {LastCommit: identifier.Position{Term: 2, Offset: 3}},
		"later commit":                       {LastCommit: identifier.Position{Term: 2, Offset: 12}},
	} {
		t.Run(name, func(t *testing.T) {
			n, _ := newForwardingSession(func(identifier.InstanceID) (ForwardReply, error) { return reply, nil })
			n.commits.record(ownCommit{"rentals", own, time.Now()})
			_, err := n.sendForward("peer", time.Now().Add(time.Second), ForwardRequest{Route: ForwardedRoute{Service: "rentals"}, LastCommit: own})
			qt.Assert(t, err, qt.IsNil)
			f := n.withOwnWrites(operation{route: cataloger.Route{Service: "rentals", Consistency: cataloger.ReadOwnWrites}}, floor{position: identifier.Position{Term: 2, Offset: 1}})
			qt.Assert(t, f.position.Offset >= own.Offset, qt.IsTrue, qt.Commentf("%v", f.position))
		})
	}
}

// Guards against the loss of a session's own commit at an instance where its transaction is not open.
func TestReplyForAnUnknownTransactionHasTheOwnCommit(t *testing.T) {
	s, _ := newTestServer()
	f := openingForward("shops", 7)
	f.Begin, f.LastCommit, f.LastCommitAge = requester.Unknown, identifier.Position{Term: 2, Offset: 9}, time.Second
	r := s.Execute("peer", f)
	qt.Assert(t, r.LastCommit, qt.Equals, f.LastCommit)
	qt.Assert(t, r.LastCommitAge, qt.Equals, f.LastCommitAge)
}

// Guards against as many requests to peers as there are reads, while a primary is replaced and no
// instance has a recent sample.
func TestReadsWithoutASampleShareTheRequestToPeers(t *testing.T) {
	s, _ := newTestServer()
	replaceDuring(s, requester.Unknown)
	s.Fencer.Observe("rentals", cataloger.Leadership{Holder: "other", Revision: cataloger.Revision{Number: 7}})
	var fetches atomic.Int32
	s.FetchPeerSample = func(identifier.ServiceName, time.Duration) {
		fetches.Add(1)
		time.Sleep(5 * time.Millisecond) // The peers' answers.
	}
	read := primaryRequest(requester.Read, "READ x")
	read.Route.Consistency, read.Route.MaxStaleness = cataloger.BoundedStaleness, time.Second
	started := time.Now()
	var reads sync.WaitGroup
	for range 50 {
		reads.Go(func() { s.Execute("peer", read) })
	}
	reads.Wait()
	limit := 1 + int32(time.Since(started)/floorPause)
	qt.Assert(t, fetches.Load() <= limit, qt.IsTrue, qt.Commentf("%d requests, at most %d", fetches.Load(), limit))
}
