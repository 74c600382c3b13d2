package messenger

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/encoder"
)

// endpointPath is the URL path of the WebSocket endpoint.
const endpointPath = "/v1/peer"

// link is an outbound connection to one peer, with the requests in flight on it.
type link struct {
	messenger *Messenger
	peer      Peer
	connected chan struct{} // Closed when the connection is established.
	done      chan struct{} // Closed when the link ends.
	once      sync.Once     // Guards close.
	lastUse   atomic.Int64  // Unix nanoseconds of the last request.
	// lastReply is the time of the last message received from the peer, in
	// Unix nanoseconds.
	lastReply   atomic.Int64
	pingRunning atomic.Bool // A ping by closeIfUnresponsive is in flight.
	nextID      atomic.Uint64

	mu       sync.Mutex
	conn     *websocket.Conn
	closeErr error // Why the link ended; nil while it is open.
	pending  map[uint64]chan outcome
}

// outcome is the reply to one request, or the error that ended it.
type outcome struct {
	body any
	err  error
}

func newLink(m *Messenger, p Peer) *link {
	l := &link{
		messenger: m,
		peer:      p,
		connected: make(chan struct{}),
		done:      make(chan struct{}),
		pending:   map[uint64]chan outcome{},
	}
	l.lastUse.Store(time.Now().UnixNano())
	return l
}

// request sends one request and waits for its reply. It checks the link while the
// peer is silent. A repeatable request ends once the peer has been silent for
// [repeatTimeout].
func (l *link) request(ctx context.Context, body any, repeatable bool) (any, error) {
	l.lastUse.Store(time.Now().UnixNano())
	select {
	case <-l.connected:
	case <-l.done:
		return nil, errors.Wrapf(ErrNotConnected, "instance %s: %v", l.peer.ID, l.err())
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrNotConnected, "instance %s: no connection in time", l.peer.ID)
	}
	id := l.nextID.Add(1)
	data, err := l.messenger.Encoder.Encode(id, 0, body)
	if err != nil {
		return nil, err
	}
	result, conn, err := l.register(id)
	if err != nil {
		return nil, err
	}
	defer l.unregister(id)
	if err := l.messenger.write(ctx, conn, data); err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "instance %s: %v", l.peer.ID, err)
	}
	return l.awaitReply(ctx, result, repeatable)
}

// awaitReply waits for the outcome of a request that was sent just now.
func (l *link) awaitReply(ctx context.Context, result <-chan outcome, repeatable bool) (any, error) {
	sentAt := time.Now()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case o := <-result:
			return o.body, o.err
		case <-ctx.Done():
			return nil, errors.Wrapf(ErrUnreachable, "instance %s: no answer in time", l.peer.ID)
		case now := <-ticker.C:
			silentSince := time.Unix(0, max(sentAt.UnixNano(), l.lastReply.Load()))
			if repeatable && now.Sub(silentSince) >= repeatTimeout {
				return nil, errors.Wrapf(ErrUnreachable, "instance %s: nothing received", l.peer.ID)
			}
			l.check(now.Add(-checkInterval))
		}
	}
}

// check pings the peer in the background if nothing was received from it since the
// given time, and closes the link if the ping is not answered.
func (l *link) check(since time.Time) {
	if l.lastReply.Load() < since.UnixNano() && l.pingRunning.CompareAndSwap(false, true) {
		go l.closeIfUnresponsive()
	}
}

// isConnected reports whether the connection is established and has not ended.
func (l *link) isConnected() bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case <-l.connected:
		return true
	default:
		return false
	}
}

// run connects to the peer, reads replies until the connection ends, and removes
// the link. A later request starts a new link, which may wait for the backoff
// between dial attempts.
func (l *link) run() {
	defer l.messenger.remove(l)
	conn, err := l.dialWithRetries()
	if err != nil {
		l.close(err)
		return
	}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	close(l.connected)
	ctx, cancel := l.context()
	defer cancel()
	heartbeatDone := make(chan struct{})
	go func() {
		defer close(heartbeatDone)
		l.heartbeat(ctx, conn)
	}()
	l.close(l.readReplies(ctx, conn))
	cancel()
	<-heartbeatDone
}

