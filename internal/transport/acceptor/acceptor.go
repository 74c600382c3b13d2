package acceptor

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/pooler"
)

// ErrTLSRequired is returned by Serve for a listener that accepts connections
// from outside the loopback interface while no TLS configuration is set.
var ErrTLSRequired = errors.New("TLS is required off loopback")

const (
	defaultStartupTimeout   = 10 * time.Second
	defaultStatementTimeout = 30 * time.Second
	defaultWriteTimeout     = 30 * time.Second
	defaultTransactionIdle  = 60 * time.Second
	defaultRetryWait        = time.Second
	keepAlivePeriod         = 15 * time.Second
	// accessCheckInterval is how often idle sessions are checked for revoked
	// access. A session must end within one second of the withdrawal of its
	// key.
	accessCheckInterval = 250 * time.Millisecond
)

// Acceptor accepts client connections and runs their sessions. View, Pooler and
// the routing hooks are required.
type Acceptor struct {
	Hooks
	Instance identifier.InstanceID
	// View returns the configuration in effect, or an error while the
	// configuration of this instance is not current.
	View   func() (configurer.View, error)
	Pooler *pooler.Pooler
	TLS    *tls.Config // If nil, only loopback listeners are served.
	Log    zerolog.Logger

	StartupTimeout   time.Duration // Limit for login; 0 means 10 s.
	StatementTimeout time.Duration // 0 means 30 s; overridden by the deadline setting of the client.
	WriteTimeout     time.Duration // Limit for one write to a client; 0 means 30 s.
	TransactionIdle  time.Duration // Longest wait for the client within a transaction; 0 means 60 s.
	RetryWait        time.Duration // How long a batch that was not sent is retried; 0 means 1 s.
	MaxBatchSize     int           // Maximum size of a batch in bytes; 0 means 64 MB.
	Now              func() time.Time
	// retryAfterSend disables the rule that a batch that may write is sent at
	// most once. Tests set it to verify that they detect a violation of the
	// rule.
	retryAfterSend bool

	mu            sync.Mutex
	listeners     map[net.Listener]struct{}
	sessions      map[uint32]*session // Keyed by the process ID in the cancel key.
	draining      bool
	ending        bool // See endReading.
	closed        bool
	done          chan struct{}
	goroutines    sync.WaitGroup
	retryBudget   retryBudget
	sampleWaiters sampleWaiters
}

// Serve accepts connections until the listener is closed or Drain or Close is
// called.
func (a *Acceptor) Serve(l net.Listener) error {
	if a.TLS == nil && !isLoopback(l.Addr()) {
		return errors.Wrapf(ErrTLSRequired, "listener %s", l.Addr())
	}
	if !a.registerListener(l) {
		return errors.Wrapf(l.Close(), "close listener %s", l.Addr())
	}
	for {
		nc, err := l.Accept()
		if err != nil {
			if a.stopped() {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			return errors.Wrap(err, "accept")
		}
		if !a.startSession(nc) {
			_ = nc.Close()
		}
	}
}

func (a *Acceptor) registerListener(l net.Listener) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining || a.closed {
		return false
	}
	if a.listeners == nil {
		a.listeners = map[net.Listener]struct{}{}
	}
	a.listeners[l] = struct{}{}
	if a.done == nil {
		a.done = make(chan struct{})
		a.goroutines.Add(1)
		go a.wakeRevokedSessions()
		if a.SampledPosition != nil {
			a.goroutines.Add(1)
			go a.pollSamples()
		}
	}
	return true
}

func (a *Acceptor) stopped() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining || a.closed
}

func (a *Acceptor) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

func (a *Acceptor) isClosed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closed
}

// startSession starts the session of an accepted connection on its own
// goroutine. It returns false if the acceptor is draining or closed.
func (a *Acceptor) startSession(nc net.Conn) bool {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetKeepAlivePeriod(keepAlivePeriod)
	}
	s := &session{acceptor: a, conn: nc, txStatus: 'I'}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining || a.closed {
		return false
	}
	if a.sessions == nil {
		a.sessions = map[uint32]*session{}
	}
	s.assignCancelKey(func(pid uint32) bool { return a.sessions[pid] == nil })
	a.sessions[s.processID] = s
	a.goroutines.Add(1)
	go s.run()
	return true
}

