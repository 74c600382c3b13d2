package lender

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/reporter"
)

// Sentinel errors of [Lender.Borrow] and [Lender.Dial].
var (
	// ErrNoConnection reports that no connection became free in time, or that the
	// borrower was not allowed to wait for one. The cause is also in the error:
	// [ErrCancelled] or a [*scheduler.RefusalError].
	ErrNoConnection = errors.New("no connection to the backend server became free")
	// ErrCancelled reports that the borrower needs the connection no longer.
	ErrCancelled = errors.New("the client has disconnected")
	// ErrNoShare reports that this instance may have no connections to the
	// backend server.
	ErrNoShare = errors.New("this instance may not connect to the backend server")
	// ErrServerFull reports that the backend server accepts no more
	// connections.
	ErrServerFull = errors.New("backend server takes no more connections")
	// ErrWrongServer reports that another backend server answers at the address.
	ErrWrongServer = errors.New("another backend server answers at the address")
	// ErrUnreachable reports that the connection could not be opened.
	ErrUnreachable = errors.New("backend server cannot be reached")
)

// serverFullPause is the time for which no new connection is opened after the
// server refused one because of its connection limit.
const serverFullPause = 300 * time.Millisecond

// Lender is a pool of connections to backend servers. Dial and Limit are
// required. It is safe for concurrent use.
type Lender struct {
	// Dial opens a connection to the server for the workspace. Its error is
	// [ErrServerFull], [ErrWrongServer], [ErrUnreachable] or [ErrNotEncodable].
	Dial func(deadline time.Time, s cataloger.BackendServer, w identifier.WorkspaceName) (Link, error)
	// Limit returns the number of connections that this instance may have to
	// the server, possibly 0.
	Limit func(s cataloger.BackendServer) int
	// ConcurrencyLimit returns the number of connections to the server that may
	// be lent at the same time outside transactions. If ConcurrencyLimit is
	// nil, only Limit applies. It may call methods of the lender.
	ConcurrencyLimit func(s cataloger.BackendServer) int
	// Registry gets the waits in the queues, the refusals by cause, and the answers
	// that belong to no statement. It may be nil.
	Registry *reporter.Registry
	Logger   zerolog.Logger

	mu    sync.Mutex
	pools map[identifier.BackendServerID]*serverPool
}

// Request describes the connection that a borrower needs.
type Request struct {
	Server       cataloger.BackendServer
	Workspace    identifier.WorkspaceName
	Pinned       bool      // For a transaction, which is idle most of the time and not subject to ConcurrencyLimit.
	Priority     int       // 0 is the most urgent.
	Writes       bool      // The caller relies on a refusal: lend no connection on which an error was received.
	AnyWorkspace bool      // For a query of the proxy itself: accept a connection of any workspace; not subject to ConcurrencyLimit.
	Settings     Settings  // Preferred, not required.
	Target       time.Time // When the statement should be answered; zero means at the deadline.
	Deadline     time.Time
	// Cancelled reports that the connection is needed no longer. It is called
	// from time to time while the borrower waits. Nil means never.
	Cancelled func() bool
}

// Borrow lends a connection, waiting for one until the deadline of the request.
// The borrower must return the connection with [Lender.Return], even if it is
// broken.
func (l *Lender) Borrow(req Request) (*Conn, error) {
	if l.Limit(req.Server) <= 0 {
		return nil, errors.Wrapf(ErrNoShare, "server %s", req.Server.ID)
	}
	for {
		g, w, err := l.acquire(req, l.concurrencyLimit(req))
		if err != nil {
			return nil, err
		}
		if w != nil {
			if g, err = l.await(w); err != nil {
				return nil, err
			}
		}
		switch {
		case g.reserved:
			return l.dialReserved(req, g)
		case g.conn != nil && g.conn.isOpen():
			return g.conn, nil
		case g.statement != nil:
			return l.dialReserved(req, l.replace(g))
		case g.conn != nil:
			g.conn.MarkBroken()
			l.Return(g.conn)
		}
		if !time.Now().Before(req.Deadline) {
			return nil, errors.Wrapf(ErrNoConnection, "server %s", req.Server.ID)
		}
	}
}

// concurrencyLimit returns the number of connections below which the request may
// be granted. It must be called without the lock, because
// [Lender.ConcurrencyLimit] may call the lender.
func (l *Lender) concurrencyLimit(req Request) int {
	if req.AnyWorkspace || req.Pinned {
		return math.MaxInt
	}
	return l.slots(req.Server)
}

// slots returns the number of connections to the server that may be lent outside
// transactions. It must be called without the lock.
func (l *Lender) slots(server cataloger.BackendServer) int {
	if l.ConcurrencyLimit == nil {
		return math.MaxInt
	}
	return max(1, l.ConcurrencyLimit(server))
}

// acquire returns a grant, or a waiter if the borrower has to wait for one. It
// returns an error if the borrower may not wait.
func (l *Lender) acquire(req Request, concurrency int) (grant, *waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serverPool(req.Server)
	slots := concurrency
	if req.Pinned || req.AnyWorkspace {
		slots = s.slots // Those who wait for a slot do not compete for the connection.
	}
	if !s.queue.HasNext(s.inUse() < slots) && s.inUse() < concurrency {
		if g, ok := s.grant(req, l.maxConnections(s)); ok {
			return g, nil, nil
		}
	}
	w, err := l.enqueue(s, req)
	return grant{}, w, err
}

