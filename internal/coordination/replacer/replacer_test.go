package replacer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

var errDown = errors.New("no answer")

// fakeService simulates a service of three servers and records the calls to the
// record, to the instances and to the servers.
type fakeService struct {
	mu       sync.Mutex
	catalog  *cataloger.Catalog
	leader   identifier.BackendServerID // "" if none leads.
	down     map[identifier.BackendServerID]bool
	received map[identifier.BackendServerID]uint64
	lagging  bool                 // No replica receives the rest of the log when the primary steps down.
	stored   cataloger.Leadership // The record in the store.
	known    cataloger.Leadership // The record that this instance knows.
	era      uint64
	revision uint64
	silent   map[identifier.InstanceID]bool // Instances that do not confirm.
	term     identifier.Term
	boot     time.Time
	sight    PeerSightings
	calls    []string
	promote  func(id identifier.BackendServerID) error
	lastLed  time.Time
	group    cataloger.DatabaseGroup // In the store; not there if it has no members.
	groupErr error                   // Of reading the group.
}

func newFakeService() *fakeService {
	s := &fakeService{
		leader: "a", down: map[identifier.BackendServerID]bool{}, revision: 10,
		received: map[identifier.BackendServerID]uint64{"a": 9, "b": 7, "c": 8},
		sight:    PeerSightings{Asked: 2, Answered: 2},
		silent:   map[identifier.InstanceID]bool{}, term: 1, boot: time.Now(),
	}
	s.catalog = &cataloger.Catalog{
		Configuration: &cataloger.Configuration{},
		Servers: map[identifier.ServiceName][]cataloger.BackendServer{
			"rentals": {{ID: "a", Service: "rentals", ClaimsPrimary: true}, {ID: "b", Service: "rentals"}, {ID: "c", Service: "rentals"}},
		},
		Instances: map[identifier.InstanceID]cataloger.Instance{"one": {}, "two": {}},
	}
	s.promote = func(id identifier.BackendServerID) error {
		if s.leader != id {
			s.term++
		}
		s.leader = id
		return nil
	}
	return s
}

// testValidity is the validity of permits in these tests.
const testValidity = 400 * time.Millisecond

func (s *fakeService) recordWrite(l cataloger.Leadership) {
	if l.IsReplacing() {
		s.record("announce %d %s", l.Revision.Number, l.Successor)
	} else {
		s.record("grant %s in term %d", l.Server, l.Term)
	}
}

func (s *fakeService) record(format string, args ...any) {
	s.calls = append(s.calls, fmt.Sprintf(format, args...))
}

func (s *fakeService) member(id identifier.BackendServerID) requester.ServerStatus {
	return requester.ServerStatus{
		Leads: s.leader == id, Term: s.term,
		Received: identifier.Position{Term: 1, Offset: identifier.LogOffset(s.received[id])},
	}
}

// replacer returns the replacer of an instance that has run for long.
func (s *fakeService) replacer() *Replacer {
	r := s.startedReplacer()
	r.removals = removalHistory{last: s.catalog, since: -time.Hour}
	return r
}

