package sessioner

import (
	"sync"
	"time"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// ForwardedTransactionTimeout is the time without a statement after which the
// transaction of a peer is rolled back. The peer ends its idle transactions
// earlier, so the limit applies only if the peer is gone or its message was
// lost.
const ForwardedTransactionTimeout = 6 * time.Second

// forwardedSearchTimeout bounds the search for the leader for a forwarded
// statement. It is short because the sender can forward the statement to another
// instance.
const forwardedSearchTimeout = 40 * time.Millisecond

// forwardedTransactions holds the open transactions of peers.
type forwardedTransactions struct {
	mu  sync.Mutex
	all map[forwardedKey]*forwardedTransaction
}

// forwardedKey identifies a forwarded transaction.
type forwardedKey struct {
	peer identifier.InstanceID
	id   uint64
}

// forwardedTransaction is an open transaction of a peer. Its mutex ensures that
// one goroutine at a time uses the session.
type forwardedTransaction struct {
	mu       sync.Mutex
	session  *session
	lastUsed time.Time
	ended    bool
}

// Execute runs a statement that a peer has forwarded and returns the reply.
func (s *Server) Execute(from identifier.InstanceID, f ForwardRequest) ForwardReply {
	if f.Transaction != 0 {
		return s.executeInForwarded(forwardedKey{from, f.Transaction}, f)
	}
	if s.refusesForwarded(f) {
		return ForwardReply{Refused: true}
	}
	s.forwardedRunning.Add(1)
	defer s.forwardedRunning.Add(-1)
	n := s.newForwardedSession(f)
	o := n.forwardedOperation(f)
	r := n.runLocally(o, f.resolvedStatement())
	if s.Registry != nil {
		n.observeWaits(o.trace)
	}
	n.logForwardedFailure(from, f.Statement.ID, o, r)
	return n.reply(f, r)
}

// refusesForwarded reports whether a peer has to send the statement elsewhere,
// for instance because it knows another fleet in which this instance is a home.
func (s *Server) refusesForwarded(f ForwardRequest) bool {
	if s.Draining.Load() || s.Holder.Catalog() == nil {
		return true
	}
	return s.RunsHere != nil && !s.RunsHere(f.Route.Service)
}

// resolvedStatement returns the statement to run for the message.
func (f ForwardRequest) resolvedStatement() resolvedStatement {
	return resolvedStatement{statement: f.Statement, shape: f.Shape, writes: f.Writes}
}

// newForwardedSession returns a session with the state from the message.
func (s *Server) newForwardedSession(f ForwardRequest) *session {
	n := &session{server: s, database: f.Database, forwarded: true}
	n.restoreState(f)
	return n
}

// restoreState sets the session state from the message.
func (n *session) restoreState(f ForwardRequest) {
	n.settings = f.Settings
	n.commits.record(ownCommit{f.Route.Service, f.LastCommit, time.Now().Add(-f.LastCommitAge)})
}

// forwardedOperation returns the operation of a forwarded statement, with its
// deadlines counted from the arrival at the sender.
func (n *session) forwardedOperation(f ForwardRequest) operation {
	arrived := time.Now().Add(-f.Elapsed)
	route := cataloger.Route(f.Route)
	return operation{
		route:          route,
		workspace:      f.Workspace,
		servers:        n.server.serversWithin(n.server.Holder.Catalog().Servers[f.Route.Service], f.Route.Regions),
		arrived:        arrived,
		deadline:       arrived.Add(f.Route.StatementTimeout),
		waitDeadline:   arrived.Add(maxWait(route)),
		searchDeadline: time.Now().Add(forwardedSearchTimeout),
		trace:          &trace{},
	}
}

// reply returns the reply to a forwarded statement with the given result.
func (n *session) reply(f ForwardRequest, r requester.Result) ForwardReply {
	own := n.commits.at(f.Route.Service)
	return ForwardReply{
		Result: r, LastCommit: own.position, LastCommitAge: own.age(),
		Unproven: r.Unreached && !n.server.Fencer.IsProven(),
	}
}

// executeInForwarded runs a statement of a forwarded transaction.
func (s *Server) executeInForwarded(key forwardedKey, f ForwardRequest) ForwardReply {
	t, refused := s.forwardedTransaction(key, f)
	if t == nil {
		// Senders of earlier releases take the session's commit from each reply.
		return ForwardReply{Refused: refused, LastCommit: f.LastCommit, LastCommitAge: f.LastCommitAge, Result: requester.Result{
			Code: requester.Aborted, State: requester.Failed, Text: "the transaction is not open at this instance",
		}}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.session
	if t.ended {
		return n.reply(f, requester.Result{Code: requester.Aborted, State: requester.Failed, Text: "the transaction was idle for too long"})
	}
	n.restoreState(f)
	if f.Route.Service != "" {
		n.tx.operation = n.forwardedOperation(f)
	}
	var r requester.Result
	isEnd := f.Statement.Kind == requester.Commit || f.Statement.Kind == requester.Rollback
	switch {
	case s.stopping.Load() && f.Statement.Kind != requester.Rollback:
		r = n.fail(f.Statement.ID, n.refusal(requester.Aborted, stoppingText))
	case isEnd:
		r = n.endTransaction(f.Statement)
	default:
		r = n.executeInTransaction(f.resolvedStatement())
	}
	t.lastUsed = time.Now()
	if n.tx == nil || n.tx.failed {
		n.rollBackOpen()
		t.ended = true
		s.forwarded.remove(key)
	}
	return n.reply(f, r)
}

// forwardedTransaction returns the transaction with the key, or opens it if the
// message holds its first statement. The transaction is nil if it is not open or
// the statement is refused.
func (s *Server) forwardedTransaction(key forwardedKey, f ForwardRequest) (t *forwardedTransaction, refused bool) {
	s.forwarded.mu.Lock()
	old, ok := s.forwarded.all[key]
	s.forwarded.mu.Unlock()
	if f.Begin == requester.Unknown {
		return old, false
	}
	if ok {
		s.endForwarded(key, old) // An earlier process of the peer left it open.
	}
	s.forwarded.mu.Lock()
	defer s.forwarded.mu.Unlock()
	if s.refusesForwarded(f) {
		return nil, true
	}
	n := s.newForwardedSession(f)
	n.tx = newTransaction(n.forwardedOperation(f), f.Begin)
	t = &forwardedTransaction{session: n, lastUsed: time.Now()}
	if s.forwarded.all == nil {
		s.forwarded.all = map[forwardedKey]*forwardedTransaction{}
	}
	s.forwarded.all[key] = t
	return t, false
}

// endForwarded rolls back a transaction of a peer.
func (s *Server) endForwarded(key forwardedKey, t *forwardedTransaction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.session.rollBackOpen()
		t.ended = true
		s.forwarded.remove(key)
	}
}

func (f *forwardedTransactions) remove(key forwardedKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.all, key)
}