func (a *Acceptor) removeSession(s *session) {
	a.mu.Lock()
	delete(a.sessions, s.processID)
	a.mu.Unlock()
}

// wakeRevokedSessions wakes the sessions that lost their access through a
// configuration change, so that idle ones end too.
func (a *Acceptor) wakeRevokedSessions() {
	defer a.goroutines.Done()
	tick := time.NewTicker(accessCheckInterval)
	defer tick.Stop()
	var checked configurer.View
	for {
		select {
		case <-a.done:
			return
		case <-tick.C:
		}
		if v, err := a.View(); err == nil && v != checked {
			checked = v
			for _, s := range a.listSessions() {
				if s.accessRevoked(v) {
					s.wake()
				}
			}
		}
	}
}

func (a *Acceptor) listSessions() []*session {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]*session, 0, len(a.sessions))
	for _, s := range a.sessions {
		all = append(all, s)
	}
	return all
}

// Drain stops accepting connections and ends idle sessions with SQLSTATE 57P01.
// Open transactions may finish until shortly before ctx is done. Then no further
// statement is read, sessions in a transaction end with 57P01 too, and what still runs
// when ctx is done ends with an error, so that every statement that was read is
// answered. It returns the number of sessions whose transaction or statement it ended.
func (a *Acceptor) Drain(ctx context.Context) int {
	a.mu.Lock()
	a.draining = true
	for l := range a.listeners {
		_ = l.Close()
	}
	a.mu.Unlock()
	for _, s := range a.listSessions() {
		s.wake()
	}
	readCtx, cancel := untilAnswerPeriod(ctx)
	a.awaitSessions(readCtx)
	cancel()
	interrupted := a.endReading()
	a.awaitSessions(ctx)
	running := a.listSessions()
	for _, s := range running {
		s.closeActiveConn()
	}
	lastCtx, cancel := context.WithTimeout(context.Background(), lastAnswerTimeout)
	defer cancel()
	a.awaitSessions(lastCtx)
	a.Log.Info().Str("event", "drained").Int("interrupted", interrupted).Int("statements_ended", len(running)).Send()
	return interrupted
}

const (
	// answerPeriod is the last part of a drain, in which the statements that were read
	// are answered.
	answerPeriod = time.Second
	// lastAnswerTimeout limits the answers to statements that are ended after it.
	lastAnswerTimeout = 250 * time.Millisecond
)

// untilAnswerPeriod returns a context that is done [answerPeriod] before the deadline of
// ctx, and after half of the time if that is less.
func untilAnswerPeriod(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-min(answerPeriod, time.Until(deadline)/2)))
}

// endReading makes every session end as soon as no statement runs in it. It returns the
// number of sessions that were open.
func (a *Acceptor) endReading() int {
	a.mu.Lock()
	a.ending = true
	a.mu.Unlock()
	sessions := a.listSessions()
	for _, s := range sessions {
		s.wake()
	}
	return len(sessions)
}

// isEnding reports whether sessions end although a transaction is open.
func (a *Acceptor) isEnding() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ending
}

func (a *Acceptor) awaitSessions(ctx context.Context) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for len(a.listSessions()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Close closes all sessions immediately and waits for their goroutines.
func (a *Acceptor) Close() {
	a.mu.Lock()
	first := !a.closed
	a.closed = true
	if first && a.done != nil {
		close(a.done)
	}
	for l := range a.listeners {
		_ = l.Close()
	}
	for _, s := range a.sessions {
		_ = s.conn.Close()
		s.closeActiveConn()
	}
	a.mu.Unlock()
	a.goroutines.Wait()
}

func (a *Acceptor) now() time.Time {
	if a.Now == nil {
		return time.Now()
	}
	return a.Now()
}

func isLoopback(addr net.Addr) bool {
	tcp, ok := addr.(*net.TCPAddr)
	return !ok || tcp.IP.IsLoopback()
}

func orDefault[T int | time.Duration](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}
