package pooler

import (
	"slices"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// popIdle removes and returns the most recently used idle connection, or nil if
// there is none. It prefers connections that last served the workspace, because
// these need no reset.
func (pl *pool) popIdle(workspace identifier.WorkspaceName) *Conn {
	n := len(pl.idle)
	if n == 0 {
		return nil
	}
	chosen := n - 1
	for i := n - 1; i >= 0; i-- {
		if pl.idle[i].workspace == workspace {
			chosen = i
			break
		}
	}
	c := pl.idle[chosen]
	pl.idle = slices.Delete(pl.idle, chosen, chosen+1)
	return c
}

// dequeueWaiter removes and returns the longest-waiting waiter, or nil if there
// is none.
func (pl *pool) dequeueWaiter() chan *Conn {
	if len(pl.waiters) == 0 {
		return nil
	}
	w := pl.waiters[0]
	pl.waiters = slices.Delete(pl.waiters, 0, 1)
	return w
}

// removeWaiter removes w from the queue. It returns false if w was no longer
// queued, because a connection or a free slot was already sent to it.
func (pl *pool) removeWaiter(w chan *Conn) bool {
	i := slices.Index(pl.waiters, w)
	if i < 0 {
		return false
	}
	pl.waiters = slices.Delete(pl.waiters, i, i+1)
	return true
}

// startSweeper starts the goroutine that evicts idle connections, unless it is
// already running.
func (p *Pooler) startSweeper() {
	if p.sweeperStarted {
		return
	}
	p.sweeperStarted = true
	if p.done == nil {
		p.done = make(chan struct{})
	}
	p.background.Add(1)
	go p.sweep()
}

// sweep calls evictIdle every sweepInterval until the Pooler is closed.
func (p *Pooler) sweep() {
	defer p.background.Done()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-tick.C:
			p.evictIdle()
		}
	}
}

// closeIdleIf closes the idle connections for which match returns true.
func (p *Pooler) closeIdleIf(t Target, pl *pool, match func(*Conn) bool) {
	kept := pl.idle[:0]
	for _, c := range pl.idle {
		if match(c) {
			c.close()
			p.releaseSlot(t)
			continue
		}
		kept = append(kept, c)
	}
	clear(pl.idle[len(kept):])
	pl.idle = kept
}

// CloseIdle closes the idle connections to a server.
func (p *Pooler) CloseIdle(server identifier.BackendServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t, pl := range p.pools {
		if t.Server == server {
			p.closeIdleIf(t, pl, func(*Conn) bool { return true })
		}
	}
}

// evictIdle closes idle connections that exceed the idle timeout or the
// connection budget of their server, and removes empty pools.
func (p *Pooler) evictIdle() {
	limit := p.IdleTimeout
	if limit == 0 {
		limit = defaultIdleTimeout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := p.now().Add(-limit)
	for t, pl := range p.pools {
		p.closeIdleIf(t, pl, func(c *Conn) bool {
			return c.idleSince.Before(oldest) || pl.total > p.budget(t.Server)
		})
		if pl.total == 0 && len(pl.waiters) == 0 {
			delete(p.pools, t)
		}
	}
}