// ForwardedTransactions returns the number of transactions that peers have open
// on this instance.
func (s *Server) ForwardedTransactions() int {
	s.forwarded.mu.Lock()
	defer s.forwarded.mu.Unlock()
	return len(s.forwarded.all)
}

// OpenForwarded returns the number of transactions that peers have open on this instance
// and of their other statements that run.
func (s *Server) OpenForwarded() int {
	return s.ForwardedTransactions() + int(s.forwardedRunning.Load())
}

// ExpireForwarded rolls back the transactions of peers in which no statement
// ran for longer than the limit.
func (s *Server) ExpireForwarded(limit time.Duration) {
	for key, t := range s.forwarded.snapshot() {
		if !t.mu.TryLock() {
			continue // A statement is running.
		}
		if !t.ended && time.Since(t.lastUsed) > limit {
			t.session.rollBackOpen()
			t.ended = true
			s.forwarded.remove(key)
			s.Logger.Info().Str("event", "forwarded_transaction_expired").Str("peer", string(key.peer)).Send()
		}
		t.mu.Unlock()
	}
}

func (f *forwardedTransactions) snapshot() map[forwardedKey]*forwardedTransaction {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[forwardedKey]*forwardedTransaction, len(f.all))
	for key, t := range f.all {
		all[key] = t
	}
	return all
}
