package sessioner

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/fencer"
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

var (
	// errFenced reports an answer of a primary that arrived after this instance
	// had lost the permission to use it. Another primary may have been promoted
	// before the statement ran.
	errFenced = errors.New("the permission to use the primary ended before its answer")

	// errInDoubt reports answers of a server that say nothing about whether it leads,
	// because one of them was sent for an earlier statement.
	errInDoubt = errors.New("an answer may be that to an earlier statement")

	errReplacing   = errors.New("the primary is being replaced")
	errProofTooOld = errors.New("the proof of the configuration is too old to use the primary; use another instance")
	errNoPrimary   = errors.New("no primary is known")
	errEvacuated   = errors.New("the data centre of the backend server is evacuated")
	errNoSample    = errors.New("no primary showed a position in time")
)

// checkPermit returns errFenced if the permit to use the server as the primary is no
// longer held.
func (s *Server) checkPermit(c *lender.Conn, p fencer.Permit) error {
	if !p.Allows(c.Server.ID) || !s.Fencer.IsHeld(p) {
		return errors.Wrapf(errFenced, "server %s", c.Server.ID)
	}
	return nil
}

// beginAttempts is the number of times that a transaction is begun on a connection
// while an answer may be that to an earlier BEGIN.
const beginAttempts = 2

// beginOnPrimary begins a transaction on the primary. Its result is not OK if the
// server refused it. An error means that the transaction may not be used. If the
// position in the answer shows a lost log, the transaction is rolled back first: the
// answer to an earlier BEGIN would be followed by that to the new one.
func (s *Server) beginOnPrimary(c *lender.Conn, p fencer.Permit, deadline time.Time) (begun requester.Result, err error) {
	for range beginAttempts {
		sent := s.Holder.Clock()
		begun, err = c.Run(deadline, requester.Statement{Kind: requester.Begin})
		if err != nil || begun.Code != requester.OK {
			return begun, err
		}
		if err = s.checkPermit(c, p); err != nil {
			return begun, err
		}
		if !s.leaderLogs.isBefore(c.Server.Service, p, sampler.Sample{Position: begun.Position, RequestedAt: sent}) {
			return begun, nil
		}
		repeats := c.Repeats()
		ended, err := c.Run(deadline, requester.Statement{Kind: requester.Rollback})
		if err != nil {
			return begun, err
		}
		if ended.Code == requester.OK && c.Repeats() == repeats {
			return begun, s.checkLog(c, p, begun.Position, sent)
		}
	}
	c.MarkBroken()
	return begun, errors.Wrapf(errInDoubt, "server %s", c.Server.ID)
}