// startedReplacer returns the replacer of an instance that has just started.
func (s *fakeService) startedReplacer() *Replacer {
	locked := func(f func() error) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return f()
	}
	return &Replacer{
		Self:          "one",
		TokensChecked: true,
		Catalog:       func() *cataloger.Catalog { return s.catalog },
		LastLed: func(identifier.ServiceName) (identifier.BackendServerID, identifier.Term, time.Time) {
			return "a", 1, s.lastLed
		},
		Confirm: func(b cataloger.BackendServer) error {
			return locked(func() error {
				switch {
				case s.down[b.ID]:
					return errDown
				case s.leader != b.ID:
					return fencer.ErrNotLeading
				}
				return nil
			})
		},
		Status: func(b cataloger.BackendServer) (m requester.ServerStatus, err error) {
			err = locked(func() error {
				if s.down[b.ID] {
					return errDown
				}
				if s.leader != "" && !s.down[s.leader] && !s.lagging && s.received[b.ID] < s.received[s.leader] {
					s.received[b.ID]++ // Replication goes on.
				}
				m = s.member(b.ID)
				return nil
			})
			return m, err
		},
		StepDown: func(b cataloger.BackendServer, term identifier.Term) (m requester.ServerStatus, err error) {
			err = locked(func() error {
				if s.down[b.ID] {
					return errDown
				}
				s.record("step down %s below %d", b.ID, term)
				s.leader = ""
				m = s.member(b.ID)
				if !s.lagging {
					s.received["c"] = s.received[b.ID] // The replica receives the rest.
				}
				return nil
			})
			return m, err
		},
		QueryPeers: func(context.Context, identifier.ServiceName, time.Time) PeerSightings { return s.sight },
		Record:     func(identifier.ServiceName) cataloger.Leadership { return s.known },
		Adopt: func(_ identifier.ServiceName, l cataloger.Leadership) {
			if l.Supersedes(s.known) {
				s.known = l
			}
		},
		ReadRecord: func(context.Context, identifier.ServiceName) (cataloger.Leadership, error) {
			if s.stored.Revision.IsZero() {
				return cataloger.Leadership{}, ErrNoRecord
			}
			return s.stored, nil
		},
		WriteRecord: func(_ context.Context, _ identifier.ServiceName, l cataloger.Leadership) (cataloger.Leadership, error) {
			if l.Revision != s.stored.Revision {
				return cataloger.Leadership{}, ErrRecordChanged
			}
			s.revision++
			l.Revision = cataloger.Revision{Era: s.era, Number: s.revision}
			s.stored = l
			return l, locked(func() error {
				s.recordWrite(l)
				return nil
			})
		},
		ReadGroup: func(context.Context, identifier.ServiceName) (cataloger.DatabaseGroup, error) {
			if s.groupErr == nil && len(s.group.Members) == 0 {
				return cataloger.DatabaseGroup{}, ErrNoGroup
			}
			return s.group, s.groupErr
		},
		WriteGroup: func(_ context.Context, _ identifier.ServiceName, g cataloger.DatabaseGroup) (cataloger.DatabaseGroup, error) {
			if g.Revision != s.group.Revision {
				return g, ErrRecordChanged
			}
			g.Revision.Number++
			s.group, s.groupErr = g, nil
			return g, nil
		},
		Members: func(context.Context) (map[identifier.InstanceID]cataloger.Instance, error) {
			return s.catalog.Instances, nil
		},
		Revoke: func(_ context.Context, id identifier.InstanceID, _ identifier.ServiceName, l cataloger.Leadership) bool {
			return locked(func() error {
				if s.silent[id] {
					return errDown
				}
				s.record("%s confirms %d", id, l.Revision.Number)
				return nil
			}) == nil
		},
		Announce: func(identifier.ServiceName, cataloger.Leadership) {},
		Validity: testValidity,
		Clock:    func() time.Duration { return time.Since(s.boot) },
		Era:      func() uint64 { return 0 },
		IsProven: func() bool { return true },
		Promote: func(_ context.Context, _ identifier.ServiceName, id identifier.BackendServerID, l cataloger.Leadership) error {
			return locked(func() error {
				s.record("promote %s under %d", id, l.Token())
				return s.promote(id)
			})
		},
	}
}

func (s *fakeService) check(r *Replacer, w *serviceWatch) []string {
	s.calls = nil
	r.checkService(context.Background(), "rentals", w)
	if u := w.takeGroupUpdate(); u != nil {
		r.updateGroup(context.Background(), "rentals", &w.members, *u)
	}
	return s.calls
}

// fail makes a server that led fail, with no record of a replacement. Queries of an
// earlier check may still be running.
func (s *fakeService) fail(id identifier.BackendServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = map[identifier.BackendServerID]bool{id: true}
	s.leader, s.known, s.stored = "", cataloger.Leadership{}, cataloger.Leadership{}
}

