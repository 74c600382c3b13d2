package router

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// Read describes the data that a read must include.
type Read struct {
	Floor      identifier.Position
	FloorKnown bool
	// Since is when the session started or its last write was answered. It is
	// used while the floor is unknown: the floor becomes the position of the
	// primary in a sample whose query was sent later. Zero allows a read at the
	// primary without such a sample.
	Since time.Time
	// WriteTerm is the term in which the session's last write was answered,
	// while its floor is unknown; 0 if it has not written.
	WriteTerm identifier.Term
	// MaxAge is the maximum age of the data at a replica for a read whose floor
	// is unknown. 0 accepts no replica by age.
	MaxAge time.Duration
	// Deadline ends every wait. Zero selects [Router.WriteWait] after the call.
	Deadline time.Time
}

// RouteRead returns a replica that covers the floor or whose data are within the
// accepted age, or else the primary. It waits for a replica if the wait is
// expected to cost less than the primary, and for the first sample after the
// start of a session. It returns [ErrEvacuated] at once if no backend server may
// be used.
func (r *Router) RouteRead(service identifier.ServiceName, rd Read) (Choice, error) {
	r.keepSampled(service)
	start := r.now()
	if rd.Deadline.IsZero() {
		rd.Deadline = start.Add(r.writeWait())
	}
	g := r.Group(service)
	for {
		if err := r.checkEvacuation(service); err != nil {
			return Choice{}, err
		}
		changed := g.Changed()
		waitFutile := r.isWaitFutile(service, g, start)
		c, wait, err := r.tryRead(service, g, rd, r.now().Sub(start))
		if err == nil && wait == 0 {
			c.Waited = r.now().Sub(start)
			return c, nil
		}
		if errors.Is(err, ErrPositionLost) {
			return Choice{}, err
		}
		remaining := rd.Deadline.Sub(r.now())
		if err != nil && (remaining <= 0 || waitFutile) {
			return Choice{}, err
		}
		if err != nil || wait > remaining {
			wait = remaining
		}
		if err != nil || wait < sampleLead {
			r.requestSample(service)
		}
		waitForChange(changed, max(wait, time.Millisecond))
	}
}

// sampleLead is how long before the predicted time of coverage a sample is
// requested: about one round trip to a member.
const sampleLead = 4 * time.Millisecond

// Floor derives the floor of a session from the samples received so far, and
// reports whether they are sufficient. It returns [ErrPositionLost] if the term
// of the session's last write has ended and no sample shows that the later term
// includes the write.
func (r *Router) Floor(service identifier.ServiceName, since time.Time, writeTerm identifier.Term) (identifier.Position, bool, error) {
	g := r.Group(service)
	if writeTerm > 0 {
		if p, ok := g.FloorOfTerm(writeTerm, since); ok {
			return p, true, nil
		}
		if _, newest, _ := g.Primary(); newest > writeTerm {
			return identifier.Position{}, false, errors.Wrapf(ErrPositionLost, "write in term %d, now %d", writeTerm, newest)
		}
		return identifier.Position{}, false, nil
	}
	p, ok := g.Floor(since)
	if !ok || !r.HasWriteRight(service, p.Term) {
		return identifier.Position{}, false, nil
	}
	return p, true, nil
}

// tryRead returns a choice, and the time to wait before the next attempt if it
// cannot be used yet. If the primary is usable, a read that has already waited
// for the primary's cost waits no longer, so that a stalled replica does not
// block it.
func (r *Router) tryRead(service identifier.ServiceName, g *tracker.Group, rd Read, waited time.Duration) (Choice, time.Duration, error) {
	if !rd.FloorKnown && rd.MaxAge > 0 {
		if c, ok := r.replicaWithinAge(service, g, rd.MaxAge); ok {
			return c, 0, nil
		}
	}
	if !rd.FloorKnown && (rd.WriteTerm > 0 || !rd.Since.IsZero()) {
		var err error
		if rd.Floor, rd.FloorKnown, err = r.Floor(service, rd.Since, rd.WriteTerm); err != nil {
			return Choice{}, 0, err
		}
		if !rd.FloorKnown && rd.WriteTerm == 0 {
			return Choice{}, 0, r.noFloorError(service, g)
		}
	}
	primary, err := r.primaryForRead(service, g)
	if !rd.FloorKnown {
		return primary, 0, err
	}
	if g.Lost(rd.Floor) {
		return Choice{}, 0, errors.Wrapf(ErrPositionLost, "%s", rd.Floor)
	}
	if err == nil && primary.Term < rd.Floor.Term {
		err = errors.Wrapf(ErrNoPrimary, "term %d of the session's position", rd.Floor.Term)
	}
	mayWait := err != nil || waited < r.Costs.primaryCost()
	c, wait, ok := r.cheapestServer(service, g, rd, primary, err == nil, mayWait)
	c.Floor, c.FloorKnown = rd.Floor, true
	switch {
	case ok:
		return c, wait, nil
	case err != nil:
		return Choice{}, 0, errors.Wrapf(ErrNoReplica, "%s: %v", rd.Floor, err)
	}
	return c, 0, nil
}

// noFloorError returns the reason why a session that has not written has no
// floor yet.
func (r *Router) noFloorError(service identifier.ServiceName, g *tracker.Group) error {
	if _, err := r.primary(service, g); err != nil {
		return err
	}
	return errors.Wrap(ErrNoRight, "no sample since the session's start")
}
