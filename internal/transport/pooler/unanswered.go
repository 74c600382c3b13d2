package pooler

import (
	"context"
	"encoding/binary"
	"strconv"
	"time"
)

const (
	// answerGracePeriod is how long a statement may be without a response before
	// its connection is checked, and how long the response may still take after
	// the server has reported that it runs no statement of the connection.
	answerGracePeriod = 500 * time.Millisecond
	// unansweredChecks is the number of checks after a call of
	// CheckConnections. The pauses between them double, so that the last check
	// comes 7.5 s after it.
	unansweredChecks = 4

	activePIDsQuery = "SELECT pid FROM pg_stat_activity WHERE state = 'active'"
)

// CheckConnections closes the idle connections to a target that have not been
// used since the given time. It is called when a connection to the target has
// stopped responding: the others usually have too, and each would let a
// statement time out. It also starts checks of the connections in use. A
// connection that waits for a response although the server runs no statement of
// it has lost the statement or the response, and is closed.
func (p *Pooler) CheckConnections(t Target, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleIf(t, p.pool(t), func(c *Conn) bool { return c.idleSince.Before(since) })
	if p.closed {
		return
	}
	if p.checksRequested == nil {
		p.checksRequested = map[Target]int{}
	}
	if p.done == nil {
		p.done = make(chan struct{})
	}
	p.checksRequested[t]++
	if p.checksRequested[t] > 1 {
		return // The running checks start over.
	}
	p.background.Add(1)
	go p.checkUnansweredLoop(t)
}

// checkUnansweredLoop calls closeUnanswered with doubling pauses. It starts over
// if CheckConnections was called again in the meantime.
func (p *Pooler) checkUnansweredLoop(t Target) {
	defer p.background.Done()
	for {
		p.mu.Lock()
		handled := p.checksRequested[t]
		p.mu.Unlock()
		pause := answerGracePeriod
		for range unansweredChecks {
			if !p.sleep(pause) {
				return
			}
			pause *= 2
			p.closeUnanswered(t)
		}
		p.mu.Lock()
		upToDate := p.checksRequested[t] == handled
		if upToDate {
			delete(p.checksRequested, t)
		}
		p.mu.Unlock()
		if upToDate {
			return
		}
	}
}

// closeUnanswered closes the connections that wait for a response although the
// server runs no statement of them. Their sessions get a read error and release
// them.
func (p *Pooler) closeUnanswered(t Target) {
	unanswered := p.unansweredConns(t)
	if len(unanswered) == 0 {
		return
	}
	active, err := p.activePIDs(t)
	if err != nil || !p.sleep(answerGracePeriod) {
		return // If the server does not respond at all, this check cannot decide.
	}
	for c, sent := range unanswered {
		if !active[c.pid] && c.lastWrite.Load() == sent && c.lastRead.Load() < sent {
			_ = c.Close()
		}
	}
}

// unansweredConns returns the connections that have waited for a response for
// longer than answerGracePeriod, with the time of their last Write.
func (p *Pooler) unansweredConns(t Target) map[*Conn]int64 {
	conns := map[*Conn]int64{}
	before := time.Now().Add(-answerGracePeriod).UnixNano()
	p.openConns.Range(func(key, _ any) bool {
		c := key.(*Conn)
		if sent := c.lastWrite.Load(); c.target == t && sent > c.lastRead.Load() && sent < before {
			conns[c] = sent
		}
		return true
	})
	return conns
}

// activePIDs returns the process IDs of the server's connections that run a
// statement. It queries the server on a separate connection, which does not
// count against the budget.
func (p *Pooler) activePIDs(t Target) (map[uint32]bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	c, err := p.openConn(ctx, t)
	if err != nil {
		return nil, err
	}
	defer c.close()
	pids := map[uint32]bool{}
	serverError, err := c.runUntil(time.Now().Add(connectTimeout), []Statement{{activePIDsQuery, selectTag}}, func(row []byte) {
		if pid, ok := parseFirstUint(row); ok {
			pids[pid] = true
		}
	})
	if err == nil {
		err = serverError
	}
	return pids, err
}

// parseFirstUint parses the first column of a DataRow body in text format as an
// unsigned integer.
func parseFirstUint(row []byte) (uint32, bool) {
	if len(row) < 6 {
		return 0, false
	}
	size := int32(binary.BigEndian.Uint32(row[2:]))
	if size < 0 || int(size) > len(row)-6 {
		return 0, false
	}
	n, err := strconv.ParseUint(string(row[6:6+size]), 10, 32)
	return uint32(n), err == nil
}

// sleep waits for d. It returns false if the Pooler is closed before.
func (p *Pooler) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.done:
		return false
	case <-timer.C:
		return true
	}
}