// replacementOfA returns the calls of a replacement that begins with the given
// revision and makes c the primary.
func replacementOfA(revision uint64) []string {
	return []string{
		fmt.Sprintf("announce %d ", revision), fmt.Sprintf("two confirms %d", revision),
		fmt.Sprintf("announce %d c", revision+1), fmt.Sprintf("promote c under %d", revision+1), "grant c in term 2",
	}
}

// silentLongEnough returns a time of last contact to the primary after which a
// replacement is due.
func silentLongEnough() time.Time {
	return time.Now().Add(-suspicionTimeout - maxRankDelay)
}

// Guards against primaries that are replaced again and again while the fleet does not
// settle, so that the service is never used.
func TestReplacementsAreBounded(t *testing.T) {
	s := newFakeService()
	w := &serviceWatch{}
	r := s.replacer()
	replaced := func() bool {
		s.fail("a")
		w.pausedUntil, w.silentSince = time.Time{}, silentLongEnough()
		return len(s.check(r, w)) > 0
	}
	for range maxReplacements {
		qt.Assert(t, replaced(), qt.IsTrue)
	}
	qt.Assert(t, replaced(), qt.IsFalse)
	for i := range w.budget.replaced {
		w.budget.replaced[i] = w.budget.replaced[i].Add(-replacementWindow)
	}
	qt.Assert(t, replaced(), qt.IsTrue)
}

// Guards against a failed primary that is kept because others replaced the primaries
// of its service before, as they do while all its servers are replaced: after the loss
// of a data centre at 300 instances nothing was served for 30 s.
func TestReplacementsOfOthersAreNotCounted(t *testing.T) {
	s := newFakeService()
	w := &serviceWatch{}
	r := s.replacer()
	for term := range identifier.Term(2 * maxReplacements) {
		s.known = cataloger.Leadership{Term: term + 1, Server: "a", Revision: cataloger.Revision{Number: uint64(term + 1)}}
		s.stored = s.known
		s.check(r, w)
	}
	s.fail("a")
	w.pausedUntil, w.silentSince, w.term = time.Time{}, silentLongEnough(), 0
	qt.Assert(t, len(s.check(r, w)) > 0, qt.IsTrue)
}

// Guards against a failed primary that is not replaced, and against the
// promotion of a replica that is behind another.
func TestDeadPrimaryIsReplacedByTheMostAdvanced(t *testing.T) {
	s := newFakeService()
	s.down["a"] = true
	w := &serviceWatch{silentSince: silentLongEnough()}
	qt.Assert(t, s.check(s.replacer(), w), qt.DeepEquals, replacementOfA(11))
	qt.Assert(t, w.silentSince.IsZero(), qt.IsTrue)
}

// Guards against a replacement by the only instance that cannot reach the
// primary, or by one that is partitioned from the others.
func TestReplacementIsWithheld(t *testing.T) {
	for name, sight := range map[string]PeerSightings{
		"seen by a peer":  {Asked: 2, Answered: 2, Led: true},
		"no peer answers": {Asked: 4},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeService()
			s.down["a"] = true
			s.sight = sight
			qt.Assert(t, s.check(s.replacer(), &serviceWatch{silentSince: silentLongEnough()}), qt.HasLen, 0)
		})
	}
}

// Guards against a replacement while a lost packet is still being retransmitted.
func TestShortSilenceIsNoReason(t *testing.T) {
	s := newFakeService()
	s.down["a"] = true
	s.lastLed = time.Now().Add(-recentLeadWindow)
	qt.Assert(t, s.check(s.replacer(), &serviceWatch{}), qt.HasLen, 0)
}

// Guards against the replacement of a primary that is reachable again.
func TestRecoveredPrimaryIsKept(t *testing.T) {
	s := newFakeService()
	qt.Assert(t, s.check(s.replacer(), &serviceWatch{silentSince: silentLongEnough()}), qt.HasLen, 0)
}

