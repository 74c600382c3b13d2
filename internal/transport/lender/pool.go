package lender

import (
	"math"
	"slices"
	"time"

	"oleanderpulley/internal/coordination/scheduler"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// serverPool holds the connections to one incarnation of a backend server.
type serverPool struct {
	server    cataloger.BackendServer
	idle      []*Conn // Least recently returned first.
	borrowed  map[*Conn]struct{}
	dialing   int
	pinned    int // Number of borrowed connections that are pinned to transactions.
	queue     scheduler.Queue
	slots     int // Limit of concurrent statements when the queue was last served.
	fullUntil time.Time
	// repeatsUntil is when connections on which the server gave answers without a name
	// may be lent again.
	repeatsUntil time.Time
	retired      bool // A newer incarnation exists, or the server is gone.
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

// inUse returns the number of connections that count as concurrent statements.
func (s *serverPool) inUse() int {
	return len(s.borrowed) + s.dialing - s.pinned
}

// repeatMemory is the time for which a server that has sent an answer twice is expected
// to do so again. A repeat may arrive late, and a repeat of an answer without a
// name is not recognized in every case.
const repeatMemory = time.Minute

// expectRepeats closes the idle connections on which the server gave answers without a
// name, and lets those that are lent be closed on return.
func (s *serverPool) expectRepeats() {
	s.repeatsUntil = time.Now().Add(repeatMemory)
	s.idle = slices.DeleteFunc(s.idle, func(c *Conn) bool {
		if c.unnamed {
			c.link.Close()
		}
		return c.unnamed
	})
}

// mayRepeat reports whether the server may send an answer of the connection again that
// has no name.
func (s *serverPool) mayRepeat(c *Conn) bool {
	return c.unnamed && time.Now().Before(s.repeatsUntil)
}

// grant is what a borrower gets: a connection, or room reserved in the pool for a
// new one.
type grant struct {
	pool      *serverPool
	conn      *Conn
	reserved  bool
	statement *scheduler.Statement // Nil if the borrower did not wait.
}

// grant lends an idle connection or reserves room for a new one within the limit. It
// returns false if neither is possible.
func (s *serverPool) grant(req Request, limit int) (grant, bool) {
	if i := s.bestIdle(req); i >= 0 {
		c := s.idle[i]
		s.idle = slices.Delete(s.idle, i, i+1)
		s.markBorrowed(c, req)
		return grant{pool: s, conn: c}, true
	}
	switch {
	case s.mayDial(limit):
	case len(s.idle) > 0:
		s.closeOldest()
	default:
		return grant{}, false
	}
	s.dialing++
	return grant{pool: s, reserved: true}, true
}

// mayDial reports whether a new connection may be opened within the limit.
func (s *serverPool) mayDial(limit int) bool {
	return s.total() < limit && !time.Now().Before(s.fullUntil)
}

// hasRoom reports whether a connection can be lent: one is idle or a new one may
// be opened within the limit.
func (s *serverPool) hasRoom(limit int) bool {
	return len(s.idle) > 0 || s.mayDial(limit)
}

// bestIdle returns the index of the most recently used idle connection that fits
// the request, preferring those with the requested settings. It returns -1 if
// there is none.
func (s *serverPool) bestIdle(req Request) int {
	found := -1
	for i := len(s.idle) - 1; i >= 0; i-- {
		c := s.idle[i]
		if (c.Workspace != req.Workspace && !req.AnyWorkspace) || (c.failed && req.Writes) {
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

// markReturned records the connection as not lent any more.
func (s *serverPool) markReturned(c *Conn) {
	delete(s.borrowed, c)
	if c.pinned {
		s.pinned--
	}
}

// finish accounts for a statement that has returned its connection. The statement
// is nil if it did not wait.
func (s *serverPool) finish(st *scheduler.Statement) {
	if st != nil {
		s.queue.Finish(st, time.Now())
	}
}

// cancel takes back what a statement was charged that did not use its connection.
// The statement is nil if it did not wait.
func (s *serverPool) cancel(st *scheduler.Statement) {
	if st != nil {
		s.queue.Cancel(st)
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
	s = &serverPool{server: server, borrowed: map[*Conn]struct{}{}, slots: math.MaxInt}
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
	for s.queue.Len() > 0 {
		st, _ := s.queue.Next(true, time.Now()) // What is charged no longer matters.
		st.Owner.(*waiter).decide(grant{}, nil)
	}
}
