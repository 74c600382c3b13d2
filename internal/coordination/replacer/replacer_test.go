package replacer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

var errDown = errors.New("no answer")

// fakeService simulates a service of three servers and records the calls to the
// lease and to the servers.
type fakeService struct {
	mu       sync.Mutex
	catalog  *cataloger.Catalog
	leader   identifier.BackendServerID // "" if none leads.
	down     map[identifier.BackendServerID]bool
	received map[identifier.BackendServerID]uint64
	lease    Lease
	revision uint64
	sight    PeerSightings
	calls    []string
	promote  func(id identifier.BackendServerID) error
	lastLed  time.Time
}

func newFakeService() *fakeService {
	s := &fakeService{
		leader: "a", down: map[identifier.BackendServerID]bool{}, revision: 10,
		received: map[identifier.BackendServerID]uint64{"a": 9, "b": 7, "c": 8},
		sight:    PeerSightings{Asked: 2, Answered: 2},
	}
	s.catalog = &cataloger.Catalog{
		Configuration: &cataloger.Configuration{},
		Servers: map[identifier.ServiceName][]cataloger.BackendServer{
			"rentals": {{ID: "a", Service: "rentals", ClaimsPrimary: true}, {ID: "b", Service: "rentals"}, {ID: "c", Service: "rentals"}},
		},
		Instances: map[identifier.InstanceID]cataloger.Instance{"one": {}},
	}
	s.promote = func(id identifier.BackendServerID) error {
		s.leader = id
		return nil
	}
	return s
}

func (s *fakeService) record(format string, args ...any) {
	s.calls = append(s.calls, fmt.Sprintf(format, args...))
}

func (s *fakeService) member(id identifier.BackendServerID) requester.ServerStatus {
	return requester.ServerStatus{Leads: s.leader == id, Received: identifier.Position{Term: 1, Offset: identifier.LogOffset(s.received[id])}}
}

func (s *fakeService) replacer() *Replacer {
	locked := func(f func() error) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return f()
	}
	return &Replacer{
		Self:    "one",
		Catalog: func() *cataloger.Catalog { return s.catalog },
		LastLed: func(identifier.ServiceName) (identifier.BackendServerID, identifier.Term, time.Time) {
			return "a", 1, s.lastLed
		},
		Confirm: func(b cataloger.BackendServer) error {
			return locked(func() error {
				if s.leader != b.ID || s.down[b.ID] {
					return errDown
				}
				return nil
			})
		},
		Status: func(b cataloger.BackendServer) (m requester.ServerStatus, err error) {
			err = locked(func() error {
				if s.down[b.ID] {
					return errDown
				}
				m = s.member(b.ID)
				return nil
			})
			return m, err
		},
		StepDown: func(b cataloger.BackendServer, term identifier.Term) (m requester.ServerStatus, err error) {
			err = locked(func() error {
				s.record("step down %s below %d", b.ID, term)
				s.leader = ""
				m = s.member(b.ID)
				s.received["c"] = s.received[b.ID] // The replica receives the rest.
				return nil
			})
			return m, err
		},
		QueryPeers: func(context.Context, identifier.ServiceName, time.Time) PeerSightings { return s.sight },
		ReadLease: func(context.Context, identifier.ServiceName) (Lease, error) {
			if s.lease.Revision == 0 {
				return Lease{}, ErrNoLease
			}
			return s.lease, nil
		},
		WriteLease: func(_ context.Context, _ identifier.ServiceName, l Lease) (Lease, error) {
			if l.Revision != s.lease.Revision {
				return Lease{}, ErrLeaseTaken
			}
			s.revision++
			l.Revision = s.revision
			s.lease = l
			s.record("lease %d", l.Revision)
			return l, nil
		},
		Promote: func(_ context.Context, _ identifier.ServiceName, id identifier.BackendServerID, l Lease) error {
			return locked(func() error {
				s.record("promote %s under %d", id, l.Revision)
				return s.promote(id)
			})
		},
	}
}

