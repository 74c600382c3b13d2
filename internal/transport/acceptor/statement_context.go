package acceptor

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/transport/pooler"
)

var errClientDisconnected = errors.New("client disconnected")

// maxReadAhead limits how many bytes are read ahead from a client that keeps
// sending while a statement runs.
const maxReadAhead = 64 << 10

// statementContext is cancelled at the statement's deadline or when the client
// disconnects. It watches the client's connection only between allowWatch and
// stopWatch, and only after Done was called, so that a statement that never
// waits needs no goroutine. The watch reads ahead into the session's input
// buffer; the session must not use the buffer until stopWatch has returned.
type statementContext struct {
	context.Context
	session  *session
	deadline time.Time

	mu           sync.Mutex
	done         chan struct{}
	err          error
	watchDone    chan struct{} // Closed when the watch has ended; nil if there is none.
	stopping     bool
	watchAllowed bool         // The session does not use its input buffer, so a watch may.
	conn         *pooler.Conn // Being read by the session; reads are interrupted on cancellation.
}

func (s *session) newContext(deadline time.Time) *statementContext {
	return &statementContext{Context: context.Background(), session: s, deadline: deadline}
}

// Deadline returns the statement's deadline.
func (c *statementContext) Deadline() (time.Time, bool) { return c.deadline, true }

// allowWatch permits a watch until stopWatch is called. Without this
// permission, a goroutine left behind by a callee could call Done and start a
// watch while the session reads its input.
func (c *statementContext) allowWatch() *statementContext {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchAllowed = true
	return c
}

// Done returns a channel that is closed on cancellation. It starts watching the
// client's connection if a watch is allowed.
func (c *statementContext) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
		if c.err != nil {
			close(c.done)
		}
	}
	if c.watchAllowed {
		c.startWatch()
	}
	return c.done
}

// Err returns the reason for the cancellation, or nil.
func (c *statementContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && !time.Now().Before(c.deadline) {
		c.cancel(context.DeadlineExceeded)
	}
	return c.err
}

// watchWhileReading watches the client's connection while the session reads
// from a backend connection.
func (c *statementContext) watchWhileReading(conn *pooler.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	c.startWatch()
}

func (c *statementContext) startWatch() {
	if c.watchDone != nil || c.err != nil {
		return
	}
	c.watchDone, c.stopping = make(chan struct{}), false
	_ = c.session.conn.SetReadDeadline(c.deadline)
	go c.watch(c.watchDone)
}

// watch reads from the client until it disconnects, the deadline passes, or
// stopWatch is called.
func (c *statementContext) watch(ended chan struct{}) {
	defer close(ended)
	for {
		var err error
		if c.session.input.Buffered() < maxReadAhead {
			err = c.session.input.FillFor(0)
		} else {
			err = c.awaitStop()
		}
		if err == nil {
			continue
		}
		var ne net.Error
		timedOut := errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
		c.mu.Lock()
		switch {
		case timedOut && c.stopping:
		case timedOut:
			c.cancel(context.DeadlineExceeded)
		default:
			c.cancel(errClientDisconnected)
		}
		c.mu.Unlock()
		return
	}
}

// awaitStop waits for stopWatch or the deadline when the read-ahead limit is
// reached.
func (c *statementContext) awaitStop() error {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for range tick.C {
		c.mu.Lock()
		stop := c.stopping
		c.mu.Unlock()
		if stop || !time.Now().Before(c.deadline) {
			break
		}
	}
	return os.ErrDeadlineExceeded
}

// cancel ends the context with err. The caller must hold c.mu.
func (c *statementContext) cancel(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	if c.done != nil {
		close(c.done)
	}
	if c.conn != nil {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// stopWatch ends the watch, so that the session may use its input again. It
// returns err, or a clientError if the client has disconnected.
func (c *statementContext) stopWatch(err error) error {
	c.mu.Lock()
	watchDone := c.watchDone
	c.stopping, c.watchAllowed, c.conn = true, false, nil
	if watchDone != nil {
		_ = c.session.conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if watchDone == nil {
		return err
	}
	<-watchDone
	_ = c.session.conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchDone = nil
	if errors.Is(c.err, errClientDisconnected) {
		return &clientError{errClientDisconnected}
	}
	return err
}

// extendDeadline sets a new deadline. No watch may be running.
func (c *statementContext) extendDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
}

// stop ends the watch when the statement is finished.
func (c *statementContext) stop() { _ = c.stopWatch(nil) }

// sleep waits for d. It returns early with an error if the context is
// cancelled.
func (c *statementContext) sleep(d time.Duration) error {
	c.allowWatch()
	timer := time.NewTimer(d)
	defer timer.Stop()
	var err error
	select {
	case <-timer.C:
	case <-c.Done():
		err = c.Err()
	}
	return c.stopWatch(err)
}
