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

// Sentinel errors of borrowing.
var (
	// ErrNoConnection reports that no connection became free in time.
	ErrNoConnection = errors.New("no connection to the backend server became free")
	// ErrServerFull reports that the backend server takes no more connections.
	ErrServerFull = errors.New("backend server takes no more connections")
	// ErrWrongServer reports that another backend server answers at the address.
	ErrWrongServer = errors.New("another backend server answers at the address")
	// ErrUnreachable reports that the connection could not be opened.
	ErrUnreachable = errors.New("backend server cannot be reached")
)

// fullPause is the time for which no new connection is tried after the server
// refused one for its limit.
const fullPause = 300 * time.Millisecond

// Lender lends connections. Dial is required; it returns [ErrServerFull],
// [ErrWrongServer] or [ErrUnreachable]. It is safe for concurrent use.
type Lender struct {
	Dial func(deadline time.Time, s cataloger.BackendServer, w identifier.WorkspaceName) (Link, error)
	// Limit is the number of connections that this instance may keep to the
	// server.
	Limit func(s cataloger.BackendServer) int
	// Width is the number of connections to the server that may be lent at
	// the same time. Nil bounds them by Limit alone. It may call the lender.
	Width func(s cataloger.BackendServer) int

	mu      sync.Mutex
	shelves map[identifier.BackendServerID]*shelf
	dials   uint64
}

// maxWaiters is the number of waiters for a server beyond which a borrower is
// refused at once: it would not get a connection in time.
const maxWaiters = 24

// Wish says what a borrower needs.
type Wish struct {
	Server    cataloger.BackendServer
	Workspace identifier.WorkspaceName
	Pinned    bool   // For a transaction, which rests most of the time.
	Priority  int    // 0 goes first among those that wait.
	Any       bool   // A connection of any workspace will do.
	Values    Values // Preferred, not required.
	Deadline  time.Time
}

// Borrow lends a connection. The borrower returns it with [Lender.Return] in
// every case.
func (l *Lender) Borrow(w Wish) (*Conn, error) {
	for {
		c, room, wait := l.pick(w, l.width(w))
		switch {
		case c != nil && c.link.Open():
			return c, nil
		case c != nil:
			c.Break()
			l.Return(c)
		case room != nil:
			return l.open(w, room)
		case wait == nil:
			return nil, errors.Wrapf(ErrNoConnection, "server %s: too many wait", w.Server.ID)
		default:
			if err := l.await(w, wait); err != nil {
				return nil, err
			}
		}
		if !time.Now().Before(w.Deadline) {
			return nil, errors.Wrapf(ErrNoConnection, "server %s", w.Server.ID)
		}
	}
}

// width returns the number of connections that may be lent for the wish to be
// granted. It is called without the lock, because who decides it may ask back.
func (l *Lender) width(w Wish) int {
	if l.Width == nil || w.Any || w.Pinned {
		return math.MaxInt
	}
	return max(1, l.Width(w.Server))
}

// pick takes an idle connection, or reserves room on a shelf for a new one, or
// returns a channel to wait on.
func (l *Lender) pick(w Wish, width int) (*Conn, *shelf, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shelf(w.Server)
	if len(s.lent)+s.opening-s.pinned >= width {
		return nil, nil, s.wait(w.Priority)
	}
	if i := s.best(w); i >= 0 {
		c := s.idle[i]
		s.idle = slices.Delete(s.idle, i, i+1)
		s.lend(c, w)
		return c, nil, nil
	}
	limit := max(1, l.Limit(w.Server))
	full := time.Now().Before(s.fullUntil)
	if s.total() < limit && !full {
		s.opening++
		return nil, s, nil
	}
	if len(s.idle) > 0 {
		s.idle[0].link.Close()
		s.idle = slices.Delete(s.idle, 0, 1)
		s.opening++
		return nil, s, nil
	}
	return nil, nil, s.wait(w.Priority)
}

func (l *Lender) await(w Wish, wait chan struct{}) error {
	timer := time.NewTimer(time.Until(w.Deadline))
	defer timer.Stop()
	select {
	case <-wait:
		return nil
	case <-timer.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shelf(w.Server)
	i := slices.IndexFunc(s.waiters, func(o waiter) bool { return o.wake == wait })
	if i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	} else {
		s.wake() // The wake-up came with the deadline and is for the next.
	}
	return errors.Wrapf(ErrNoConnection, "server %s", w.Server.ID)
}

// open dials in the room that pick reserved.
func (l *Lender) open(w Wish, s *shelf) (*Conn, error) {
	link, err := l.Dial(w.Deadline, w.Server, w.Workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	s.opening--
	l.dials++
	if err != nil {
		if errors.Is(err, ErrServerFull) {
			s.fullUntil = time.Now().Add(fullPause)
		}
		s.wake()
		return nil, err
	}
	now := time.Now()
	c := &Conn{Server: w.Server, Workspace: w.Workspace, LastAnswer: now, link: link, shelf: s, stale: s.ended}
	s.lend(c, w)
	return c, nil
}

// Return takes a connection back. It closes one that is broken.
func (l *Lender) Return(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := c.shelf
	delete(s.lent, c)
	if c.pinned {
		s.pinned--
	}
	if c.broken || c.stale || s.total() >= max(1, l.Limit(c.Server)) {
		c.link.Close()
	} else {
		c.returned = time.Now()
		s.idle = append(s.idle, c)
	}
	s.wake()
}

// Keep drops the connections to servers that are no longer registered.
func (l *Lender) Keep(catalog *cataloger.Catalog) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.shelves {
		if _, ok := catalog.Server(s.server.Service, id); !ok {
			s.end()
			delete(l.shelves, id)
		}
	}
}

// idleLimit is the time after which an unused connection is closed, so that
// servers have connections left for instances that restart.
const idleLimit = 3 * time.Second

// Trim closes the connections that have been idle for long.
func (l *Lender) Trim() {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := time.Now().Add(-idleLimit)
	for _, s := range l.shelves {
		for len(s.idle) > 0 && s.idle[0].returned.Before(before) {
			s.idle[0].link.Close()
			s.idle = slices.Delete(s.idle, 0, 1)
		}
	}
}

// HasIdle reports whether an idle connection of the workspace stands.
func (l *Lender) HasIdle(server identifier.BackendServerID, w identifier.WorkspaceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.shelves[server]
	if !ok {
		return false
	}
	return slices.ContainsFunc(s.idle, func(c *Conn) bool { return c.Workspace == w })
}

// Borrowed returns the number of lent connections to the server and of
// borrowers that wait for one.
func (l *Lender) Borrowed(server identifier.BackendServerID) (lent, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.shelves[server]
	if !ok {
		return 0, 0
	}
	return len(s.lent) + s.opening, len(s.waiters)
}

// Close closes the idle connections and marks the lent ones.
func (l *Lender) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.shelves {
		s.end()
		delete(l.shelves, id)
	}
}
