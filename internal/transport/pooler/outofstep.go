package pooler

import (
	"time"

	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/state/identifier"
)

// noReuseDuration is how long the connections of a server are not reused after it
// has sent a response that belongs to no statement. A response that is repeated late
// could otherwise be taken for that to the next statement.
const noReuseDuration = time.Minute

// ReportOutOfStep reports that the connection has received data that belongs to no
// statement. The other connections of its server are closed when they are idle or
// released, for a minute. The caller releases the connection as not reusable.
func (p *Pooler) ReportOutOfStep(c *Conn, reason string) {
	server := c.target.Server
	p.mu.Lock()
	if p.notReusedUntil == nil {
		p.notReusedUntil = map[identifier.BackendServerID]time.Time{}
	}
	p.notReusedUntil[server] = p.now().Add(noReuseDuration)
	p.mu.Unlock()
	p.CloseIdle(server)
	if p.OnOutOfStep != nil {
		p.OnOutOfStep(server, reason)
	}
}

// isReusePaused reports whether a connection that is released must not be reused,
// because it or another one of its server has received data that belongs to no
// statement.
func (p *Pooler) isReusePaused(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.notReusedUntil[c.target.Server]
	if ok && !p.now().Before(until) {
		delete(p.notReusedUntil, c.target.Server)
		return false
	}
	return ok
}

// hasResponse reports whether the connection has an unread message, in its buffer, that
// is part of a response.
func (c *Conn) hasResponse() bool {
	kind := c.Reader.TakeBytes(1)
	c.Reader.Unread(len(kind))
	return len(kind) > 0 && isResponse(kind[0])
}

// hasUnrequested reports whether the connection is closed, or has received a message
// that is part of a response although none is outstanding.
func (c *Conn) hasUnrequested() bool {
	if c.Reader.Buffered() > 0 {
		return c.hasResponse()
	}
	return !c.hasNoInput() && (c.peeked == 0 || isResponse(c.peeked))
}

// isResponse reports whether a message of this type is part of the response to a
// statement. The error with which a server ends a connection may arrive at any time. The
// zero value is no type.
func isResponse(kind byte) bool {
	return kind != 0 && kind != 'E' && !framer.IsAsynchronous(kind)
}
