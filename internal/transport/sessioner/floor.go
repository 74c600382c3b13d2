package sessioner

import (
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/reporter"
)

// floorPause is the pause between two attempts to get a position sample.
const floorPause = 60 * time.Millisecond

// floor is the lowest log position that a backend server must have reached to
// run a read.
type floor struct {
	position identifier.Position
	age      time.Duration // Time since the primary reported the position.
	source   floorSource
}

// floorSource tells where a floor came from, in logs and metrics.
type floorSource string

// Sources of floors.
const (
	fromSample    floorSource = "sample"     // Of the primary, reported to this instance.
	fromPeer      floorSource = "peer"       // Of the primary, fetched from a peer for this read.
	fromOwnCommit floorSource = "own_commit" // The session's newest commit.
)

// floor returns the floor for a read on a replica. If no sample is within the
// route's maximum staleness, it requests one from the primary and then from the
// peers, until the search deadline of the operation. It returns errProofTooOld at
// once if no peer has one and this instance may not use the primary.
func (n *session) floor(o operation) (floor, error) {
	s := n.server
	samples := s.Sampler(o.route.Service)
	arrived := s.Holder.Clock() - time.Since(o.arrived) // At the latest: it may have been suspended since.
	since := arrived - o.route.MaxStaleness
	source := fromSample
	defer o.trace.addPositionWait(time.Now())
	for {
		if shared, ok := samples.Floor(since); ok {
			n.refreshEarly(o, arrived)
			return n.chooseFloor(o, shared, arrived, source), nil
		}
		s.refresh(o)
		if _, ok := samples.Floor(since); ok {
			continue
		}
		s.fetchPeerSample(o.route.Service, since)
		if _, ok := samples.Floor(since); ok {
			source = fromPeer
			continue
		}
		if !s.Fencer.IsProven() {
			return floor{}, errProofTooOld
		}
		if !waitWithin(s.Balancer.LeaderChanged(o.route.Service), floorPause, o.searchDeadline) {
			return floor{}, errNoSample
		}
	}
}

// fetchPeerSample fetches a sample from the peers. While a primary is replaced they may
// have none either, so that requests of one service do not overlap and are floorPause
// apart.
func (s *Server) fetchPeerSample(service identifier.ServiceName, since time.Duration) {
	if s.FetchPeerSample == nil {
		return
	}
	<-s.peerFetches.DoChan(string(service), func() (any, error) {
		if s.peerFetchEnds.isDue(service, floorPause) {
			s.FetchPeerSample(service, since)
			s.peerFetchEnds.record(service)
		}
		return nil, nil
	})
}

// refreshEarly requests a new sample in the background when the newest one is
// older than half of the route's maximum staleness, so that reads rarely wait
// for a sample. arrived is the clock reading at which the operation arrived.
func (n *session) refreshEarly(o operation, arrived time.Duration) {
	latest, ok := n.server.Sampler(o.route.Service).Latest()
	if ok && arrived-latest.RequestedAt > o.route.MaxStaleness/2 {
		go n.server.refresh(o)
	}
}

// chooseFloor returns the floor of the shared sample with the session's own writes,
// and records it in the trace and the metrics.
func (n *session) chooseFloor(o operation, shared sampler.Sample, arrived time.Duration, source floorSource) floor {
	f := n.withOwnWrites(o, floor{shared.Position, arrived - shared.RequestedAt, source})
	o.trace.floor = f
	if n.server.Registry != nil {
		n.server.Registry.Count(reporter.Series{Name: "read_floors", Reason: string(f.source)}, 1)
	}
	return f
}

// withOwnWrites returns the floor from the shared sample, raised to the session's
// newest commit at the service on routes that read their own writes. A commit of an
// older term than the shared sample is either included in the sample's position or
// was discarded by the promotion.
func (n *session) withOwnWrites(o operation, shared floor) floor {
	own := n.commits.at(o.route.Service)
	if o.route.Consistency != cataloger.ReadOwnWrites || own.position.Term < shared.position.Term {
		return shared
	}
	if own.position.Compare(shared.position) > 0 {
		return floor{own.position, o.arrived.Sub(own.sentAt), fromOwnCommit}
	}
	return shared
}
