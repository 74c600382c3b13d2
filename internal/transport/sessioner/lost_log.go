package sessioner

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/lender"
	"oleanderpulley/internal/transport/reporter"
)

// lostLogLineInterval is the minimum time between two log lines about the lost log of a
// service's primary.
const lostLogLineInterval = time.Second

// errLogLost reports that a server leads with a shorter log than it has had in its
// term. A backend server that starts again under its id may have nothing of before.
var errLogLost = errors.New("the primary has lost a part of its log")

// leaderLogs holds how far the log of the primary of each service has reached. The
// zero value is ready to use. It is safe for concurrent use.
type leaderLogs struct {
	mu        sync.Mutex
	byService map[identifier.ServiceName]leaderLog
}

// leaderLog is the furthest position that the primary has reported, or a replica that got
// it from the primary, under one permit: a replacement may discard a part of the log.
type leaderLog struct {
	permit   fencer.Permit
	position identifier.Position
	knownAt  time.Duration // Clock reading after the answer with the position.
}

// isBefore reports whether a position is before one that the log of the primary under the
// permit had reached, as was known when the position's request was sent.
func (l *leaderLogs) isBefore(service identifier.ServiceName, p fencer.Permit, sample sampler.Sample) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.byService[service]
	return known.permit == p && sample.RequestedAt > known.knownAt && sample.Position.Compare(known.position) < 0
}

// record records a position that the log of the primary has reached.
func (l *leaderLogs) record(service identifier.ServiceName, reached leaderLog) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.byService[service]
	if known.permit == reached.permit && reached.position.Compare(known.position) <= 0 {
		return
	}
	if l.byService == nil {
		l.byService = map[identifier.ServiceName]leaderLog{}
	}
	l.byService[service] = reached
}

// ShowsLostLog reports whether a sample that a peer has taken shows that the primary of
// the service has lost its log, which the peer cannot tell if it knows no earlier position.
func (s *Server) ShowsLostLog(service identifier.ServiceName, sample sampler.Sample) bool {
	permit, _ := s.Fencer.Permit(service)
	return s.leaderLogs.isBefore(service, permit, sample)
}

// recordReached records the position that any server reported. The log of the primary has
// reached it, since replicas receive theirs from it. A position of an earlier term than the
// primary's is not recorded: it may be of a part that the promotion has discarded.
func (s *Server) recordReached(service identifier.ServiceName, position identifier.Position) {
	p, _ := s.Fencer.Permit(service)
	if p.Term() == 0 || p.Term() == position.Term {
		s.leaderLogs.record(service, leaderLog{p, position, s.Holder.Clock()})
	}
}

// checkLog returns errLogLost if the position, which the server reported as the primary
// in answer to a request that was sent at the clock reading, is before one that it has
// reported earlier. Such a server does not count as the primary.
func (s *Server) checkLog(c *lender.Conn, p fencer.Permit, position identifier.Position, sent time.Duration) error {
	service, id := c.Server.Service, c.Server.ID
	if !s.leaderLogs.isBefore(service, p, sampler.Sample{Position: position, RequestedAt: sent}) {
		return nil
	}
	s.Balancer.RecordNotLeading(service, id)
	if s.Registry != nil {
		s.Registry.Count(reporter.Series{Name: "primary_logs_lost", Service: service}, 1)
	}
	if s.lostLogLines.isDue(service, lostLogLineInterval) {
		s.lostLogLines.record(service)
		s.Logger.Error().Str("event", "primary_log_lost").Str("service", string(service)).Str("server", string(id)).
			Str("position", position.String()).Uint64("term", uint64(p.Term())).Int64("born", c.Server.Born).Send()
	}
	return errors.Wrapf(errLogLost, "server %s is at %s", id, position)
}
