package replacer

import (
	"cmp"
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// newDiscardedService returns a service whose primary a of term 2 has failed. The term began after
// offset 8, so that server b, which is at 9, has a commit that its promotion discarded.
func newDiscardedService() (*fakeService, *Replacer) {
	s := newFakeService()
	s.leader, s.term, s.down["a"] = "", 2, true
	s.received["a"], s.received["b"], s.received["c"] = 8, 9, 8
	s.stored = cataloger.Leadership{Term: 2, Server: "a", TermStarts: "2@1/8", Revision: cataloger.Revision{Number: 10}}
	s.known = s.stored
	return s, s.replacer()
}

// Guards against the loss of the starts that an instance has kept when it replaces a record of an earlier release.
func TestTermStartsOutliveARecordOfAnEarlierRelease(t *testing.T) {
	s, r := newDiscardedService()
	s.stored.TermStarts = ""
	var announced cataloger.TermStarts
	write := r.WriteRecord
	r.WriteRecord = func(ctx context.Context, service identifier.ServiceName, l cataloger.Leadership) (cataloger.Leadership, error) {
		announced = cmp.Or(announced, l.TermStarts)
		return write(ctx, service, l)
	}
	s.check(r, &serviceWatch{term: 2, silentSince: silentLongEnough()})
	qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("c"))
	qt.Assert(t, announced, qt.Equals, cataloger.TermStarts("2@1/8"))
	qt.Assert(t, s.stored.TermStarts, qt.Equals, cataloger.TermStarts("3@1/8"))
}

// Guards against discarded commits that are back although a server without them answers.
func TestDiscardedCommitsAreTheLastResort(t *testing.T) {
	s, r := newDiscardedService()
	s.check(r, &serviceWatch{term: 2, silentSince: time.Now().Add(-2 * discardedCommitsLimit)})
	qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("c"))
}

// Guards against a service that stays without a primary because a log with discarded commits is longer than that of
// the failed primary, which is back.
func TestDiscardedCommitsDoNotOutweighTheFailedPrimary(t *testing.T) {
	s, r := newDiscardedService()
	s.catalog.Configuration.Services = map[identifier.ServiceName]cataloger.Service{"rentals": {SyncReplicas: 1}}
	s.down["a"], s.down["c"] = false, true
	s.check(r, &serviceWatch{term: 2, silentSince: silentLongEnough()})
	qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("a"))
}

// Guards against a service that is blocked for good: the instance that takes over did not see the primary fail.
func TestLastResortIsReachedByAnInstanceThatTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newDiscardedService()
		s.down["c"] = true
		s.removeEntry("a")
		s.stored.Holder, s.stored.Successor = "one", "a" // The successor is gone for good.
		s.known = s.stored
		w := &serviceWatch{term: 2}
		s.check(r, w)
		qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID(""))
		time.Sleep(discardedCommitsLimit)
		s.check(r, w)
		qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("b"))
	})
}

// Guards against the loss of the whole log: a server that has nothing is promoted because the other one has a
// discarded commit.
func TestEmptyLogDoesNotReplaceDiscardedCommits(t *testing.T) {
	s, r := newDiscardedService()
	s.received["c"] = 0
	s.check(r, &serviceWatch{term: 2, silentSince: silentLongEnough()})
	qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID(""))
	s.check(r, &serviceWatch{term: 2, silentSince: time.Now().Add(-discardedCommitsLimit)})
	qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("b"))
}