// Guards against the loss of acknowledged commits when a primary drains: it
// steps down first, and the successor has received its whole log. A promotion
// of the draining primary first verifies that promotions are answered, because
// the service has no primary after the step-down.
func TestDrainingPrimaryStepsDownFirst(t *testing.T) {
	s := newFakeService()
	s.catalog.Servers["rentals"][0].Draining = true
	s.lastLed = time.Now()
	qt.Assert(t, s.check(s.replacer(), &serviceWatch{}), qt.DeepEquals,
		[]string{"announce 11 ", "two confirms 11", "promote a under 11", "step down a below 2", "announce 12 c", "promote c under 12", "grant c in term 2"})
	qt.Assert(t, s.received["c"], qt.Equals, uint64(9))
}

// Guards against an unanswered promotion of a draining primary that is executed late and replaces a successor (ONE).
func TestDrainingPrimaryIsNotPromotedWhereTokensAreNotChecked(t *testing.T) {
	s := newFakeService()
	s.catalog.Servers["rentals"][0].Draining = true
	s.lastLed = time.Now()
	r := s.replacer()
	r.TokensChecked = false
	qt.Assert(t, s.check(r, &serviceWatch{}), qt.DeepEquals,
		[]string{"announce 11 ", "step down a below 2", "announce 12 c", "promote c under 12", "grant c in term 2"})
}

// Guards against a draining primary that is promoted to verify that promotions
// are answered, steps down, leads again once the promotion takes effect, and is
// used by an instance that does not know of the replacement.
func TestDrainingPrimaryIsNotPromotedUnlessAllConfirm(t *testing.T) {
	s := newFakeService()
	s.catalog.Servers["rentals"][0].Draining = true
	s.silent["two"] = true
	s.lastLed = time.Now()
	qt.Assert(t, s.check(s.replacer(), &serviceWatch{}), qt.DeepEquals,
		[]string{"announce 11 ", "step down a below 2", "announce 12 c", "promote c under 12", "grant c in term 2"})
}

// Guards against a primary that steps down while promotions fail, which would
// leave the service without a primary.
func TestDrainingPrimaryStaysWhilePromotionsFail(t *testing.T) {
	s := newFakeService()
	s.catalog.Servers["rentals"][0].Draining = true
	s.lastLed = time.Now()
	s.promote = func(identifier.BackendServerID) error { return ErrPromotionRefused }
	qt.Assert(t, s.check(s.replacer(), &serviceWatch{}), qt.DeepEquals,
		[]string{"announce 11 ", "two confirms 11", "promote a under 11", "grant  in term 0"})
	qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("a"))
}

// Guards against two instances that promote in the same failover, and against
// the use of one token for two choices of a successor.
func TestLeaseOfAnotherHolderIsRespected(t *testing.T) {
	s := newFakeService()
	s.down["a"] = true
	s.stored = cataloger.Leadership{Holder: "two", Revision: cataloger.Revision{Number: 5}}
	w := &serviceWatch{silentSince: silentLongEnough()}
	r := s.replacer()
	qt.Assert(t, s.check(r, w), qt.HasLen, 0)
	w.announcedSince = time.Now().Add(-TakeoverTimeout)
	w.pausedUntil = time.Time{}
	qt.Assert(t, s.check(r, w), qt.DeepEquals, replacementOfA(11))
}

// Guards against the loss of acknowledged commits of a service with synchronous
// replication when the only replica that received the newest commits does not
// answer.
func TestPromotionWaitsForTheReplicaThatMayBeAhead(t *testing.T) {
	s := newFakeService()
	s.catalog.Configuration.Services = map[identifier.ServiceName]cataloger.Service{"rentals": {SyncReplicas: 1}}
	s.down["a"], s.down["c"] = true, true
	w := &serviceWatch{silentSince: silentLongEnough()}
	r := s.replacer()
	r.LastLed = func(identifier.ServiceName) (identifier.BackendServerID, identifier.Term, time.Time) {
		return "", 1, s.lastLed // The server is forgotten once it cannot be reached.
	}
	qt.Assert(t, s.check(r, w), qt.DeepEquals, []string{"announce 11 ", "two confirms 11", "grant  in term 0"})
	qt.Assert(t, w.pausedUntil.IsZero(), qt.IsFalse)
	s.down["c"] = false
	qt.Assert(t, s.check(r, w), qt.DeepEquals, replacementOfA(13))
}

