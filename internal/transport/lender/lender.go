package lender

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Sentinel errors of [Lender.Borrow] and [Lender.Dial].
var (
	// ErrNoConnection reports that no connection became free before the
	// deadline, or that too many borrowers wait.
	ErrNoConnection = errors.New("no connection to the backend server became free")
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
	// [ErrServerFull], [ErrWrongServer] or [ErrUnreachable].
	Dial func(deadline time.Time, s cataloger.BackendServer, w identifier.WorkspaceName) (Link, error)
	// Limit returns the number of connections that this instance may have to
	// the server, possibly 0.
	Limit func(s cataloger.BackendServer) int
	// ConcurrencyLimit returns the number of connections to the server that may
	// be lent at the same time outside transactions. If ConcurrencyLimit is
	// nil, only Limit applies. It may call methods of the lender.
	ConcurrencyLimit func(s cataloger.BackendServer) int

	mu        sync.Mutex
	pools     map[identifier.BackendServerID]*serverPool
	dialCount uint64
}

// maxWaiters is the number of borrowers that may wait for a connection to one
// server. Further ones are refused at once, because they would not get a
// connection in time.
const maxWaiters = 24

// Request describes the connection that a borrower needs.
type Request struct {
	Server       cataloger.BackendServer
	Workspace    identifier.WorkspaceName
	Pinned       bool     // For a transaction, which is idle most of the time and not subject to ConcurrencyLimit.
	Priority     int      // 0 is served first among the waiting borrowers.
	AnyWorkspace bool     // Accept a connection of any workspace; not subject to ConcurrencyLimit.
	Settings     Settings // Preferred, not required.
	Deadline     time.Time
}

// Borrow lends a connection, waiting for one until the deadline of the request.
// The borrower must return the connection with [Lender.Return], even if it is
// broken.
func (l *Lender) Borrow(req Request) (*Conn, error) {
	if l.Limit(req.Server) <= 0 {
		return nil, errors.Wrapf(ErrNoShare, "server %s", req.Server.ID)
	}
	for {
		c, pool, turn := l.acquire(req, l.concurrencyLimit(req))
		switch {
		case c != nil && c.link.Open():
			return c, nil
		case c != nil:
			c.MarkBroken()
			l.Return(c)
		case pool != nil:
			return l.dialReserved(req, pool)
		case turn == nil:
			return nil, errors.Wrapf(ErrNoConnection, "server %s: too many wait", req.Server.ID)
		default:
			if err := l.waitTurn(req, turn); err != nil {
				return nil, err
			}
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
	if l.ConcurrencyLimit == nil || req.AnyWorkspace || req.Pinned {
		return math.MaxInt
	}
	return max(1, l.ConcurrencyLimit(req.Server))
}

// acquire returns an idle connection, or a pool in which room for a new
// connection is reserved, or a channel that is closed when the borrower may try
// again. All three are nil if too many borrowers wait.
func (l *Lender) acquire(req Request, concurrency int) (*Conn, *serverPool, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serverPool(req.Server)
	if len(s.borrowed)+s.dialing-s.pinned >= concurrency {
		return nil, nil, s.enqueue(req.Priority)
	}
	if i := s.bestIdle(req); i >= 0 {
		c := s.idle[i]
		s.idle = slices.Delete(s.idle, i, i+1)
		s.markBorrowed(c, req)
		return c, nil, nil
	}
	limit := max(1, l.Limit(req.Server)) // It may have become 0 since Borrow has checked it.
	full := time.Now().Before(s.fullUntil)
	if s.total() < limit && !full {
		s.dialing++
		return nil, s, nil
	}
	if len(s.idle) > 0 {
		s.closeOldest()
		s.dialing++
		return nil, s, nil
	}
	return nil, nil, s.enqueue(req.Priority)
}

// waitTurn waits until the channel is closed or the deadline of the request has
// passed.
func (l *Lender) waitTurn(req Request, turn chan struct{}) error {
	timer := time.NewTimer(time.Until(req.Deadline))
	defer timer.Stop()
	select {
	case <-turn:
		return nil
	case <-timer.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serverPool(req.Server)
	i := slices.IndexFunc(s.waiters, func(o waiter) bool { return o.ready == turn })
	if i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	} else {
		s.wakeNext() // Woken at the deadline: pass the turn to the next borrower.
	}
	return errors.Wrapf(ErrNoConnection, "server %s", req.Server.ID)
}

// dialReserved opens a connection in the room that acquire has reserved.
func (l *Lender) dialReserved(req Request, s *serverPool) (*Conn, error) {
	link, err := l.Dial(req.Deadline, req.Server, req.Workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	s.dialing--
	l.dialCount++
	if err != nil {
		if errors.Is(err, ErrServerFull) {
			s.fullUntil = time.Now().Add(serverFullPause)
		}
		s.wakeNext()
		return nil, err
	}
	now := time.Now()
	c := &Conn{Server: req.Server, Workspace: req.Workspace, LastAnswer: now, link: link, pool: s, stale: s.retired}
	s.markBorrowed(c, req)
	return c, nil
}

// Return takes back a borrowed connection. It closes the connection if it is
// broken, stale or over the limit.
func (l *Lender) Return(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := c.pool
	delete(s.borrowed, c)
	if c.pinned {
		s.pinned--
	}
	if c.broken || c.stale || s.total() >= l.Limit(c.Server) {
		c.link.Close()
	} else {
		c.returned = time.Now()
		s.idle = append(s.idle, c)
	}
	s.wakeNext()
}

// Adapt drops the connections to backend servers that are not in the catalog,
// and closes idle connections beyond the limits, which may have changed with the
// catalog.
func (l *Lender) Adapt(catalog *cataloger.Catalog) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.pools {
		if _, ok := catalog.Server(s.server.Service, id); !ok {
			s.retire()
			delete(l.pools, id)
			continue
		}
		for limit := l.Limit(s.server); len(s.idle) > 0 && s.total() > limit; {
			s.closeOldest()
		}
	}
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
	return len(s.borrowed) + s.dialing, len(s.waiters)
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
