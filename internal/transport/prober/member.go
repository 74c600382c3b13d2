package prober

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// ErrNoAnswer reports a member that did not answer on a new connection.
var ErrNoAnswer = errors.New("no answer on a new connection")

// member samples one member of a group in its own goroutine.
type member struct {
	Member
	service identifier.ServiceName
	prober  *Prober
	group   *group

	sampleRequest  chan struct{}
	suspected      atomic.Bool
	connectionLost bool // An open connection broke or was replaced since the last successful query on a new one.
	cancel         context.CancelFunc
	done           chan struct{}

	// The fields below, and connectionLost, are used only by the goroutine.
	conn           *pgconn.PgConn
	lastSample     time.Time     // When the last sample was started.
	lastAnswered   time.Time     // When the last query that was answered was sent.
	lastRoundTrip  time.Duration // Duration of the last query that was answered.
	failedAttempts int
}

func (p *Prober) startMember(service identifier.ServiceName, g *group, m Member) *member {
	ctx, cancel := context.WithCancel(context.Background())
	started := &member{
		Member: m, service: service, prober: p, group: g,
		sampleRequest: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}),
	}
	go started.run(ctx)
	return started
}

func (m *member) close() {
	m.cancel()
	<-m.done
}

func (m *member) run(ctx context.Context) {
	defer close(m.done)
	defer func() { closeConn(m.conn) }()
	for m.waitUntilDue(ctx) {
		m.lastSample = m.prober.now()
		m.sample(ctx)
	}
}

// waitUntilDue waits until the next sample is due and returns true, or returns
// false when the context ends. While its group is not in use, the member waits
// for a sample request and closes its connection after a while.
func (m *member) waitUntilDue(ctx context.Context) bool {
	times := m.prober.Times
	for {
		interval := orDefault(times.Sample, 400*time.Millisecond)
		if m.failedAttempts > 0 {
			interval = orDefault(times.Retry, 200*time.Millisecond)
		}
		unused := m.prober.now().UnixNano()-m.group.lastUse.Load() > int64(m.prober.idleTimeout())
		if unused {
			interval = orDefault(times.Disconnect, 30*time.Second)
		}
		due := time.NewTimer(interval - m.prober.now().Sub(m.lastSample))
		select {
		case <-ctx.Done():
			due.Stop()
			return false
		case <-m.sampleRequest:
			due.Stop()
			return m.waitMinimumInterval(ctx, orDefault(times.MinDemandInterval, 10*time.Millisecond))
		case <-due.C:
		}
		if !unused && m.prober.now().UnixNano()-m.group.lastUse.Load() <= int64(m.prober.idleTimeout()) {
			return true
		}
		if unused && m.conn != nil {
			m.closeConnection()
		}
		if unused {
			m.lastSample = m.prober.now()
		}
	}
}

// waitMinimumInterval waits until the minimum time since the last sample has
// passed. It returns false when the context ends.
func (m *member) waitMinimumInterval(ctx context.Context, least time.Duration) bool {
	if m.failedAttempts > 0 {
		least = orDefault(m.prober.Times.Retry, 200*time.Millisecond)
	}
	t := time.NewTimer(least - m.prober.now().Sub(m.lastSample))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// sample queries the member's status on the open connection. Without one, or if
// it breaks, it uses a new connection.
func (m *member) sample(ctx context.Context) {
	if m.conn != nil {
		old := m.query(ctx, m.conn, m.prober.now())
		select {
		case r := <-old:
			if m.recordResult(r) {
				return
			}
			// A broken connection is no evidence against the member: try a new one.
		case <-time.After(m.repeatDelay()):
			m.repeatOnNewConnection(ctx, old)
			return
		}
	}
	m.recordNewConnection(<-m.queryOnNewConnection(ctx))
}

// repeatOnNewConnection repeats a query that is not answered on the old
// connection on a new one. The first answer is used, so that a slow member is not
// mistaken for a failed one.
func (m *member) repeatOnNewConnection(ctx context.Context, old <-chan queryResult) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	repeated := m.queryOnNewConnection(ctx)
	for {
		select {
		case r := <-old:
			old = nil
			if r.err == nil {
				m.recordResult(r)
				cancel()
				if late := <-repeated; late.conn != m.conn {
					closeConn(late.conn)
				}
				return
			}
		case r := <-repeated:
			oldConn := m.conn
			m.connectionLost = true
			m.recordNewConnection(r)
			if oldConn != nil && oldConn != m.conn {
				closeConn(oldConn)
			}
			if old != nil {
				<-old
			}
			return
		}
	}
}