// Guards against a service that has no primary during a network partition, on
// the side that reaches the store: the primary and most instances are partitioned
// from the store and from the others.
func TestLapsedPrimaryIsReplacedWithoutPeers(t *testing.T) {
	s := newFakeService()
	s.down["a"] = true
	s.sight = PeerSightings{Asked: 11}
	w := &serviceWatch{silentSince: silentLongEnough()}
	qt.Assert(t, s.check(s.replacer(), w), qt.HasLen, 0)
	s.catalog.Servers["rentals"] = s.catalog.Servers["rentals"][1:]
	w = &serviceWatch{silentSince: silentLongEnough()}
	qt.Assert(t, s.check(s.replacer(), w), qt.DeepEquals, replacementOfA(11))
	s.leader, s.sight.Led = "", true
	w = &serviceWatch{silentSince: silentLongEnough()}
	qt.Assert(t, s.check(s.replacer(), w), qt.HasLen, 0)
}

// Guards against a promotion while an instance that does not confirm may still
// use the old primary: it begins only when every permit has expired.
func TestPromotionWaitsForInstancesThatDoNotConfirm(t *testing.T) {
	s := newFakeService()
	s.down["a"] = true
	s.silent["two"] = true
	started := time.Now()
	calls := s.check(s.replacer(), &serviceWatch{silentSince: silentLongEnough()})
	qt.Assert(t, calls, qt.DeepEquals, []string{"announce 11 ", "announce 12 c", "promote c under 12", "grant c in term 2"})
	qt.Assert(t, time.Since(started) >= testValidity, qt.IsTrue)
}

// Guards against a wait for instances that do not confirm although the old
// primary has stepped down and accepts no write any more.
func TestStepDownEndsTheWaitForInstances(t *testing.T) {
	s := newFakeService()
	s.silent["two"] = true
	r := s.replacer()
	r.Validity = time.Minute
	r.LastLed = func(identifier.ServiceName) (identifier.BackendServerID, identifier.Term, time.Time) {
		return "a", 1, s.lastLed
	}
	p := &replacement{service: "rentals", acked: r.Clock()}
	s.calls = nil
	qt.Assert(t, r.awaitFence(context.Background(), p), qt.IsNil)
	qt.Assert(t, s.calls, qt.DeepEquals, []string{"step down a below 2"})
}

// Guards against the loss of acknowledged commits: a successor that falls behind
// while the primary drains was promoted nevertheless.
func TestSuccessorThatFallsBehindIsNotPromoted(t *testing.T) {
	s := newFakeService()
	s.catalog.Servers["rentals"][0].Draining = true
	s.received["a"], s.received["c"] = 8, 8
	s.lagging = true
	s.lastLed = time.Now()
	r := s.replacer()
	stepDown := r.StepDown
	r.StepDown = func(b cataloger.BackendServer, term identifier.Term) (requester.ServerStatus, error) {
		s.received["a"] = 9 // A last commit, which no replica receives.
		return stepDown(b, term)
	}
	w := &serviceWatch{}
	calls := s.check(r, w)
	qt.Assert(t, slices.Contains(calls, "promote c under 12"), qt.IsFalse)
	qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("a"))
	qt.Assert(t, s.known, qt.Equals, cataloger.Leadership{Term: 2, Server: "a", TermStarts: "2@1/9", LastToken: s.known.Revision.Number - 1, Revision: s.known.Revision})
	qt.Assert(t, w.pausedUntil.IsZero(), qt.IsFalse)
}

