package lender

import (
	"slices"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// serverPool holds the connections to one incarnation of a backend server.
type serverPool struct {
	server    cataloger.BackendServer
	idle      []*Conn // Least recently returned first.
	borrowed  map[*Conn]struct{}
	dialing   int
	pinned    int      // Number of borrowed connections that are pinned to transactions.
	waiters   []waiter // In the order in which they are woken.
	fullUntil time.Time
	retired   bool // A newer incarnation exists, or the server is gone.
}

// total returns the number of connections, including those being opened.
func (s *serverPool) total() int {
	return len(s.idle) + len(s.borrowed) + s.dialing
}

// closeOldest closes the idle connection that has not been used for longest.
func (s *serverPool) closeOldest() {
	s.idle[0].link.Close()
	s.idle = slices.Delete(s.idle, 0, 1)
}

// waiter is a borrower that waits for a connection.
type waiter struct {
	ready    chan struct{}
	priority int
}

// enqueue adds a borrower to the waiters, behind those of the same priority, and
// returns the channel that wakes it. It returns nil if too many wait.
func (s *serverPool) enqueue(priority int) chan struct{} {
	if len(s.waiters) >= maxWaiters {
		return nil
	}
	w := waiter{make(chan struct{}), priority}
	i := len(s.waiters)
	for i > 0 && s.waiters[i-1].priority > priority {
		i--
	}
	s.waiters = slices.Insert(s.waiters, i, w)
	return w.ready
}

// bestIdle returns the index of the most recently used idle connection that fits
// the request, preferring those with the requested settings. It returns -1 if
// there is none.
func (s *serverPool) bestIdle(req Request) int {
	found := -1
	for i := len(s.idle) - 1; i >= 0; i-- {
		c := s.idle[i]
		if c.Workspace != req.Workspace && !req.AnyWorkspace {
			continue
		}
		if c.settings.Equal(req.Settings) {
			return i
		}
		if found < 0 {
			found = i
		}
	}
	return found
}

// markBorrowed records the connection as lent for the request.
func (s *serverPool) markBorrowed(c *Conn, req Request) {
	c.pinned = req.Pinned
	if req.Pinned {
		s.pinned++
	}
	s.borrowed[c] = struct{}{}
}

// wakeNext wakes the first waiter, if any.
func (s *serverPool) wakeNext() {
	if len(s.waiters) > 0 {
		close(s.waiters[0].ready)
		s.waiters = slices.Delete(s.waiters, 0, 1)
	}
}

// serverPool returns the pool of the server's current incarnation. It retires the
// pool of an earlier one.
func (l *Lender) serverPool(server cataloger.BackendServer) *serverPool {
	s, ok := l.pools[server.ID]
	if ok && s.server.Born == server.Born && s.server.Address == server.Address {
		return s
	}
	if l.pools == nil {
		l.pools = map[identifier.BackendServerID]*serverPool{}
	}
	if ok {
		s.retire()
	}
	s = &serverPool{server: server, borrowed: map[*Conn]struct{}{}}
	l.pools[server.ID] = s
	return s
}

// retire closes the idle connections, marks the lent ones to be closed on return
// and wakes all waiters.
func (s *serverPool) retire() {
	s.retired = true
	for _, c := range s.idle {
		c.link.Close()
	}
	s.idle = nil
	for c := range s.borrowed {
		c.stale = true
	}
	for len(s.waiters) > 0 {
		s.wakeNext()
	}
}
