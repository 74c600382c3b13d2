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

// stage is a service of three servers whose calls are recorded.
type stage struct {
	mu       sync.Mutex
	catalog  *cataloger.Catalog
	leader   identifier.BackendServerID // "" if none leads.
	down     map[identifier.BackendServerID]bool
	received map[identifier.BackendServerID]uint64
	lease    Lease
	revision uint64
	sight    Sight
	calls    []string
	promote  func(id identifier.BackendServerID) error
	lastLed  time.Time
}

func newStage() *stage {
	s := &stage{
		leader: "a", down: map[identifier.BackendServerID]bool{}, revision: 10,
		received: map[identifier.BackendServerID]uint64{"a": 9, "b": 7, "c": 8},
		sight:    Sight{Asked: 2, Answered: 2},
	}
	s.catalog = &cataloger.Catalog{
		Configuration: &cataloger.Configuration{},
		Servers: map[identifier.ServiceName][]cataloger.BackendServer{
			"rentals": {{ID: "a", Service: "rentals", SaysPrimary: true}, {ID: "b", Service: "rentals"}, {ID: "c", Service: "rentals"}},
		},
		Members: map[identifier.InstanceID]cataloger.Member{"one": {}},
	}
	s.promote = func(id identifier.BackendServerID) error {
		s.leader = id
		return nil
	}
	return s
}

func (s *stage) call(format string, args ...any) {
	s.calls = append(s.calls, fmt.Sprintf(format, args...))
}

func (s *stage) member(id identifier.BackendServerID) requester.Member {
	return requester.Member{Leads: s.leader == id, Received: identifier.Position{Term: 1, Offset: identifier.LogOffset(s.received[id])}}
}

func (s *stage) replacer() *Replacer {
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
		Status: func(b cataloger.BackendServer) (m requester.Member, err error) {
			err = locked(func() error {
				if s.down[b.ID] {
					return errDown
				}
				m = s.member(b.ID)
				return nil
			})
			return m, err
		},
		StepDown: func(b cataloger.BackendServer, term identifier.Term) (m requester.Member, err error) {
			err = locked(func() error {
				s.call("step down %s below %d", b.ID, term)
				s.leader = ""
				m = s.member(b.ID)
				s.received["c"] = s.received[b.ID] // The replica receives the rest.
				return nil
			})
			return m, err
		},
		Sight: func(context.Context, identifier.ServiceName, time.Time) Sight { return s.sight },
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
			s.call("lease %d", l.Revision)
			return l, nil
		},
		Promote: func(_ context.Context, _ identifier.ServiceName, id identifier.BackendServerID, l Lease) error {
			return locked(func() error {
				s.call("promote %s under %d", id, l.Revision)
				return s.promote(id)
			})
		},
	}
}

func (s *stage) check(r *Replacer, w *watch) []string {
	s.calls = nil
	r.check(context.Background(), "rentals", w)
	return s.calls
}

// overdue is a time at which the primary was last seen, long enough ago to act.
func overdue() time.Time {
	return time.Now().Add(-suspicion - maxDelay)
}

// Guards against a primary that is gone and stays unreplaced, and against the
// promotion of a replica that is behind another.
func TestDeadPrimaryIsReplacedByTheMostAdvanced(t *testing.T) {
	s := newStage()
	s.down["a"] = true
	w := &watch{failing: overdue()}
	qt.Assert(t, s.check(s.replacer(), w), qt.DeepEquals, []string{"lease 11", "promote c under 11"})
	qt.Assert(t, w.failing.IsZero(), qt.IsTrue)
}

// Guards against a replacement by an instance that alone has lost sight of the
// primary, or that is cut off from the others.
func TestReplacementIsWithheld(t *testing.T) {
	for name, sight := range map[string]Sight{
		"seen by a peer": {Asked: 2, Answered: 2, Led: true},
		"cut off":        {Asked: 4, Answered: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStage()
			s.down["a"] = true
			s.sight = sight
			qt.Assert(t, s.check(s.replacer(), &watch{failing: overdue()}), qt.HasLen, 0)
		})
	}
}

