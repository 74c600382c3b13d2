package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/protocol/encoder"
	"oleanderpulley/internal/state/identifier"
)

// Limits, intervals and timeouts of links.
const (
	DefaultPing = time.Second      // Interval between pings; a link is closed after three without an answer.
	DefaultIdle = 30 * time.Second // A link is closed after this time without a request.

	missedPings = 3
	// unusedPingPeriods is the number of intervals between two pings on a link
	// that is not in use.
	unusedPingPeriods = 5
	checkTimeout      = 400 * time.Millisecond // For the ping of Check after a request without a reply.
	// checkInterval is the time without anything from the peer after which a
	// request in flight checks the link.
	checkInterval = 100 * time.Millisecond
	// repeatTimeout is the time without anything from the peer, not even an answer
	// to the ping of a check, after which a repeatable request ends. It is longer
	// than the pause of a process that has used up its processor quota of a tenth
	// of a second.
	repeatTimeout  = 250 * time.Millisecond
	maxInFlight    = 256 // Pending requests on one link.
	maxHandlers    = 32  // Concurrent handlers for one inbound link.
	dialTimeout    = time.Second
	headerTimeout  = 5 * time.Second
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	writeTimeout   = 2 * time.Second
	requestTimeout = 2 * time.Second // Applies when the caller's context has no deadline.
)

// Sentinel errors of requests. [ErrUnknownPeer], [ErrNotConnected], [ErrBusy] and
// [ErrClosed] mean that the request was not sent; after any other error, the peer
// may have handled it.
var (
	ErrUnknownPeer = errors.New("peer is not known")
	ErrUnreachable = errors.New("peer is not reachable")
	// ErrNotConnected is an [ErrUnreachable] of a request that was not sent.
	ErrNotConnected = errors.WithMessage(ErrUnreachable, "no connection")
	ErrBusy         = errors.New("too many requests in flight to the peer")
	ErrRemote       = errors.New("peer failed to handle the request")
	ErrClosed       = errors.New("messenger is closed")
)

// Peer identifies an instance and the address of its messenger.
type Peer struct {
	ID         identifier.InstanceID
	DataCentre identifier.DataCentre
	Address    string // IP address and port.
}

// Messenger sends requests to peers and passes their requests to Handle.
type Messenger struct {
	Self    encoder.Hello
	Encoder *encoder.Encoder
	// Handle processes a request from a peer. The reply has a type that is
	// registered with the encoder, or is nil for an empty reply.
	Handle func(ctx context.Context, from encoder.Hello, body any) (any, error)
	// TLS is required unless the listener is on loopback or AllowPlaintext is
	// set. It must require client certificates and present a certificate of its
	// own.
	TLS *tls.Config
	// AllowPlaintext allows a listener without TLS on an address other than
	// loopback, for a network that only instances can reach.
	AllowPlaintext bool
	Logger         zerolog.Logger
	// Dial opens the TCP connection to a peer; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Ping time.Duration // 0 means [DefaultPing].
	Idle time.Duration // 0 means [DefaultIdle].

	Counters Counters

	mu     sync.Mutex
	peers  map[identifier.InstanceID]Peer
	links  map[identifier.InstanceID]*link
	server *http.Server
	done   chan struct{}
	closed bool
	tasks  sync.WaitGroup
}

// Counters are the totals of a messenger's traffic since its start.
type Counters struct {
	MessagesSent, MessagesReceived atomic.Int64
	BytesSent, BytesReceived       atomic.Int64
	UnknownTypes, MalformedBodies  atomic.Int64 // Received messages that another build sent.
	Panics                         atomic.Int64 // Of handlers.
}

// Start listens on the address, an IP address with a port, and returns the
// address that the listener is bound to. Without TLS, it returns an error for an
// address other than loopback unless AllowPlaintext is set.
func (m *Messenger) Start(address string) (net.Addr, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listening for peers")
	}
	if tcp, ok := listener.Addr().(*net.TCPAddr); ok && !tcp.IP.IsLoopback() && m.TLS == nil && !m.AllowPlaintext {
		_ = listener.Close()
		return nil, errors.Errorf("peer address %s is not on loopback and has no TLS", address)
	}
	boundAddress := listener.Addr()
	if m.TLS != nil {
		listener = tls.NewListener(listener, m.TLS)
	}
	server := &http.Server{Handler: http.HandlerFunc(m.serveLink), ReadHeaderTimeout: headerTimeout}
	m.mu.Lock()
	m.initialize()
	m.server = server
	m.mu.Unlock()
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		_ = server.Serve(listener) // Ends with ErrServerClosed on Close.
	}()
	return boundAddress, nil
}

