package confirmer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// RightDuration is the duration of a write right, counted from before its oldest
// status query was sent. It adds to the failover gap of an unreachable primary,
// and must exceed the sampling interval by enough to tolerate a few late answers.
const RightDuration = 1500 * time.Millisecond

// MaxClockDrift bounds how much faster the clock of one instance runs than that
// of another.
const MaxClockDrift = 1.01

// RightExpiryWait is how long a promoter waits so that every write right for an
// older term has expired, with [MaxClockDrift] included.
const RightExpiryWait = RightDuration * 101 / 100

// Confirmer holds the write rights of an instance. The zero value holds none and
// is ready to use.
type Confirmer struct {
	// Now is a monotonic clock; nil means time.Now.
	Now func() time.Time
	// LastWake returns a time after the end of the last suspension of the host, as
	// [tracker.WakeDetector.LastWake] does. Nil means that there was none.
	LastWake func() time.Time

	services sync.Map // identifier.ServiceName to *serviceState.
}

// writeRight is immutable, so that Valid can read it without a lock.
type writeRight struct {
	term     identifier.Term
	provenAt time.Time // When the oldest query was sent that proves it.
	deadline time.Time
}

// serviceState holds the latest answer of each member of a service's group and the
// write right that follows from them.
type serviceState struct {
	right atomic.Pointer[writeRight]

	mu         sync.Mutex
	members    []identifier.BackendServerID
	answers    map[identifier.BackendServerID]statusAnswer
	newestTerm identifier.Term // Highest term seen in the log of any member.
}

type statusAnswer struct {
	role           tracker.Role
	term, promised identifier.Term
	sent           time.Time
}

// Valid reports whether the instance currently holds a write right for the
// service and term. Callers check it before they send a write and again before
// they acknowledge it.
func (c *Confirmer) Valid(service identifier.ServiceName, term identifier.Term) bool {
	v, ok := c.services.Load(service)
	if !ok {
		return false
	}
	r := v.(*serviceState).right.Load()
	return r != nil && r.term == term && c.now().Before(r.deadline) && c.isAwakeSince(r.provenAt)
}

// isAwakeSince reports whether the host was not suspended since the time. The clock
// of the deadlines stops meanwhile.
func (c *Confirmer) isAwakeSince(at time.Time) bool {
	return c.LastWake == nil || at.After(c.LastWake())
}

// SetMembers sets the members of the service's group, of which a majority has to
// answer. Without members no write right is granted.
func (c *Confirmer) SetMembers(service identifier.ServiceName, members []identifier.BackendServerID) {
	s := c.serviceState(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.Clone(members)
	s.updateRight()
}

// Observe records a member's answer to a status query that was sent at the given
// time. It ignores answers to queries older than the latest one answered.
func (c *Confirmer) Observe(service identifier.ServiceName, st tracker.MemberStatus, sent time.Time) {
	s := c.serviceState(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.answers[st.Server]
	if sent.Before(previous.sent) {
		return
	}
	if s.answers == nil {
		s.answers = map[identifier.BackendServerID]statusAnswer{}
	}
	// A promise never decreases. A member that reports a lower one has lost
	// data and must not count towards a term that its promise already excludes.
	s.answers[st.Server] = statusAnswer{role: st.Role, term: st.Term, promised: max(st.Promised, previous.promised), sent: sent}
	s.newestTerm = max(s.newestTerm, st.Term)
	s.updateRight()
}

// updateRight grants the write right that the answers prove, or revokes it.
func (s *serviceState) updateRight() {
	var primary statusAnswer
	sentTimes := make([]time.Time, 0, len(s.members))
	for _, id := range s.members {
		a := s.answers[id]
		if a.role == tracker.Primary && a.term == s.newestTerm && a.promised <= a.term {
			primary = a
		}
		if !a.sent.IsZero() && a.promised <= s.newestTerm {
			sentTimes = append(sentTimes, a.sent)
		}
	}
	majority := len(s.members)/2 + 1
	if primary.sent.IsZero() || len(sentTimes) < majority {
		s.right.Store(nil)
		return
	}
	slices.SortFunc(sentTimes, func(a, b time.Time) int { return b.Compare(a) })
	oldest := sentTimes[majority-1]
	if primary.sent.Before(oldest) {
		oldest = primary.sent
	}
	s.right.Store(&writeRight{term: s.newestTerm, provenAt: oldest, deadline: oldest.Add(RightDuration)})
}

func (c *Confirmer) serviceState(service identifier.ServiceName) *serviceState {
	if v, ok := c.services.Load(service); ok {
		return v.(*serviceState)
	}
	v, _ := c.services.LoadOrStore(service, &serviceState{})
	return v.(*serviceState)
}

func (c *Confirmer) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}
