package lender

import (
	"slices"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// shelf holds the connections to one backend server.
type shelf struct {
	server    cataloger.BackendServer
	idle      []*Conn // Least recently returned first.
	lent      map[*Conn]struct{}
	opening   int
	pinned    int      // Of lent, those of transactions.
	waiters   []waiter // In the order in which they go on.
	fullUntil time.Time
	ended     bool // The server's incarnation is over.
}

func (s *shelf) total() int {
	return len(s.idle) + len(s.lent) + s.opening
}

// waiter is a borrower that waits.
type waiter struct {
	wake     chan struct{}
	priority int
}

// wait queues a borrower behind those of its priority. It returns nil if there
// are too many.
func (s *shelf) wait(priority int) chan struct{} {
	if len(s.waiters) >= maxWaiters {
		return nil
	}
	w := waiter{make(chan struct{}), priority}
	i := len(s.waiters)
	for i > 0 && s.waiters[i-1].priority > priority {
		i--
	}
	s.waiters = slices.Insert(s.waiters, i, w)
	return w.wake
}

// best returns the index of the idle connection that suits the wish, the most
// recently used one of those with the right values, or -1.
func (s *shelf) best(w Wish) int {
	found := -1
	for i := len(s.idle) - 1; i >= 0; i-- {
		c := s.idle[i]
		if c.Workspace != w.Workspace && !w.Any {
			continue
		}
		if c.values.Equal(w.Values) {
			return i
		}
		if found < 0 {
			found = i
		}
	}
	return found
}

func (s *shelf) lend(c *Conn, w Wish) {
	c.pinned = w.Pinned
	if w.Pinned {
		s.pinned++
	}
	s.lent[c] = struct{}{}
}

func (s *shelf) wake() {
	if len(s.waiters) > 0 {
		close(s.waiters[0].wake)
		s.waiters = slices.Delete(s.waiters, 0, 1)
	}
}

// shelf returns the shelf of the server's incarnation. Connections to an
// earlier incarnation are closed.
func (l *Lender) shelf(server cataloger.BackendServer) *shelf {
	s, ok := l.shelves[server.ID]
	if ok && s.server.Born == server.Born && s.server.Address == server.Address {
		return s
	}
	if l.shelves == nil {
		l.shelves = map[identifier.BackendServerID]*shelf{}
	}
	if ok {
		s.end()
	}
	s = &shelf{server: server, lent: map[*Conn]struct{}{}}
	l.shelves[server.ID] = s
	return s
}

// end closes the idle connections and marks the lent ones.
func (s *shelf) end() {
	s.ended = true
	for _, c := range s.idle {
		c.link.Close()
	}
	s.idle = nil
	for c := range s.lent {
		c.stale = true
	}
	for len(s.waiters) > 0 {
		s.wake()
	}
}