func (s *fakeService) check(r *Replacer, w *serviceWatch) []string {
	s.calls = nil
	r.checkService(context.Background(), "rentals", w)
	return s.calls
}

// silentLongEnough returns a time of last contact to the primary after which a
// replacement is due.
func silentLongEnough() time.Time {
	return time.Now().Add(-suspicionTimeout - maxRankDelay)
}

// Guards against a failed primary that is not replaced, and against the
// promotion of a replica that is behind another.
func TestDeadPrimaryIsReplacedByTheMostAdvanced(t *testing.T) {
	s := newFakeService()
	s.down["a"] = true
	w := &serviceWatch{silentSince: silentLongEnough()}
	qt.Assert(t, s.check(s.replacer(), w), qt.DeepEquals, []string{"lease 11", "promote c under 11"})
	qt.Assert(t, w.silentSince.IsZero(), qt.IsTrue)
}

// Guards against a replacement by the only instance that cannot reach the
// primary, or by one that is partitioned from the others.
func TestReplacementIsWithheld(t *testing.T) {
	for name, sight := range map[string]PeerSightings{
		"seen by a peer":      {Asked: 2, Answered: 2, Led: true},
		"no majority answers": {Asked: 4, Answered: 1},
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
		[]string{"lease 11", "promote a under 11", "step down a below 2", "promote c under 11"})
	qt.Assert(t, s.received["c"], qt.Equals, uint64(9))
}

// Guards against a primary that steps down while promotions fail, which would
// leave the service without a primary.
func TestDrainingPrimaryStaysWhilePromotionsFail(t *testing.T) {
	s := newFakeService()
	s.catalog.Servers["rentals"][0].Draining = true
	s.lastLed = time.Now()
	s.promote = func(identifier.BackendServerID) error { return ErrPromotionRefused }
	qt.Assert(t, s.check(s.replacer(), &serviceWatch{}), qt.DeepEquals, []string{"lease 11", "promote a under 11"})
	qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("a"))
}

// Guards against two instances that promote in the same failover, and against
// the use of one token for two choices of a successor.
func TestLeaseOfAnotherHolderIsRespected(t *testing.T) {
	s := newFakeService()
	s.down["a"] = true
	s.lease = Lease{Holder: "two", Term: 1, Revision: 5}
	w := &serviceWatch{silentSince: silentLongEnough()}
	r := s.replacer()
	qt.Assert(t, s.check(r, w), qt.HasLen, 0)
	w.leaseSeenAt = time.Now().Add(-leaseTakeoverTimeout)
	qt.Assert(t, s.check(r, w), qt.DeepEquals, []string{"lease 11", "promote c under 11"})
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
	qt.Assert(t, s.check(r, w), qt.DeepEquals, []string{"lease 11"})
	qt.Assert(t, w.pausedUntil.IsZero(), qt.IsFalse)
	s.down["c"] = false
	qt.Assert(t, s.check(r, w), qt.DeepEquals, []string{"lease 12", "promote c under 12"})
}

// Guards against a service that has no primary during a network partition, on
// the side that reaches the store. This happened when 9 of 12 instances and the
// primary were partitioned from the store and from the other instances (scale-2
// of atlas-pulley).
func TestLapsedPrimaryIsReplacedWithoutAMajority(t *testing.T) {
	s := newFakeService()
	s.down["a"] = true
	s.sight = PeerSightings{Asked: 11, Answered: 2}
	w := &serviceWatch{silentSince: silentLongEnough()}
	qt.Assert(t, s.check(s.replacer(), w), qt.HasLen, 0)
	s.catalog.Servers["rentals"] = s.catalog.Servers["rentals"][1:]
	w = &serviceWatch{silentSince: silentLongEnough()}
	qt.Assert(t, s.check(s.replacer(), w), qt.DeepEquals, []string{"lease 11", "promote c under 11"})
	s.leader, s.sight.Led = "", true
	w = &serviceWatch{silentSince: silentLongEnough()}
	qt.Assert(t, s.check(s.replacer(), w), qt.HasLen, 0)
}