// maxConnections returns the number of connections that the pool may have.
func (l *Lender) maxConnections(s *serverPool) int {
	return max(1, l.Limit(s.server)) // It may have become 0 since Borrow has checked it.
}

// replace closes the connection of a grant and reserves its room, so that a borrower
// that has waited keeps its turn.
func (l *Lender) replace(g grant) grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	g.pool.markReturned(g.conn)
	g.conn.link.Close()
	g.pool.dialing++
	return grant{pool: g.pool, reserved: true, statement: g.statement}
}

// dialReserved opens a connection in the room that the grant has reserved.
func (l *Lender) dialReserved(req Request, g grant) (*Conn, error) {
	link, err := l.Dial(req.Deadline, req.Server, req.Workspace)
	if err != nil {
		l.release(g, err)
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := g.pool
	s.dialing--
	c := &Conn{
		Server: req.Server, Workspace: req.Workspace, LastAnswer: time.Now(), lender: l, link: link, pool: s,
		stale: s.retired, statement: g.statement,
	}
	s.markBorrowed(c, req)
	return c, nil
}

// release gives back the room that the grant has reserved. The error is the one
// for which no connection was opened, or nil if none was tried.
func (l *Lender) release(g grant, err error) {
	l.mu.Lock()
	s := g.pool
	s.dialing--
	if errors.Is(err, ErrServerFull) {
		s.fullUntil = time.Now().Add(serverFullPause)
	}
	s.cancel(g.statement)
	l.unlockAndDispatch(s)
}

// Return takes back a borrowed connection. It closes the connection if it is
// broken, stale, in a transaction or over the limit, if it has carried many answers or
// prepared statements, and if the server may send an answer again that nothing tells from another.
func (l *Lender) Return(c *Conn) {
	l.mu.Lock()
	c.pool.finish(c.statement)
	l.takeBack(c)
}

// ReturnUnused is [Lender.Return] for a connection on which the borrower has sent
// nothing, so that the time says nothing about the server.
func (l *Lender) ReturnUnused(c *Conn) {
	l.mu.Lock()
	c.pool.cancel(c.statement)
	l.takeBack(c)
}

// takeBack returns the connection to its pool. It must be called with the lock, which
// it releases.
func (l *Lender) takeBack(c *Conn) {
	s := c.pool
	s.markReturned(c)
	c.statement = nil
	isUsable := !c.broken && !c.stale && !c.answers.inTransaction() && !c.isSpent() && !s.mayRepeat(c)
	if !isUsable || s.total() >= l.Limit(c.Server) {
		c.link.Close()
	} else {
		c.returned = time.Now()
		s.idle = append(s.idle, c)
	}
	l.unlockAndDispatch(s)
}

// Adapt drops the connections to backend servers that are not in the catalog,
// and closes idle connections beyond the limits, which may have changed with the
// catalog.
func (l *Lender) Adapt(catalog *cataloger.Catalog) {
	for _, s := range l.adapt(catalog) {
		l.dispatch(s)
	}
}

// adapt does the work of [Lender.Adapt] and returns the pools in which borrowers
// wait, for which the limit may have grown.
func (l *Lender) adapt(catalog *cataloger.Catalog) []*serverPool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var waiting []*serverPool
	for id, s := range l.pools {
		if _, ok := catalog.Server(s.server.Service, id); !ok {
			s.retire()
			delete(l.pools, id)
			continue
		}
		for limit := l.Limit(s.server); len(s.idle) > 0 && s.total() > limit; {
			s.closeOldest()
		}
		if s.queue.Len() > 0 {
			waiting = append(waiting, s)
		}
	}
	return waiting
}

// idleTimeout is the time after which an unused connection is closed, so that
// backend servers have connections left for instances that restart.
const idleTimeout = 3 * time.Second

// CloseIdle closes the connections that have been idle for longer than
// [idleTimeout].
func (l *Lender) CloseIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := time.Now().Add(-idleTimeout)
	for _, s := range l.pools {
		for len(s.idle) > 0 && s.idle[0].returned.Before(before) {
			s.closeOldest()
		}
	}
}

// HasIdle reports whether an idle connection to the server exists for the
// workspace.
func (l *Lender) HasIdle(server identifier.BackendServerID, w identifier.WorkspaceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.pools[server]
	if !ok {
		return false
	}
	return slices.ContainsFunc(s.idle, func(c *Conn) bool { return c.Workspace == w })
}

// Borrowed returns the number of lent connections to the server, including those
// being opened, and the number of borrowers that wait for one.
func (l *Lender) Borrowed(server identifier.BackendServerID) (lent, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.pools[server]
	if !ok {
		return 0, 0
	}
	return len(s.borrowed) + s.dialing, s.queue.Len()
}

// Close closes the idle connections and marks the lent ones, which are closed on
// return.
func (l *Lender) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.pools {
		s.retire()
		delete(l.pools, id)
	}
}
