package sessioner

import (
	"sync"
	"time"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/identifier"
)

// ForeignLimit is the time without a statement after which the transaction of a
// peer is rolled back. The peer ends idle ones earlier, so it is reached only
// when the peer is gone or its message was lost.
const ForeignLimit = 6 * time.Second

// foreignSearch bounds the search for a server that leads, for a statement that
// its sender can take to another instance.
const foreignSearch = 40 * time.Millisecond

// foreignTransactions are the open transactions of peers.
type foreignTransactions struct {
	mu  sync.Mutex
	all map[foreignKey]*foreignTransaction
}

type foreignKey struct {
	peer identifier.InstanceID
	id   uint64
}

// foreignTransaction is one of them. Its session is used by one task at a time.
type foreignTransaction struct {
	mu       sync.Mutex
	session  *session
	lastUsed time.Time
	ended    bool
}

// Execute runs a statement that a peer has forwarded.
func (s *Server) Execute(from identifier.InstanceID, f Forward) Forwarded {
	if f.Transaction != 0 {
		return s.executeForeign(foreignKey{from, f.Transaction}, f)
	}
	if s.Draining.Load() || s.Holder.Catalog() == nil {
		return Forwarded{Refused: true}
	}
	n := s.foreignSession(f)
	o := n.foreignOperation(f)
	r := n.runHere(o, f.work())
	if s.Registry != nil {
		n.observeWaits(o.trace)
	}
	n.forwardedFailed(from, f.Statement.ID, o, r)
	return n.reply(r)
}

func (f Forward) work() work {
	return work{statement: f.Statement, shape: f.Shape, writes: f.Writes}
}

func (s *Server) foreignSession(f Forward) *session {
	n := &session{server: s, database: f.Database, forwarded: true}
	n.take(f)
	return n
}

// take takes over the state of the client's session.
func (n *session) take(f Forward) {
	n.values = f.Values
	n.written = f.Written
	n.writtenAt = time.Now().Add(-f.WrittenAge)
}

func (n *session) foreignOperation(f Forward) operation {
	arrived := time.Now().Add(-f.Spent)
	return operation{
		route:     f.Route,
		workspace: f.Workspace,
		servers:   n.server.Holder.Catalog().Servers[f.Route.Service],
		arrived:   arrived,
		deadline:  arrived.Add(f.Route.StatementTimeout),
		patience:  arrived.Add(patience(f.Route)),
		search:    time.Now().Add(foreignSearch),
		trace:     &trace{},
	}
}

func (n *session) reply(r requester.Result) Forwarded {
	reply := Forwarded{Result: r, Written: n.written}
	if !n.written.IsZero() {
		reply.WrittenAge = time.Since(n.writtenAt)
	}
	return reply
}

func (s *Server) executeForeign(key foreignKey, f Forward) Forwarded {
	t, refused := s.foreignTransaction(key, f)
	if t == nil {
		return Forwarded{Refused: refused, Result: requester.Result{
			Code: requester.Aborted, State: requester.Failed, Text: "the transaction is not open at this instance",
		}}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.session
	if t.ended {
		return n.reply(requester.Result{Code: requester.Aborted, State: requester.Failed, Text: "the transaction was idle for too long"})
	}
	n.take(f)
	if f.Route.Service != "" {
		n.tx.operation = n.foreignOperation(f)
	}
	var r requester.Result
	if f.Statement.Kind == requester.Commit || f.Statement.Kind == requester.Rollback {
		r = n.end(f.Statement)
	} else {
		r = n.executeInTransaction(f.work())
	}
	t.lastUsed = time.Now()
	if n.tx == nil || n.tx.failed {
		n.abandon()
		t.ended = true
		s.foreign.remove(key)
	}
	return n.reply(r)
}

// foreignTransaction returns the transaction, which a first statement opens.
func (s *Server) foreignTransaction(key foreignKey, f Forward) (t *foreignTransaction, refused bool) {
	s.foreign.mu.Lock()
	old, ok := s.foreign.all[key]
	s.foreign.mu.Unlock()
	if f.Begin == requester.Unknown {
		return old, false
	}
	if ok {
		s.endForeign(key, old) // Left open by the peer's earlier process.
	}
	s.foreign.mu.Lock()
	defer s.foreign.mu.Unlock()
	if s.Draining.Load() || s.Holder.Catalog() == nil {
		return nil, true
	}
	n := s.foreignSession(f)
	n.tx = newTransaction(n.foreignOperation(f), f.Begin)
	t = &foreignTransaction{session: n, lastUsed: time.Now()}
	if s.foreign.all == nil {
		s.foreign.all = map[foreignKey]*foreignTransaction{}
	}
	s.foreign.all[key] = t
	return t, false
}

// endForeign rolls a transaction of a peer back.
func (s *Server) endForeign(key foreignKey, t *foreignTransaction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.session.abandon()
		t.ended = true
		s.foreign.remove(key)
	}
}

func (f *foreignTransactions) remove(key foreignKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.all, key)
}

// ForeignTransactions returns the number of open transactions of peers.
func (s *Server) ForeignTransactions() int {
	s.foreign.mu.Lock()
	defer s.foreign.mu.Unlock()
	return len(s.foreign.all)
}

// ExpireForeign rolls back the transactions of peers that have been without a
// statement for longer than the limit.
func (s *Server) ExpireForeign(limit time.Duration) {
	for key, t := range s.foreign.snapshot() {
		if !t.mu.TryLock() {
			continue // A statement is running.
		}
		if !t.ended && time.Since(t.lastUsed) > limit {
			t.session.abandon()
			t.ended = true
			s.foreign.remove(key)
			s.Logger.Info().Str("event", "forwarded_transaction_expired").Str("peer", string(key.peer)).Send()
		}
		t.mu.Unlock()
	}
}

func (f *foreignTransactions) snapshot() map[foreignKey]*foreignTransaction {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[foreignKey]*foreignTransaction, len(f.all))
	for key, t := range f.all {
		all[key] = t
	}
	return all
}