// Guards against a wait for the successor that outlives the instance.
func TestHandOverEndsWithItsContext(t *testing.T) {
	s := newFakeService()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	started := time.Now()
	qt.Assert(t, s.replacer().awaitPosition(ctx, s.catalog.Servers["rentals"][1], identifier.Position{Term: 9}), qt.IsFalse)
	qt.Assert(t, time.Since(started) < catchUpTimeout/2, qt.IsTrue)
}

// Guards against a second server that is promoted although the promotion of a
// first one may still be executed, also by an instance that takes over.
func TestUnansweredPromotionIsResumed(t *testing.T) {
	s := newFakeService()
	s.down["a"] = true
	answers := s.promote
	s.promote = func(identifier.BackendServerID) error { return ErrPromotionUnknown }
	w := &serviceWatch{silentSince: silentLongEnough()}
	r := s.replacer()
	s.check(r, w)
	qt.Assert(t, s.stored.IsReplacing(), qt.IsTrue)
	qt.Assert(t, s.stored.Successor, qt.Equals, identifier.BackendServerID("c"))
	s.received["b"] = 20 // Now more advanced than c.
	s.promote = answers
	qt.Assert(t, s.check(r, w), qt.DeepEquals,
		[]string{"announce 13 c", "two confirms 13", "announce 14 c", "promote c under 14", "grant c in term 2"})
}

// Guards against a promotion by a holder that slept until another instance could
// have taken over.
func TestPromotionIsNotRequestedLate(t *testing.T) {
	s := newFakeService()
	r := s.replacer()
	p := &replacement{service: "rentals", written: r.Clock() - promotionWindow - time.Millisecond}
	qt.Assert(t, r.promote(context.Background(), p, "c"), qt.ErrorIs, errWindowPassed)
	qt.Assert(t, s.calls, qt.HasLen, 0)
	s.known.Revision = cataloger.Revision{Number: 77} // Another instance has changed the record.
	p.written = r.Clock()
	qt.Assert(t, r.promote(context.Background(), p, "c"), qt.ErrorIs, errWindowPassed)
	qt.Assert(t, s.calls, qt.HasLen, 0)
}

// Guards against a replacement that is announced before any server has
// registered, which ends the use of the primary at the start of a fleet.
func TestServiceWithoutServersIsNotReplaced(t *testing.T) {
	s := newFakeService()
	s.catalog.Servers = nil
	qt.Assert(t, s.check(s.replacer(), &serviceWatch{silentSince: silentLongEnough()}), qt.HasLen, 0)
}

// Guards against calls of every instance to the store when a primary drains: they
// begin in the order of their ranks, and the first one's announcement stops the
// others.
func TestPlannedReplacementsFollowTheRanks(t *testing.T) {
	s := newFakeService()
	s.catalog.Servers["rentals"][0].Draining = true
	s.lastLed = time.Now()
	r := s.replacer()
	r.Self = "two"
	w := &serviceWatch{}
	qt.Assert(t, s.check(r, w), qt.HasLen, 0)
	w.leavingSince = w.leavingSince.Add(-delayPerRank)
	qt.Assert(t, len(s.check(r, w)) > 0, qt.IsTrue)
}

// Guards against the use of the old primary after a promotion by an instance whose
// registration was removed by mistake just before the announcement: it is not among
// those that must confirm, but its permit is valid for a while longer.
func TestInstanceThatWasRemovedJustNowIsWaitedFor(t *testing.T) {
	s := newFakeService()
	r := s.replacer()
	r.observeInstances()
	next := *s.catalog
	next.Instances = map[identifier.InstanceID]cataloger.Instance{"one": {}}
	s.catalog = &next
	s.silent["two"] = true
	replacementTime := func() time.Duration {
		s.fail("a")
		started := time.Now()
		calls := s.check(r, &serviceWatch{silentSince: silentLongEnough()})
		qt.Assert(t, len(calls) > 0, qt.IsTrue)
		qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("c"))
		return time.Since(started)
	}
	qt.Assert(t, replacementTime() >= testValidity, qt.IsTrue)
	qt.Assert(t, replacementTime() < testValidity, qt.IsTrue) // Its permit has ended.

	r = s.startedReplacer() // It does not know of the removal.
	qt.Assert(t, replacementTime() >= testValidity, qt.IsTrue)
	qt.Assert(t, replacementTime() < testValidity, qt.IsTrue)
}

