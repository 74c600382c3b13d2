package sessioner

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/lender"
)

// Timeouts and intervals of the search for a primary.
const (
	// queryTimeout bounds one query of the proxy itself to a backend server.
	// The answer takes no slot of the server, so it arrives within a round
	// trip or not at all.
	queryTimeout = 400 * time.Millisecond
	// searchPause is the minimum time between two searches over all servers of
	// a service.
	searchPause = 60 * time.Millisecond
	// verifyAfter is the time since the last answer after which a connection
	// to the primary is verified before use. A connection that was silent for
	// longer may be dead, and a write sent on it would have an unknown outcome.
	verifyAfter = time.Second
)

// errNotLeading reports that a backend server answered that it does not lead.
var errNotLeading = errors.New("backend server does not lead")

// recordLeader records that the server was the leader when it answered, and its
// position as a sample. The answer must be one to a write, or one from a
// transaction that only a leader opens.
func (s *Server) recordLeader(c *lender.Conn, r requester.Result, sentAt time.Time) {
	if r.Position.IsZero() {
		return
	}
	s.Balancer.RecordLeader(c.Server.Service, c.Server.ID, r.Position.Term, sentAt)
	s.Sampler(c.Server.Service).Add(sampler.Sample{Position: r.Position, RequestedAt: sentAt})
}

// recordAnswer reports an answer and its duration to the balancer.
func (s *Server) recordAnswer(b cataloger.BackendServer, took time.Duration, r requester.Result) {
	if r.Code.NotRun() {
		took = 0 // Not a measure of how long the server takes to run a statement.
	} else {
		s.observeAnswer(b, took)
	}
	s.Balancer.Finish(b.ID, took)
	if r.Code == requester.Overloaded {
		s.Balancer.Overloaded(b.ID)
	}
}

// observeLag derives how far a server is behind the primary from the position in
// its answer, and reports it to the balancer.
func (s *Server) observeLag(c *lender.Conn, r requester.Result) {
	if r.Position.IsZero() {
		return
	}
	lag := time.Duration(0)
	if since, ok := s.Sampler(c.Server.Service).Missing(r.Position); ok {
		lag = time.Since(since)
	}
	s.Balancer.RecordLag(c.Server.ID, lag)
}

// confirmLeader verifies that the server on the connection leads, by opening and
// rolling back a transaction. The answer is recorded as a position sample. It
// returns errNotLeading, or the error of the connection.
func (s *Server) confirmLeader(c *lender.Conn) error {
	sentAt := time.Now()
	deadline := sentAt.Add(queryTimeout)
	begin := requester.Statement{Kind: requester.Begin}
	rollback := requester.Statement{Kind: requester.Rollback}
	if err := c.Send(deadline, begin, rollback); err != nil {
		return err
	}
	r, err := c.Receive(deadline)
	if err != nil {
		return err
	}
	if _, err := c.Receive(deadline); err != nil {
		return err
	}
	if r.Code != requester.OK {
		s.Balancer.RecordNotLeading(c.Server.Service, c.Server.ID)
		return errNotLeading
	}
	s.recordLeader(c, r, sentAt)
	return nil
}

// borrowAndConfirm borrows a connection to the server and verifies that the
// server leads.
func (s *Server) borrowAndConfirm(b cataloger.BackendServer, w identifier.WorkspaceName) error {
	c, err := s.borrow(lender.Request{Server: b, Workspace: w, AnyWorkspace: true, Deadline: time.Now().Add(queryTimeout)})
	if err != nil {
		return err
	}
	defer s.Lender.Return(c)
	err = s.confirmLeader(c)
	if err != nil && !errors.Is(err, errNotLeading) {
		s.Balancer.Unreachable(b.ID)
	}
	return err
}

// borrow borrows a connection and reports an unreachable server to the balancer.
func (s *Server) borrow(w lender.Request) (*lender.Conn, error) {
	c, err := s.Lender.Borrow(w)
	if errors.Is(err, lender.ErrUnreachable) || errors.Is(err, lender.ErrWrongServer) {
		s.Balancer.Unreachable(w.Server.ID)
	}
	return c, err
}

// awaitPrimary returns the primary of the operation's service. It waits for one
// until the operation's search deadline.
func (s *Server) awaitPrimary(o operation) (cataloger.BackendServer, bool) {
	service := o.route.Service
	for {
		servers := s.Holder.Catalog().Servers[service]
		changed := s.Balancer.LeaderChanged(service)
		p, ok := s.Balancer.Primary(service, servers)
		if ok && !s.Balancer.IsEjected(p.ID) {
			return p, true
		}
		if !ok {
			s.searchPrimary(service, o.workspace)
			if p, ok = s.Balancer.Primary(service, servers); ok {
				return p, true
			}
		}
		if !waitWithin(changed, searchPause, o.searchDeadline) {
			return cataloger.BackendServer{}, false
		}
	}
}

// waitWithin waits until the channel is closed, the pause is over or the deadline
// has passed. It reports whether the deadline is still ahead.
func waitWithin(wake <-chan struct{}, pause time.Duration, deadline time.Time) bool {
	pause = min(pause, time.Until(deadline))
	if pause <= 0 {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	}
	return time.Now().Before(deadline)
}

// searchPrimary queries every server of the service for whether it leads.
// Searches of one service do not overlap; a caller waits for the end of a
// running search.
func (s *Server) searchPrimary(service identifier.ServiceName, w identifier.WorkspaceName) {
	<-s.searches.DoChan(string(service), func() (any, error) {
		if time.Since(s.lastSearch(service)) >= searchPause {
			s.confirmAll(service, w)
			s.recordSearch(service)
		}
		return nil, nil
	})
}

// lastSearch returns when the last search for the primary of the service ended.
func (s *Server) lastSearch(service identifier.ServiceName) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.searchEnds[service]
}

// recordSearch records that a search for the primary of the service has ended.
func (s *Server) recordSearch(service identifier.ServiceName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.searchEnds == nil {
		s.searchEnds = map[identifier.ServiceName]time.Time{}
	}
	s.searchEnds[service] = time.Now()
}

// confirmAll queries all servers of the service in parallel.
func (s *Server) confirmAll(service identifier.ServiceName, w identifier.WorkspaceName) {
	var tasks sync.WaitGroup
	for _, b := range s.Holder.Catalog().Servers[service] {
		tasks.Go(func() {
			if err := s.borrowAndConfirm(b, w); err != nil {
				s.Logger.Debug().Str("event", "leader_question").Str("server", string(b.ID)).Err(err).Send()
			}
		})
	}
	tasks.Wait()
}

// refresh requests a position sample from the primary of the service. Requests
// of one service do not overlap.
func (s *Server) refresh(o operation) {
	<-s.refreshes.DoChan(string(o.route.Service), func() (any, error) {
		s.samplePrimary(o)
		return nil, nil
	})
}

// samplePrimary requests a position sample from the primary, or searches for the
// primary if it is unknown. It skips a primary that the balancer has set aside.
func (s *Server) samplePrimary(o operation) {
	p, ok := s.Balancer.Primary(o.route.Service, o.servers)
	switch {
	case !ok:
		s.searchPrimary(o.route.Service, o.workspace)
	case s.Balancer.IsEjected(p.ID):
		s.Logger.Debug().Str("event", "sample_skipped").Str("server", string(p.ID)).Send()
	default:
		if err := s.borrowAndConfirm(p, o.workspace); err != nil {
			s.Logger.Debug().Str("event", "sample_failed").Str("server", string(p.ID)).Err(err).Send()
		}
	}
}