// Guards against a replacement within the time that a lost packet takes.
func TestShortSilenceIsNoReason(t *testing.T) {
	s := newStage()
	s.down["a"] = true
	s.lastLed = time.Now().Add(-freshLead)
	qt.Assert(t, s.check(s.replacer(), &watch{}), qt.HasLen, 0)
}

// Guards against a primary that came back being replaced all the same.
func TestPrimaryThatIsBackIsKept(t *testing.T) {
	s := newStage()
	qt.Assert(t, s.check(s.replacer(), &watch{failing: overdue()}), qt.HasLen, 0)
}

// Guards against the loss of acknowledged commits when a primary leaves: it
// steps down first, and the successor has received its whole log. The path to
// the promotion is tried before nobody leads.
func TestLeavingPrimaryStepsDownFirst(t *testing.T) {
	s := newStage()
	s.catalog.Servers["rentals"][0].Draining = true
	s.lastLed = time.Now()
	qt.Assert(t, s.check(s.replacer(), &watch{}), qt.DeepEquals,
		[]string{"lease 11", "promote a under 11", "step down a below 2", "promote c under 11"})
	qt.Assert(t, s.received["c"], qt.Equals, uint64(9))
}

// Guards against a primary that steps down while promotions are not answered,
// which would leave the service without one.
func TestLeavingPrimaryStaysWhilePromotionsFail(t *testing.T) {
	s := newStage()
	s.catalog.Servers["rentals"][0].Draining = true
	s.lastLed = time.Now()
	s.promote = func(identifier.BackendServerID) error { return ErrRefused }
	qt.Assert(t, s.check(s.replacer(), &watch{}), qt.DeepEquals, []string{"lease 11", "promote a under 11"})
	qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("a"))
}

// Guards against two instances that promote for the same failover, and against
// one token for two decisions.
func TestLeaseOfAnotherHolderIsRespected(t *testing.T) {
	s := newStage()
	s.down["a"] = true
	s.lease = Lease{Holder: "two", Term: 1, Revision: 5}
	w := &watch{failing: overdue()}
	r := s.replacer()
	qt.Assert(t, s.check(r, w), qt.HasLen, 0)
	w.leaseAt = time.Now().Add(-takeover)
	qt.Assert(t, s.check(r, w), qt.DeepEquals, []string{"lease 11", "promote c under 11"})
}

// Guards against the loss of acknowledged commits of a service that waits for a
// replica: the only one that received the newest of them does not answer.
func TestPromotionWaitsForTheReplicaThatMayBeAhead(t *testing.T) {
	s := newStage()
	s.catalog.Configuration.Services = map[identifier.ServiceName]cataloger.Service{"rentals": {SyncReplicas: 1}}
	s.down["a"], s.down["c"] = true, true
	w := &watch{failing: overdue()}
	r := s.replacer()
	r.LastLed = func(identifier.ServiceName) (identifier.BackendServerID, identifier.Term, time.Time) {
		return "", 1, s.lastLed // Forgotten once the primary was not reached.
	}
	qt.Assert(t, s.check(r, w), qt.DeepEquals, []string{"lease 11"})
	qt.Assert(t, w.pausedTo.IsZero(), qt.IsFalse)
	s.down["c"] = false
	qt.Assert(t, s.check(r, w), qt.DeepEquals, []string{"lease 12", "promote c under 12"})
}

// Guards against a service without a primary on the side of a split that
// reaches the store, for as long as the split lasts (scale-2 of atlas-pulley: 9
// of 12 instances and the primary were cut off from the store and the others).
func TestLapsedPrimaryIsReplacedWithoutAMajority(t *testing.T) {
	s := newStage()
	s.down["a"] = true
	s.sight = Sight{Asked: 11, Answered: 2}
	w := &watch{failing: overdue()}
	qt.Assert(t, s.check(s.replacer(), w), qt.HasLen, 0)
	s.catalog.Servers["rentals"] = s.catalog.Servers["rentals"][1:]
	w = &watch{failing: overdue()}
	qt.Assert(t, s.check(s.replacer(), w), qt.DeepEquals, []string{"lease 11", "promote c under 11"})
	s.leader, s.sight.Led = "", true
	w = &watch{failing: overdue()}
	qt.Assert(t, s.check(s.replacer(), w), qt.HasLen, 0)
}
