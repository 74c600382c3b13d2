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

// Periods of the search for a primary.
const (
	// askTimeout bounds one question to a backend server. The answer takes
	// no slot, so it comes within a round trip or not at all.
	askTimeout = 400 * time.Millisecond
	// searchPause separates two searches over all servers of a service.
	searchPause = 60 * time.Millisecond
	// trustedFor is the time since the last answer for which a connection
	// is used without a question first. After it a connection may have gone
	// silent, which costs a write its known outcome.
	trustedFor = time.Second
)

// errNotLeading reports that a server answered that it does not lead.
var errNotLeading = errors.New("backend server does not lead")

// learn records what an answer inside a plain transaction, or to a write,
// tells: the server led when it answered.
func (s *Server) learn(c *lender.Conn, r requester.Result, asked time.Time) {
	if r.Position.IsZero() {
		return
	}
	s.Placer.Led(c.Server.Service, c.Server.ID, r.Position.Term, asked)
	s.Sampler(c.Server.Service).Add(sampler.Sample{Position: r.Position, Asked: asked})
}

// finish tells the placer of an answer.
func (s *Server) finish(b cataloger.BackendServer, took time.Duration, r requester.Result) {
	if r.Code.NotRun() {
		took = 0 // Tells nothing of the time of a run.
	} else {
		s.observeAnswer(b, took)
	}
	s.Placer.Finish(b.ID, took)
	if r.Code == requester.Overloaded {
		s.Placer.Overloaded(b.ID)
	}
}

// observeLag derives from the position that a server showed how far it is
// behind the primary.
func (s *Server) observeLag(c *lender.Conn, r requester.Result) {
	if r.Position.IsZero() {
		return
	}
	lag := time.Duration(0)
	if since, ok := s.Sampler(c.Server.Service).Missing(r.Position); ok {
		lag = time.Since(since)
	}
	s.Placer.Lags(c.Server.ID, lag)
}

// confirm asks the server on the connection whether it leads, by opening and
// rolling back a transaction. The answer is a position sample. It returns
// errNotLeading, or the error of the connection.
func (s *Server) confirm(c *lender.Conn) error {
	asked := time.Now()
	deadline := asked.Add(askTimeout)
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
		s.Placer.NotLeading(c.Server.Service, c.Server.ID)
		return errNotLeading
	}
	s.learn(c, r, asked)
	return nil
}

// askServer borrows a connection and asks the server whether it leads.
func (s *Server) askServer(b cataloger.BackendServer, w identifier.WorkspaceName) error {
	c, err := s.borrow(lender.Wish{Server: b, Workspace: w, Any: true, Deadline: time.Now().Add(askTimeout)})
	if err != nil {
		return err
	}
	defer s.Lender.Return(c)
	err = s.confirm(c)
	if err != nil && !errors.Is(err, errNotLeading) {
		s.Placer.Unreachable(b.ID)
	}
	return err
}

// borrow borrows a connection and reports a server that cannot be reached.
func (s *Server) borrow(w lender.Wish) (*lender.Conn, error) {
	c, err := s.Lender.Borrow(w)
	if errors.Is(err, lender.ErrUnreachable) || errors.Is(err, lender.ErrWrongServer) {
		s.Placer.Unreachable(w.Server.ID)
	}
	return c, err
}

// primary returns the server to send a write to. It waits for one until the
// operation's search ends.
func (s *Server) primary(o operation) (cataloger.BackendServer, bool) {
	service := o.route.Service
	for {
		servers := s.Holder.Catalog().Servers[service]
		changed := s.Placer.LeaderChanged(service)
		p, ok := s.Placer.Primary(service, servers)
		if ok && !s.Placer.IsAside(p.ID) {
			return p, true
		}
		if !ok {
			s.searchPrimary(service, o.workspace)
			if p, ok = s.Placer.Primary(service, servers); ok {
				return p, true
			}
		}
		if !sleepUntil(changed, searchPause, o.search) {
			return cataloger.BackendServer{}, false
		}
	}
}

// sleepUntil waits for the channel or the pause and reports whether the end is
// still ahead.
func sleepUntil(wake <-chan struct{}, pause time.Duration, end time.Time) bool {
	pause = min(pause, time.Until(end))
	if pause <= 0 {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	}
	return time.Now().Before(end)
}

// searchPrimary asks every server of the service whether it leads. Searches do
// not overlap; a caller that finds one running waits for its end.
func (s *Server) searchPrimary(service identifier.ServiceName, w identifier.WorkspaceName) {
	<-s.searches.DoChan(string(service), func() (any, error) {
		if time.Since(s.searchEnd(service)) >= searchPause {
			s.askAll(service, w)
			s.endSearch(service)
		}
		return nil, nil
	})
}

// searchEnd is when the last search ended.
func (s *Server) searchEnd(service identifier.ServiceName) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.searched[service]
}

func (s *Server) endSearch(service identifier.ServiceName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.searched == nil {
		s.searched = map[identifier.ServiceName]time.Time{}
	}
	s.searched[service] = time.Now()
}

func (s *Server) askAll(service identifier.ServiceName, w identifier.WorkspaceName) {
	var tasks sync.WaitGroup
	for _, b := range s.Holder.Catalog().Servers[service] {
		tasks.Go(func() {
			if err := s.askServer(b, w); err != nil {
				s.Logger.Debug().Str("event", "leader_question").Str("server", string(b.ID)).Err(err).Send()
			}
		})
	}
	tasks.Wait()
}

// refresh asks the primary of the service for a position sample. Questions of
// one service do not overlap.
func (s *Server) refresh(o operation) {
	<-s.questions.DoChan(string(o.route.Service), func() (any, error) {
		s.askPrimary(o)
		return nil, nil
	})
}

func (s *Server) askPrimary(o operation) {
	p, ok := s.Placer.Primary(o.route.Service, o.servers)
	switch {
	case !ok:
		s.searchPrimary(o.route.Service, o.workspace)
	case s.Placer.IsAside(p.ID):
		s.Logger.Debug().Str("event", "sample_skipped").Str("server", string(p.ID)).Send()
	default:
		if err := s.askServer(p, o.workspace); err != nil {
			s.Logger.Debug().Str("event", "sample_failed").Str("server", string(p.ID)).Err(err).Send()
		}
	}
}
