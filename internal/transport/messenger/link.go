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

// path is the URL path of the WebSocket endpoint.
const path = "/v1/peer"

// link is an outbound connection to one peer.
type link struct {
	messenger *Messenger
	peer      Peer
	ready     chan struct{} // Closed once the first connection stands.
	done      chan struct{}
	once      sync.Once
	lastUse   atomic.Int64 // Unix nanoseconds of the last request.
	// lastAnswer is the time of the last message from the peer, in Unix
	// nanoseconds.
	lastAnswer atomic.Int64
	checking   atomic.Bool // A ping outside of the regular ones is under way.
	nextID     atomic.Uint64

	mu      sync.Mutex
	conn    *websocket.Conn
	cause   error
	pending map[uint64]chan answer
}

// answer is the outcome of one request.
type answer struct {
	body any
	err  error
}

func newLink(m *Messenger, p Peer) *link {
	l := &link{
		messenger: m,
		peer:      p,
		ready:     make(chan struct{}),
		done:      make(chan struct{}),
		pending:   map[uint64]chan answer{},
	}
	l.lastUse.Store(time.Now().UnixNano())
	return l
}

// request sends one request and waits for its answer.
func (l *link) request(ctx context.Context, body any) (any, error) {
	l.lastUse.Store(time.Now().UnixNano())
	select {
	case <-l.ready:
	case <-l.done:
		return nil, l.reason()
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrUnreachable, "instance %s: no connection in time", l.peer.ID)
	}
	id := l.nextID.Add(1)
	data, err := l.messenger.Encoder.Encode(id, 0, body)
	if err != nil {
		return nil, err
	}
	result, conn, err := l.expect(id)
	if err != nil {
		return nil, err
	}
	defer l.forget(id)
	if err := l.messenger.write(ctx, conn, data); err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "instance %s: %v", l.peer.ID, err)
	}
	select {
	case a := <-result:
		return a.body, a.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrUnreachable, "instance %s: no answer in time", l.peer.ID)
	}
}

// run dials once, reads replies until the connection ends, and removes the
// link. Requests after that start a new link, delayed by the dial's backoff.
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
	close(l.ready)
	ctx, cancel := l.context()
	defer cancel()
	beat := make(chan struct{})
	go func() {
		defer close(beat)
		l.heartbeat(ctx, conn)
	}()
	l.close(l.read(ctx, conn))
	cancel()
	<-beat
}

// dialWithRetries dials with exponential backoff and jitter while requests
// wait, so that a restarted peer is not met by all others at the same moment.
func (l *link) dialWithRetries() (*websocket.Conn, error) {
	ctx, cancel := l.context()
	defer cancel()
	delay := redialMinimum
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
		delay = min(2*delay, redialMaximum)
	}
}

// dial opens a connection and exchanges the hello messages.
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
	conn, response, err := websocket.Dial(ctx, scheme+"://"+l.peer.Address+path, &websocket.DialOptions{
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

// read hands replies to their requests until the connection ends.
func (l *link) read(ctx context.Context, conn *websocket.Conn) error {
	for {
		data, err := l.messenger.read(ctx, conn)
		if err != nil {
			return errors.Wrapf(ErrUnreachable, "instance %s: %v", l.peer.ID, err)
		}
		envelope, body, err := l.messenger.Encoder.Decode(data)
		if errors.Is(err, encoder.ErrMalformed) {
			return errors.Wrapf(err, "instance %s", l.peer.ID)
		}
		if err != nil {
			l.messenger.Counters.UnknownTypes.Add(1)
		}
		if failure, ok := body.(encoder.Error); ok {
			body, err = nil, errors.Wrapf(ErrRemote, "instance %s: %s", l.peer.ID, failure.Text)
		}
		if _, ok := body.(encoder.Hello); ok {
			body = nil // An empty reply.
		}
		l.deliver(envelope.ReplyTo, answer{body, err})
	}
}

// heartbeat closes the connection when pings go unanswered, or when the link
// has been idle for long.
func (l *link) heartbeat(ctx context.Context, conn *websocket.Conn) {
	period := l.messenger.ping()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(time.Unix(0, l.lastUse.Load())) > l.messenger.idle() {
			l.close(errors.Wrap(ErrUnreachable, "link was idle"))
			return
		}
		pingCtx, cancel := context.WithTimeout(ctx, missedPings*period)
		err := conn.Ping(pingCtx)
		cancel()
		if err != nil {
			l.close(errors.Wrapf(ErrUnreachable, "instance %s: no answer to pings", l.peer.ID))
			return
		}
	}
}

// check pings once, with a short deadline, and ends the link without an answer.
func (l *link) check() {
	defer l.checking.Store(false)
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
	}
}

// expect registers a request before it is sent.
func (l *link) expect(id uint64) (chan answer, *websocket.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cause != nil {
		return nil, nil, l.cause
	}
	if len(l.pending) >= maxInFlight {
		return nil, nil, errors.Wrapf(ErrBusy, "instance %s", l.peer.ID)
	}
	result := make(chan answer, 1)
	l.pending[id] = result
	return result, l.conn, nil
}

func (l *link) deliver(id uint64, a answer) {
	l.lastAnswer.Store(time.Now().UnixNano())
	l.mu.Lock()
	result, ok := l.pending[id]
	delete(l.pending, id)
	l.mu.Unlock()
	if ok {
		result <- a
	}
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
}

func (l *link) reason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cause
}

// close ends the link and fails the requests that wait. They may have been
// handled, whatever ended the link.
func (l *link) close(cause error) {
	l.once.Do(func() {
		l.messenger.remove(l)
		l.mu.Lock()
		l.cause = cause
		conn := l.conn
		pending := l.pending
		l.pending = map[uint64]chan answer{}
		l.mu.Unlock()
		close(l.done)
		for _, result := range pending {
			result <- answer{err: errors.Wrapf(ErrUnreachable, "instance %s: the link ended before the answer: %v", l.peer.ID, cause)}
		}
		if conn != nil {
			_ = conn.CloseNow()
		}
	})
}

// context returns a context that ends with the link.
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
