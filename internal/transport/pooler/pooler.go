package pooler

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// Sentinel errors of a [Pooler]. With each of them, no statement of the caller
// was sent.
var (
	ErrClosed        = errors.New("pool is closed")
	ErrConnect       = errors.New("no connection to the backend server")
	ErrPoolExhausted = errors.New("no connection became free in time")
)

const (
	defaultBudget      = 4
	defaultIdleTimeout = 5 * time.Minute
	// defaultMaxWait is short, because sessions can hold connections for a long
	// time, and clients should get an error promptly when none is released.
	defaultMaxWait = 2 * time.Second
	connectTimeout = 5 * time.Second
	sweepInterval  = 10 * time.Second
)

// Target identifies a database on a backend server.
type Target struct {
	Server   identifier.BackendServerID
	Address  string // IP address and port.
	Database string
}

// Pooler manages the connection pools of all targets. The zero value is ready to
// use. Call Close to release its resources.
type Pooler struct {
	User        string // User name of the proxy at the backend servers.
	Password    string // Password of User.
	Application string // The instance ID, sent as application_name.
	// DataCentre is sent as oleanderpulley.data_centre unless it is empty.
	DataCentre identifier.DataCentre
	TLS        *tls.Config // Nil disables TLS.
	// MaxConnections returns the maximum number of open connections to a
	// server; nil means 4. Values below 1 are raised to 1.
	MaxConnections func(identifier.BackendServerID) int
	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Reset clears the session state of a connection and sets its workspace. Nil
	// runs DISCARD ALL, which a new connection does not need, and
	// SET oleanderpulley.workspace.
	Reset func(ctx context.Context, c *Conn, workspace identifier.WorkspaceName) error
	// Reusable reports whether a released connection may be reused; nil means
	// [Conn.Clean].
	Reusable    func(*Conn) bool
	IdleTimeout time.Duration // 0 means 5 minutes.
	MaxWait     time.Duration // Longest wait of Acquire for a connection while the budget is used up; 0 means 2 s.
	// OnTooManyConnections is called when a login fails with SQLSTATE 53300
	// (too_many_connections). Nil ignores the event.
	OnTooManyConnections func(identifier.BackendServerID)
	// OnOutOfStep is called when a connection is closed because it has received
	// data that belongs to no statement. Nil ignores the event.
	OnOutOfStep func(server identifier.BackendServerID, reason string)
	Now         func() time.Time // Nil means time.Now.

	mu              sync.Mutex
	pools           map[Target]*pool
	parameters      map[string]*Parameters // By database.
	closed          bool
	sweeperStarted  bool
	notReusedUntil  map[identifier.BackendServerID]time.Time // Servers that have repeated a response.
	checksRequested map[Target]int                           // Calls of CheckConnections since the running checks of a target began.
	// openConns has every open *Conn as a key.
	openConns  sync.Map
	done       chan struct{}
	background sync.WaitGroup
}

// pool holds the connections to one target. Its fields are guarded by the
// Pooler's mutex.
type pool struct {
	total   int          // Connections that are in use, idle or being opened.
	idle    []*Conn      // Most recently used last.
	waiters []chan *Conn // Longest-waiting first; nil sent to one grants it a free slot.
}

// Acquire returns a connection that is reset for the workspace, for the
// exclusive use of the caller until Release. While the budget is used up, it
// waits until ctx ends or MaxWait has passed, and then returns
// [ErrPoolExhausted]. It returns [ErrConnect] if a connection cannot be opened
// or reset.
func (p *Pooler) Acquire(ctx context.Context, t Target, workspace identifier.WorkspaceName) (*Conn, error) {
	for {
		c, err := p.checkOut(ctx, t, workspace)
		if err != nil {
			return nil, err
		}
		if !c.newlyOpened && !c.hasNoInput() {
			if isResponse(c.peeked) {
				p.ReportOutOfStep(c, "data on an idle connection")
			}
			p.Release(c, false)
			continue
		}
		if c.workspace == workspace && !c.newlyOpened {
			return c, nil
		}
		err = p.resetForWorkspace(ctx, c, workspace)
		if errors.Is(err, ErrUnexpectedResponse) {
			p.ReportOutOfStep(c, err.Error())
		}
		if err != nil {
			p.Release(c, false)
			if c.newlyOpened || ctx.Err() != nil {
				return nil, errors.Wrapf(ErrConnect, "reset: %v", err)
			}
			continue
		}
		c.newlyOpened, c.workspace = false, workspace
		return c, nil
	}
}