// Guards against a promotion while the record cannot be read, and the use of an old primary after the record was removed.
func TestServiceWithAnUnreadableRecordIsReplacedOnlyOnceItIsRemoved(t *testing.T) {
	s := newFakeService()
	s.down["a"] = true
	s.known = cataloger.Leadership{Server: "a", Term: 1, Holder: cataloger.UnreadableLeadership(cataloger.Revision{Number: 5}).Holder, Revision: cataloger.Revision{Number: 5}}
	s.catalog.Leaderships = map[identifier.ServiceName]cataloger.Leadership{"rentals": cataloger.UnreadableLeadership(cataloger.Revision{Number: 5})}
	s.catalog.Revision = cataloger.Revision{Number: 5}
	r, w := s.replacer(), &serviceWatch{silentSince: silentLongEnough(), announcement: cataloger.Revision{Number: 5}, announcedSince: time.Now().Add(-TakeoverTimeout)}
	qt.Assert(t, s.check(r, w), qt.HasLen, 0)
	s.known = cataloger.Leadership{Server: "a", Term: 1, Revision: cataloger.Revision{Number: 4}} // The catalog is newer.
	qt.Assert(t, s.check(r, w), qt.HasLen, 0)
	s.known = cataloger.Leadership{Server: "a", Term: 1, Holder: cataloger.UnreadableLeadership(cataloger.Revision{Number: 5}).Holder, Revision: cataloger.Revision{Number: 5}}
	s.catalog.Leaderships, s.catalog.Revision = nil, cataloger.Revision{Number: 4}
	qt.Assert(t, s.check(r, w), qt.HasLen, 0) // The catalog is older.
	s.catalog.Revision = cataloger.Revision{Number: 6}
	calls := s.check(r, w)
	qt.Assert(t, calls[0], qt.Equals, "announce 11 ")
	qt.Assert(t, calls[len(calls)-1], qt.Equals, "grant c in term 2")
}

// Guards against permits for the old primary while a promotion that an earlier holder requested may be executed.
func TestTakeoverThatIsStoppedKeepsTheReplacement(t *testing.T) {
	s := newFakeService()
	s.silent["two"] = true
	s.stored = cataloger.Leadership{Term: 1, Server: "a", Holder: "two", Successor: "b", Revision: cataloger.Revision{Number: 5}}
	s.known = s.stored
	w := &serviceWatch{announcement: cataloger.Revision{Number: 5}, announcedSince: time.Now().Add(-TakeoverTimeout - maxRankDelay)}
	r := s.replacer()
	ctx, cancel := context.WithCancel(context.Background())
	r.Revoke = func(context.Context, identifier.InstanceID, identifier.ServiceName, cataloger.Leadership) bool {
		cancel() // The process is stopped while it waits for the others.
		return false
	}
	var announced []cataloger.Leadership
	r.Announce = func(_ identifier.ServiceName, l cataloger.Leadership) { announced = append(announced, l) }
	r.checkService(ctx, "rentals", w)
	s.mu.Lock() // The step-down may still be recorded.
	defer s.mu.Unlock()
	qt.Assert(t, s.calls[0], qt.Equals, "announce 11 b")
	qt.Assert(t, s.known.IsReplacing(), qt.IsTrue)
	qt.Assert(t, s.stored.Successor, qt.Equals, identifier.BackendServerID("b"))
	for _, l := range announced { // It is chosen again if the step-down was confirmed first.
		qt.Assert(t, l.State(), qt.Equals, cataloger.SuccessorChosen)
	}
}
