package acceptor

import (
	"sync"
	"time"

	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/identifier"
)

// samplePollInterval is how often a new sample is looked for.
const samplePollInterval = 5 * time.Millisecond

// readRequirements returns what a read of the session requires of a server. The
// maximum age applies only to a session that has not written and was not given
// a position by the client.
func (s *session) readRequirements(b *batch, deadline time.Time) ReadRequirements {
	r := ReadRequirements{Floor: s.floor, PositionKnown: s.floorKnown, Deadline: deadline}
	if !s.floorKnown && s.writeTerm == 0 {
		r.SessionStart = s.sampleAfter
	}
	if b.settings.maxAge > 0 && !s.hasWritten && !s.positionGiven {
		r.Floor, r.PositionKnown, r.MaxAge = identifier.Position{}, false, b.settings.maxAge
	}
	return r
}

// resolveFloor sets the session's floor if a recent enough sample is available.
func (s *session) resolveFloor() error {
	if s.floorKnown {
		return nil
	}
	s.mu.Lock()
	p, ok := s.sampledPosition, !s.sampledPosition.IsZero()
	s.sampledPosition = identifier.Position{}
	s.mu.Unlock()
	if !ok && s.acceptor.SampledPosition != nil {
		p, ok = s.acceptor.SampledPosition(s.service, s.sampleAfter)
	}
	if !ok {
		return nil
	}
	if s.writeTerm != 0 && p.Term > s.writeTerm {
		return refuser.New(refuser.PositionLost, "the primary changed before the write's position was known")
	}
	if err := s.checkTerm(p.Term); err != nil {
		return err
	}
	if isLater(p, s.floor) {
		s.floor = p
	}
	s.floorKnown, s.writeTerm = true, 0
	return nil
}

// checkTerm returns a refusal if the session's position belongs to an older
// term and may lie in the part of the log that was lost in the change of
// primary. Every later batch is refused too, until the client resets its
// position.
func (s *session) checkTerm(term identifier.Term) error {
	if !s.floorKnown && s.writeTerm != 0 && term > s.writeTerm {
		return refuser.New(refuser.PositionLost, "the primary changed before the write's position was known")
	}
	if s.floor.Term == 0 || term <= s.floor.Term {
		return nil
	}
	// Only routing knows which positions survived a change of primary, so it
	// decides. Its other errors do not matter here.
	_, err := s.acceptor.RouteRead(s.service, ReadRequirements{Floor: s.floor, PositionKnown: true, Deadline: time.Now()})
	if err != nil {
		if r := refuser.From(err); r.Case == refuser.PositionLost {
			return r
		}
	}
	return nil
}

// recordWrite marks the floor as unknown until there is a sample whose query
// was sent after this call.
func (s *session) recordWrite(term identifier.Term) {
	s.hasWritten, s.floorKnown, s.writeTerm = true, false, term
	s.sampleAfter = s.acceptor.now()
	if s.acceptor.RequestSample != nil {
		s.acceptor.RequestSample(s.service)
	}
	if s.acceptor.SampledPosition != nil {
		s.acceptor.sampleWaiters.add(s, s.sampleAfter)
	}
}

// sampleWaiters delivers samples to sessions that have written. Without it, a
// session that stays idle across a change of primary would find no sample from
// the term of its write.
type sampleWaiters struct {
	mu      sync.Mutex
	waiting map[*session]time.Time // The time after which the sample must have been requested.
}

// add makes the session wait for a sample that was requested after the given time.
// It discards one that was delivered for an earlier write. w.mu keeps a delivery
// from taking place in between, which would store a sample without the later write.
func (w *sampleWaiters) add(s *session, after time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.mu.Lock()
	s.sampledPosition = identifier.Position{}
	s.mu.Unlock()
	if w.waiting == nil {
		w.waiting = map[*session]time.Time{}
	}
	w.waiting[s] = after
}

func (w *sampleWaiters) remove(s *session) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, s)
}

// deliverSamples stores the samples that have become available in the sessions
// waiting for them.
func (w *sampleWaiters) deliverSamples(floor func(identifier.ServiceName, time.Time) (identifier.Position, bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s, after := range w.waiting {
		if p, ok := floor(s.service, after); ok {
			s.mu.Lock()
			s.sampledPosition = p
			s.mu.Unlock()
			delete(w.waiting, s)
		}
	}
}

// pollSamples delivers samples until the acceptor closes.
func (a *Acceptor) pollSamples() {
	defer a.goroutines.Done()
	tick := time.NewTicker(samplePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-a.done:
			return
		case <-tick.C:
			a.sampleWaiters.deliverSamples(a.SampledPosition)
		}
	}
}