// queryResult is the result of a status query and the connection it was sent on.
type queryResult struct {
	conn           *pgconn.PgConn
	status         tracker.MemberStatus
	sent, received time.Time
	err            error
}

// query sends a status query on the connection. It fails after the answer
// timeout.
func (m *member) query(ctx context.Context, conn *pgconn.PgConn, sent time.Time) <-chan queryResult {
	out := make(chan queryResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, m.answerTimeout())
		defer cancel()
		st, err := m.prober.queryStatus(ctx, conn, m.Server)
		out <- queryResult{conn: conn, status: st, sent: sent, received: m.prober.now(), err: err}
	}()
	return out
}

// queryOnNewConnection opens a connection and sends a status query on it. The
// answer timeout applies to each of the two steps separately, so that a slow
// member is not suspected.
func (m *member) queryOnNewConnection(ctx context.Context) <-chan queryResult {
	out := make(chan queryResult, 1)
	go func() {
		opening, cancel := context.WithTimeout(ctx, m.answerTimeout())
		defer cancel()
		conn, err := m.prober.connect(opening, m.service, m.Address)
		if err != nil {
			if opening.Err() != nil && ctx.Err() == nil {
				err = errors.Wrap(ErrNoAnswer, err.Error())
			}
			out <- queryResult{err: err}
			return
		}
		r := <-m.query(ctx, conn, m.prober.now())
		if r.err != nil && errors.Is(r.err, context.DeadlineExceeded) {
			r.err = errors.Wrap(ErrNoAnswer, r.err.Error())
		}
		out <- r
	}()
	return out
}

// recordResult records the result of a query on the open connection. If the query
// failed, it closes the connection and returns false.
func (m *member) recordResult(r queryResult) bool {
	if r.err != nil {
		m.closeConnection()
		return false
	}
	m.failedAttempts = 0
	m.lastAnswered = r.sent
	m.lastRoundTrip = r.received.Sub(r.sent)
	m.suspected.Store(false)
	m.prober.OnStatus(m.service, r.status, r.sent, r.received)
	return true
}

// recordNewConnection records the result of a query on a new connection. A failure
// that meets the conditions in the package comment makes the member suspected.
func (m *member) recordNewConnection(r queryResult) {
	if r.err == nil {
		if m.connectionLost && m.prober.OnReconnected != nil {
			m.prober.OnReconnected(m.service, m.Server)
		}
		m.connectionLost = false
		m.conn = r.conn
		m.recordResult(r)
		return
	}
	closeConn(r.conn)
	m.closeConnection()
	if errors.Is(r.err, context.Canceled) {
		return
	}
	m.failedAttempts++
	if errors.Is(r.err, ErrNoAnswer) || m.failedAttempts >= orDefault(m.prober.Times.FailedAttempts, 3) {
		m.suspected.Store(true)
		if m.prober.OnSuspected != nil {
			m.prober.OnSuspected(m.service, m.Server, r.err, m.lastAnswered)
		}
	}
}

// closeConnection closes the open connection, if any, and reports through
// OnConnectionLost that the member's position is no longer known.
func (m *member) closeConnection() {
	if m.conn != nil {
		closeConn(m.conn)
		m.conn = nil
		m.connectionLost = true
	}
	if m.prober.OnConnectionLost != nil {
		m.prober.OnConnectionLost(m.service, m.Server)
	}
}

// repeatDelay returns after how long an unanswered query is repeated on a new
// connection. The delay adds to the time in which an unresponsive primary is
// detected, so it is short for a member that answers fast. For a slow member it is
// longer, to avoid loading it with further connections.
func (m *member) repeatDelay() time.Duration {
	shortest := orDefault(m.prober.Times.RepeatDelay, 300*time.Millisecond)
	return min(max(shortest, 2*m.lastRoundTrip), max(shortest, orDefault(m.prober.Times.MaxRepeatDelay, time.Second)))
}

func (m *member) answerTimeout() time.Duration {
	return orDefault(m.prober.Times.AnswerTimeout, 2*time.Second)
}
