package sessioner

import (
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
)

// floorPause separates two tries to get a position sample.
const floorPause = 60 * time.Millisecond

// floor is what a read must find.
type floor struct {
	position identifier.Position
	age      time.Duration // Since the primary showed the position.
}

// floor returns the position that the log must hold for a read on a replica.
// Without a young enough sample it asks the primary, then the peers, until the
// search of the operation ends.
func (n *session) floor(o operation) (floor, bool) {
	s := n.server
	k := s.Sampler(o.route.Service)
	since := o.arrived.Add(-o.route.MaxStaleness)
	defer o.trace.waitPosition(time.Now())
	for {
		if general, ok := k.Floor(since); ok {
			n.refreshEarly(o)
			f := n.withOwnWrites(o, general)
			o.trace.floor = f
			return f, true
		}
		s.refresh(o)
		if _, ok := k.Floor(since); ok {
			continue
		}
		if s.AskPeers != nil && s.AskPeers(o.route.Service, since) {
			continue
		}
		if !sleepUntil(s.Placer.LeaderChanged(o.route.Service), floorPause, o.search) {
			return floor{}, false
		}
	}
}

// refreshEarly gets a new sample in the background when the newest one is past
// half of the accepted staleness, so that reads rarely wait for one.
func (n *session) refreshEarly(o operation) {
	latest, ok := n.server.Sampler(o.route.Service).Latest()
	if ok && o.arrived.Sub(latest.Asked) > o.route.MaxStaleness/2 {
		go n.server.refresh(o)
	}
}

// withOwnWrites raises the floor to the session's newest commit. A commit of
// an older term than the general floor is covered by it, or was discarded by
// the promotion.
func (n *session) withOwnWrites(o operation, general sampler.Sample) floor {
	f := floor{general.Position, o.arrived.Sub(general.Asked)}
	if o.route.Consistency != cataloger.ReadOwnWrites || n.written.Term < f.position.Term {
		return f
	}
	if n.written.Term > f.position.Term || n.written.Offset > f.position.Offset {
		return floor{n.written, o.arrived.Sub(n.writtenAt)}
	}
	return f
}

// forgetDiscarded lets the session's newest commit go if a newer term has been
// seen: its primary lacks the commit, so the promotion has discarded it.
func (n *session) forgetDiscarded(service identifier.ServiceName) {
	latest, ok := n.server.Sampler(service).Latest()
	if ok && latest.Position.Term > n.written.Term {
		n.written = identifier.Position{}
	}
}