// SetPeers replaces the list of known peers. Links to peers that are no longer
// in it, or whose entry has changed, are closed.
func (m *Messenger) SetPeers(peers []Peer) {
	next := make(map[identifier.InstanceID]Peer, len(peers))
	for _, p := range peers {
		if p.ID != m.Self.Instance {
			next[p.ID] = p
		}
	}
	m.mu.Lock()
	m.initialize()
	m.peers = next
	var stale []*link
	for id, l := range m.links {
		if next[id] != l.peer {
			stale = append(stale, l)
			delete(m.links, id)
		}
	}
	m.mu.Unlock()
	for _, l := range stale {
		l.close(ErrUnknownPeer)
	}
}

// Peers returns the known peers in no particular order.
func (m *Messenger) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		peers = append(peers, p)
	}
	return peers
}

// Request sends the body to a peer and returns the body of its reply, nil for
// an empty reply. It waits until the context ends, or two seconds if the context
// has no deadline. [ErrRemote] means that the peer's handler failed;
// [ErrUnknownPeer], [ErrNotConnected], [ErrBusy] and [ErrClosed] mean that the
// request was not sent; after any other error, the peer may have handled it. A peer
// that answers neither the request nor a ping for about half a second ends all
// requests on its link with [ErrUnreachable].
func (m *Messenger) Request(ctx context.Context, to identifier.InstanceID, body any) (any, error) {
	return m.request(ctx, to, body, false)
}

// RequestRepeatable is [Messenger.Request] for a request that can be sent to another
// peer as well. It returns [ErrUnreachable] once nothing was received from the peer
// for [repeatTimeout], before the context ends. The peer may have handled the
// request.
func (m *Messenger) RequestRepeatable(ctx context.Context, to identifier.InstanceID, body any) (any, error) {
	return m.request(ctx, to, body, true)
}

func (m *Messenger) request(ctx context.Context, to identifier.InstanceID, body any, repeatable bool) (any, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, requestTimeout)
		defer cancel()
	}
	l, err := m.link(to)
	if err != nil {
		return nil, err
	}
	return l.request(ctx, body, repeatable)
}

// Connected reports whether a link to the peer is established. If there is none,
// it starts to dial one in the background, so that a later call may return true.
func (m *Messenger) Connected(to identifier.InstanceID) bool {
	l, err := m.link(to)
	if err != nil {
		return false
	}
	l.lastUse.Store(time.Now().UnixNano())
	return l.isConnected()
}

// Links returns the number of outbound links, including those being opened.
func (m *Messenger) Links() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// HasLink reports whether a link to the peer is established. It dials none.
func (m *Messenger) HasLink(to identifier.InstanceID) bool {
	m.mu.Lock()
	l, ok := m.links[to]
	m.mu.Unlock()
	return ok && l.isConnected()
}

// WaitConnected waits until a link to the peer is established, at most for the
// limit, and reports whether one is. It dials one if there is none.
func (m *Messenger) WaitConnected(to identifier.InstanceID, limit time.Duration) bool {
	l, err := m.link(to)
	if err != nil {
		return false
	}
	l.lastUse.Store(time.Now().UnixNano())
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-l.connected:
		return m.Connected(to)
	case <-l.done:
		return false
	case <-timer.C:
		return false
	}
}

// Check pings the peer in the background if nothing was received from it since
// the given time, and closes the link if the ping is not answered. Callers use it
// after a request without a reply. It detects an unresponsive connection sooner
// than the periodic pings do. The link of a peer that is only slow stays open, so
// that the other requests on it succeed.
func (m *Messenger) Check(to identifier.InstanceID, since time.Time) {
	m.mu.Lock()
	l, ok := m.links[to]
	m.mu.Unlock()
	if ok {
		l.check(since)
	}
}

// Close closes the listener and all links and waits for their goroutines.
func (m *Messenger) Close() {
	m.mu.Lock()
	m.initialize()
	if m.closed {
		m.mu.Unlock()
		return
	}
	m.closed = true
	close(m.done)
	links := m.links
	m.links = nil
	server := m.server
	m.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	for _, l := range links {
		l.close(ErrClosed)
	}
	m.tasks.Wait()
}

// link returns the link to a peer and starts to dial one if there is none.
func (m *Messenger) link(to identifier.InstanceID) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.initialize()
	if m.closed {
		return nil, ErrClosed
	}
	if l, ok := m.links[to]; ok {
		return l, nil
	}
	p, ok := m.peers[to]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownPeer, "instance %s", to)
	}
	l := newLink(m, p)
	m.links[to] = l
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		l.run()
	}()
	return l, nil
}

// remove deletes a link that has ended, so that the next request dials a new one.
func (m *Messenger) remove(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer.ID] == l {
		delete(m.links, l.peer.ID)
	}
}

// initialize makes the zero value usable. The caller holds mu.
func (m *Messenger) initialize() {
	if m.done == nil {
		m.done = make(chan struct{})
		m.links = map[identifier.InstanceID]*link{}
	}
}

func (m *Messenger) pingInterval() time.Duration {
	if m.Ping > 0 {
		return m.Ping
	}
	return DefaultPing
}

func (m *Messenger) idleTimeout() time.Duration {
	if m.Idle > 0 {
		return m.Idle
	}
	return DefaultIdle
}