// checkOut returns an idle connection, opens one if the budget permits it, or
// waits for one.
func (p *Pooler) checkOut(ctx context.Context, t Target, workspace identifier.WorkspaceName) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	pl := p.pool(t)
	if c := pl.popIdle(workspace); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if pl.total < p.budget(t.Server) {
		pl.total++
		p.mu.Unlock()
		return p.openReserved(ctx, t)
	}
	w := make(chan *Conn, 1)
	pl.waiters = append(pl.waiters, w)
	p.mu.Unlock()
	return p.awaitConn(ctx, t, w)
}

// awaitConn waits until w receives a connection, or nil for a free slot in which
// it opens a connection itself. It returns [ErrPoolExhausted] when ctx ends or
// MaxWait has passed.
func (p *Pooler) awaitConn(ctx context.Context, t Target, w chan *Conn) (*Conn, error) {
	limit := p.MaxWait
	if limit == 0 {
		limit = defaultMaxWait
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	cause := errors.Errorf("waited for %s", limit)
	select {
	case c := <-w:
		if c != nil {
			return c, nil
		}
		return p.openReserved(ctx, t)
	case <-ctx.Done():
		cause = ctx.Err()
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.pool(t).removeWaiter(w) {
		// A connection or a free slot was sent to w in the meantime. Pass it on,
		// so that it is not lost.
		if c := <-w; c != nil {
			p.checkIn(c, true)
		} else {
			p.releaseSlot(t)
		}
	}
	return nil, errors.Wrap(ErrPoolExhausted, cause.Error())
}

// openReserved opens a connection in a slot of the budget that the caller has
// reserved. It releases the slot if that fails.
func (p *Pooler) openReserved(ctx context.Context, t Target) (*Conn, error) {
	c, err := p.openConn(ctx, t)
	if err != nil {
		p.mu.Lock()
		p.releaseSlot(t)
		p.mu.Unlock()
		return nil, errors.Wrap(ErrConnect, err.Error())
	}
	return c, nil
}

// Release returns a connection to its pool. It closes the connection unless
// reusable is true and Pooler.Reusable confirms it.
func (p *Pooler) Release(c *Conn, reusable bool) {
	if reusable {
		isReusable := p.Reusable
		if isReusable == nil {
			isReusable = (*Conn).Clean
		}
		reusable = isReusable(c)
		if !reusable && c.Status == 'I' && c.hasResponse() {
			p.ReportOutOfStep(c, "data after the last response")
		}
		reusable = reusable && !p.isReusePaused(c)
	}
	if !reusable {
		c.close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkIn(c, reusable)
}

// checkIn passes a reusable connection to the next waiter or adds it to the idle
// ones. It closes the connection if the Pooler is closed or the budget is
// exceeded. The caller holds p.mu, and has closed a connection that is not
// reusable.
func (p *Pooler) checkIn(c *Conn, reusable bool) {
	pl := p.pool(c.target)
	if p.closed || pl.total > p.budget(c.target.Server) {
		c.close()
		reusable = false
	}
	if !reusable {
		p.releaseSlot(c.target)
		return
	}
	c.idleSince = p.now()
	if w := pl.dequeueWaiter(); w != nil {
		w <- c
		return
	}
	pl.idle = append(pl.idle, c)
	p.startSweeper()
}

// releaseSlot frees a slot of the budget and grants it to the next waiter, if
// there is one. The caller holds p.mu.
func (p *Pooler) releaseSlot(t Target) {
	pl := p.pool(t)
	pl.total--
	if p.closed || pl.total >= p.budget(t.Server) {
		return
	}
	if w := pl.dequeueWaiter(); w != nil {
		pl.total++
		w <- nil
	}
}

// Close closes the idle connections and waits for the background goroutines to
// end. Connections in use are closed when they are released.
func (p *Pooler) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		if p.done == nil {
			p.done = make(chan struct{})
		}
		close(p.done)
		for t, pl := range p.pools {
			for _, c := range pl.idle {
				c.close()
				p.releaseSlot(t)
			}
			pl.idle = nil
		}
	}
	p.mu.Unlock()
	p.background.Wait()
}

// Open returns the number of connections to a server that are in use, idle or
// being opened.
func (p *Pooler) Open(server identifier.BackendServerID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for t, pl := range p.pools {
		if t.Server == server {
			n += pl.total
		}
	}
	return n
}

// pool returns the pool of a target and creates it if necessary. The caller
// holds p.mu.
func (p *Pooler) pool(t Target) *pool {
	pl := p.pools[t]
	if pl == nil {
		if p.pools == nil {
			p.pools = map[Target]*pool{}
		}
		pl = &pool{}
		p.pools[t] = pl
	}
	return pl
}

func (p *Pooler) budget(server identifier.BackendServerID) int {
	if p.MaxConnections == nil {
		return defaultBudget
	}
	return max(p.MaxConnections(server), 1)
}

func (p *Pooler) now() time.Time {
	if p.Now == nil {
		return time.Now()
	}
	return p.Now()
}