// recordLeader records that the server was the leader when it answered, and its
// position as a sample. The answer must be one to a write, or one from a
// transaction that only a leader opens, to a request that was sent after the clock
// reading sent, and no repeat of an earlier answer. It returns errFenced if the
// permit is no longer held, or errLogLost: the answer then proves nothing.
func (s *Server) recordLeader(c *lender.Conn, p fencer.Permit, r requester.Result, sent time.Duration) error {
	if err := s.checkPermit(c, p); err != nil {
		return err
	}
	if err := s.checkLog(c, p, r.Position, sent); err != nil {
		return err
	}
	if r.Position.IsZero() {
		return nil
	}
	s.leaderLogs.record(c.Server.Service, leaderLog{p, r.Position, s.Holder.Clock()})
	// Until its first commit, a primary reports the position of an earlier term.
	s.Balancer.RecordLeader(c.Server.Service, c.Server.ID, max(p.Term(), r.Position.Term), s.Holder.Time(sent))
	s.Sampler(c.Server.Service).Add(sampler.Sample{Position: r.Position, RequestedAt: sent})
	return nil
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

// recordUnanswered reports to the balancer a statement that has no answer. A server
// that sends answers twice is not ejected, since it answers, and neither is one to
// which the statement cannot be sent.
func (s *Server) recordUnanswered(c *lender.Conn, err error) {
	switch {
	case errors.Is(err, lender.ErrNotEncodable):
		s.Balancer.Cancel(c.Server.ID)
	case c.OutOfStep():
		s.Balancer.Finish(c.Server.ID, 0)
	default:
		s.Balancer.Fail(c.Server.ID)
	}
}

// observeLag derives how far a server is behind the primary from the position in
// its answer, and reports it to the balancer. It also records the position as one that the
// log of the primary has reached.
func (s *Server) observeLag(c *lender.Conn, r requester.Result) {
	if r.Position.IsZero() {
		return
	}
	s.recordReached(c.Server.Service, r.Position)
	lag := time.Duration(0)
	if since, ok := s.Sampler(c.Server.Service).Missing(r.Position); ok {
		lag = s.Holder.Clock() - since
	}
	s.Balancer.RecordLag(c.Server.ID, lag)
}

// confirmLeader verifies that the server on the connection leads, by opening and
// rolling back a transaction. If this instance may use the primary, the answer is
// recorded as a position sample; otherwise it says nothing about whether the
// server was replaced. It returns [fencer.ErrNotLeading], errInDoubt, or the error of
// the connection. After errInDoubt the connection is broken.
func (s *Server) confirmLeader(c *lender.Conn) error {
	permit, permitted := s.Fencer.Permit(c.Server.Service)
	sent, repeats := s.Holder.Clock(), c.Repeats()
	deadline := time.Now().Add(queryTimeout)
	earlier, hasEarlier := c.BegunAt()
	r, ended, err := beginAndRollBack(c, deadline)
	if err != nil {
		return err
	}
	if hasEarlier && r.Code == requester.OK && r.Position.Compare(earlier) <= 0 {
		// Both may be sent for earlier statements. The next two are then the answers to these.
		if r, ended, err = beginAndRollBack(c, deadline); err != nil {
			return err
		}
	}
	if c.Repeats() != repeats || (r.Code == requester.OK && ended.Code != requester.OK) {
		c.MarkBroken()
		return errors.Wrapf(errInDoubt, "server %s", c.Server.ID)
	}
	if r.Code != requester.OK || (permitted && !permit.Allows(c.Server.ID)) {
		s.Balancer.RecordNotLeading(c.Server.Service, c.Server.ID)
		return fencer.ErrNotLeading
	}
	// Without a proof, or once a successor is chosen, a promotion may have discarded a part of the log.
	record := s.Fencer.Record(c.Server.Service)
	_, requested := record.RequestedPromotion()
	if permitted || (s.Fencer.IsProven() && record.IsReplacing() && !requested) {
		if err := s.checkLog(c, permit, r.Position, sent); err != nil {
			return errors.Wrap(fencer.ErrNotLeading, err.Error())
		}
	}
	if permitted {
		if err := s.recordLeader(c, permit, r, sent); err != nil {
			s.Logger.Debug().Str("event", "leader_not_recorded").Err(err).Send()
		}
	}
	return nil
}

// beginAndRollBack opens a transaction and rolls it back, and returns both answers.
func beginAndRollBack(c *lender.Conn, deadline time.Time) (begun, ended requester.Result, err error) {
	if err = c.Send(deadline, requester.Statement{Kind: requester.Begin}, requester.Statement{Kind: requester.Rollback}); err != nil {
		return begun, ended, err
	}
	if begun, err = c.Receive(deadline); err != nil {
		return begun, ended, err
	}
	ended, err = c.Receive(deadline)
	return begun, ended, err
}

// confirmAttempts is the number of connections on which a server is asked whether it
// leads while its answers are in doubt.
const confirmAttempts = 2

// borrowAndConfirm borrows a connection to the server and verifies that the
// server leads.
func (s *Server) borrowAndConfirm(b cataloger.BackendServer, w identifier.WorkspaceName) (err error) {
	for range confirmAttempts {
		if err = s.borrowAndConfirmOnce(b, w); !errors.Is(err, errInDoubt) {
			return err
		}
	}
	return err
}

func (s *Server) borrowAndConfirmOnce(b cataloger.BackendServer, w identifier.WorkspaceName) error {
	c, err := s.borrow(lender.Request{Server: b, Workspace: w, AnyWorkspace: true, Deadline: time.Now().Add(queryTimeout)})
	if err != nil {
		return err
	}
	defer s.Lender.Return(c)
	err = s.confirmLeader(c)
	if err != nil && c.OutOfStep() {
		return errors.Wrap(errInDoubt, err.Error())
	}
	if err != nil && !errors.Is(err, fencer.ErrNotLeading) && !errors.Is(err, errInDoubt) {
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

// awaitPrimary returns the primary of the operation's service and the permit to
// use it. It waits for one until the operation's search deadline. A proof that is
// too old is no reason to wait: another instance may have a newer one.
func (s *Server) awaitPrimary(o operation) (cataloger.BackendServer, fencer.Permit, error) {
	service := o.route.Service
	for {
		changed := s.Balancer.LeaderChanged(service)
		permit, permitted := s.Fencer.Permit(service)
		err := errReplacing
		switch {
		case permitted:
			b, ok := s.findPrimary(o)
			if ok && !s.isWithin(b.DataCentre, o.route.Regions) {
				return cataloger.BackendServer{}, permit, errOutsideRegions
			}
			if ok {
				return b, permit, nil
			}
			err = errNoPrimary
			if s.isPrimaryWithdrawn(service) {
				return cataloger.BackendServer{}, permit, errEvacuated
			}
		case !s.Fencer.IsProven():
			return cataloger.BackendServer{}, permit, errProofTooOld
		}
		if !waitWithin(changed, searchPause, o.searchDeadline) {
			return cataloger.BackendServer{}, permit, err
		}
	}
}

// onlyEvacuated reports whether the service has servers and every one of them is
// in an evacuated data centre, so that no read can be served.
func (s *Server) onlyEvacuated(service identifier.ServiceName) bool {
	servers := s.Holder.Catalog().Servers[service]
	return len(servers) > 0 && !slices.ContainsFunc(servers, func(b cataloger.BackendServer) bool { return !b.Evacuated })
}

// isPrimaryWithdrawn reports whether no statement may be sent to the primary of the
// service. It is called while no replacement is under way, so that waiting would
// not help.
func (s *Server) isPrimaryWithdrawn(service identifier.ServiceName) bool {
	id := s.Fencer.Record(service).Server
	if id == "" {
		id, _, _ = s.Balancer.LastLed(service)
	}
	b, registered := s.Holder.Catalog().Server(service, id)
	return registered && s.Balancer.IsWithdrawn(b)
}

// isWithdrawn reports whether nothing may be sent to the server any more, by the
// newest catalog.
func (s *Server) isWithdrawn(b cataloger.BackendServer) bool {
	current, registered := s.Holder.Catalog().Server(b.Service, b.ID)
	return registered && s.Balancer.IsWithdrawn(current)
}

// findPrimary returns the primary of the operation's service, searching for it
// if it is not known, or false if none answers at present.
func (s *Server) findPrimary(o operation) (cataloger.BackendServer, bool) {
	service := o.route.Service
	servers := s.Holder.Catalog().Servers[service]
	b, ok := s.Balancer.Primary(service, servers)
	if ok {
		return b, !s.Balancer.IsEjected(b.ID)
	}
	s.searchPrimary(service, o.workspace)
	return s.Balancer.Primary(service, servers)
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
		if s.searchEnds.isDue(service, searchPause) {
			s.confirmAll(service, w)
			s.searchEnds.record(service)
		}
		return nil, nil
	})
}

// confirmAll queries all servers of the service that may be used in parallel.
func (s *Server) confirmAll(service identifier.ServiceName, w identifier.WorkspaceName) {
	var tasks sync.WaitGroup
	for _, b := range s.Holder.Catalog().Servers[service] {
		if s.Balancer.IsWithdrawn(b) {
			continue
		}
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