// dialWithRetries dials with exponential backoff and jitter until it succeeds,
// the link is closed, or no request has used the link for requestTimeout. The
// jitter prevents all instances from dialling a restarted peer at the same
// moment.
func (l *link) dialWithRetries() (*websocket.Conn, error) {
	ctx, cancel := l.context()
	defer cancel()
	delay := minRedialDelay
	for {
		conn, err := l.dial(ctx)
		if err == nil {
			return conn, nil
		}
		if time.Since(time.Unix(0, l.lastUse.Load())) > requestTimeout {
			return nil, errors.Wrapf(ErrUnreachable, "instance %s: %v", l.peer.ID, err)
		}
		select {
		case <-time.After(delay/2 + rand.N(delay)):
		case <-ctx.Done():
			return nil, errors.Wrapf(ErrUnreachable, "instance %s: %v", l.peer.ID, err)
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// dial opens a connection, exchanges the hello messages and verifies that the
// peer at the address is the expected instance.
func (l *link) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	m := l.messenger
	transport := &http.Transport{DialContext: m.Dial, TLSClientConfig: m.TLS}
	defer transport.CloseIdleConnections()
	scheme := "ws"
	if m.TLS != nil {
		scheme = "wss"
	}
	conn, response, err := websocket.Dial(ctx, scheme+"://"+l.peer.Address+endpointPath, &websocket.DialOptions{
		HTTPClient:      &http.Client{Transport: transport},
		CompressionMode: websocket.CompressionDisabled,
	})
	if response != nil && response.Body != nil {
		defer func() { _ = response.Body.Close() }()
	}
	if err != nil {
		return nil, errors.Wrap(err, "dialling")
	}
	conn.SetReadLimit(encoder.MaxMessageBytes)
	hello, err := m.exchangeHello(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	if hello.Instance != l.peer.ID {
		_ = conn.CloseNow()
		return nil, errors.Errorf("address %s belongs to instance %s", l.peer.Address, hello.Instance)
	}
	return conn, nil
}

// readReplies receives replies and completes their requests until the connection
// ends.
func (l *link) readReplies(ctx context.Context, conn *websocket.Conn) error {
	for {
		data, err := l.messenger.read(ctx, conn)
		if err != nil {
			return errors.Wrapf(ErrUnreachable, "instance %s: %v", l.peer.ID, err)
		}
		envelope, body, err := l.messenger.Encoder.Decode(data)
		if err != nil && !isOfOtherBuild(err) {
			return errors.Wrapf(err, "instance %s", l.peer.ID)
		}
		if err != nil {
			l.messenger.Counters.countOfOtherBuild(err)
		}
		if failure, ok := body.(encoder.Error); ok {
			body, err = nil, errors.Wrapf(ErrRemote, "instance %s: %s", l.peer.ID, failure.Text)
		}
		if _, ok := body.(encoder.Hello); ok {
			body = nil // A hello as the reply stands for an empty one.
		}
		l.complete(envelope.ReplyTo, outcome{body, err})
	}
}

// heartbeat pings the peer when nothing was received from it for a while. It
// closes the link when pings are not answered or when no request has used it for
// the idle timeout. A link that is not in use is pinged rarely, so that the cost
// of an instance does not grow with the peers that it has used once.
func (l *link) heartbeat(ctx context.Context, conn *websocket.Conn) {
	period := l.messenger.pingInterval()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		unused := time.Since(time.Unix(0, l.lastUse.Load()))
		if unused > l.messenger.idleTimeout() {
			l.close(errors.Wrap(ErrUnreachable, "link was idle"))
			return
		}
		if !isPingDue(unused, time.Since(time.Unix(0, l.lastReply.Load())), period) {
			continue
		}
		pingCtx, cancel := context.WithTimeout(ctx, missedPings*period)
		err := conn.Ping(pingCtx)
		cancel()
		if err != nil {
			l.close(errors.Wrapf(ErrUnreachable, "instance %s: no answer to pings", l.peer.ID))
			return
		}
		l.lastReply.Store(time.Now().UnixNano())
	}
}

// isPingDue reports whether to ping a peer, given the time since the last use of
// its link and the time since anything was received from it.
func isPingDue(unused, silent, period time.Duration) bool {
	if unused > 2*period {
		return silent >= unusedPingPeriods*period
	}
	return silent >= period
}

// closeIfUnresponsive pings once with a short deadline and closes the link if no
// answer arrives.
func (l *link) closeIfUnresponsive() {
	defer l.pingRunning.Store(false)
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	if err := conn.Ping(ctx); err != nil {
		l.close(errors.Wrapf(ErrUnreachable, "instance %s: no answer to a ping", l.peer.ID))
		return
	}
	l.lastReply.Store(time.Now().UnixNano())
}

// register adds a request to the pending ones before it is sent and returns the
// channel that receives its outcome, and the connection to send it on.
func (l *link) register(id uint64) (chan outcome, *websocket.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeErr != nil {
		return nil, nil, errors.Wrapf(ErrNotConnected, "instance %s: %v", l.peer.ID, l.closeErr)
	}
	if len(l.pending) >= maxInFlight {
		return nil, nil, errors.Wrapf(ErrBusy, "instance %s", l.peer.ID)
	}
	result := make(chan outcome, 1)
	l.pending[id] = result
	return result, l.conn, nil
}

// complete passes the outcome to the request that waits for it. A reply to a
// request that has timed out is ignored.
func (l *link) complete(id uint64, o outcome) {
	l.lastReply.Store(time.Now().UnixNano())
	l.mu.Lock()
	result, ok := l.pending[id]
	delete(l.pending, id)
	l.mu.Unlock()
	if ok {
		result <- o
	}
}

// unregister removes a request from the pending ones.
func (l *link) unregister(id uint64) {
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
}

// err returns the error that the link was closed with.
func (l *link) err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closeErr
}

// close ends the link and fails the pending requests with [ErrUnreachable],
// whatever the cause: the peer may have handled them already.
func (l *link) close(cause error) {
	l.once.Do(func() {
		l.messenger.remove(l)
		l.mu.Lock()
		l.closeErr = cause
		conn := l.conn
		pending := l.pending
		l.pending = map[uint64]chan outcome{}
		l.mu.Unlock()
		close(l.done)
		for _, result := range pending {
			result <- outcome{err: errors.Wrapf(ErrUnreachable, "instance %s: the link ended before the answer: %v", l.peer.ID, cause)}
		}
		if conn != nil {
			_ = conn.CloseNow()
		}
	})
}

// context returns a context that is cancelled when the link ends.
func (l *link) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-l.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
