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

// Bounds and periods of links.
const (
	DefaultPing = time.Second      // Period of pings; a link is closed after three without an answer.
	DefaultIdle = 30 * time.Second // A link without requests for this long is closed.

	missedPings    = 3
	checkTimeout   = 400 * time.Millisecond // Of a ping after a request without an answer.
	maxInFlight    = 256                    // Requests without an answer on one link.
	maxHandlers    = 32                     // Handlers running for one inbound link.
	dialTimeout    = time.Second
	headerTimeout  = 5 * time.Second
	redialMinimum  = 50 * time.Millisecond
	redialMaximum  = 2 * time.Second
	writeTimeout   = 2 * time.Second
	requestTimeout = 2 * time.Second // Used when the caller's context has no deadline.
)

// Sentinel errors of requests. [ErrUnknownPeer], [ErrBusy] and [ErrClosed] tell
// that the request was not sent; after any other one it may have been handled.
var (
	ErrUnknownPeer = errors.New("peer is not known")
	ErrUnreachable = errors.New("peer is not reachable")
	ErrBusy        = errors.New("too many requests in flight to the peer")
	ErrRemote      = errors.New("peer failed to handle the request")
	ErrClosed      = errors.New("messenger is closed")
)

// Peer is an instance that can be sent requests.
type Peer struct {
	ID         identifier.InstanceID
	DataCentre identifier.DataCentre
	Address    string // IP address and port of its messenger.
}

// Messenger sends requests to peers and answers theirs.
type Messenger struct {
	Self    encoder.Hello
	Encoder *encoder.Encoder
	// Handle answers a request. The reply is a registered type, or nil for
	// an empty reply.
	Handle func(ctx context.Context, from encoder.Hello, body any) (any, error)
	// TLS is required off loopback; it must ask for and present certificates.
	TLS *tls.Config
	// Private allows a listener without TLS off loopback, for a network that
	// only instances reach.
	Private bool
	Logger  zerolog.Logger
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

// Counters count the traffic of a messenger since its start.
type Counters struct {
	MessagesSent, MessagesReceived atomic.Int64
	BytesSent, BytesReceived       atomic.Int64
	UnknownTypes                   atomic.Int64
}

// Start listens on the address, an IP address with a port, and returns the
// address that it listens on. It refuses to listen off loopback without TLS.
func (m *Messenger) Start(address string) (net.Addr, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listening for peers")
	}
	if tcp, ok := listener.Addr().(*net.TCPAddr); ok && !tcp.IP.IsLoopback() && m.TLS == nil && !m.Private {
		_ = listener.Close()
		return nil, errors.Errorf("peer address %s is not on loopback and has no TLS", address)
	}
	bound := listener.Addr()
	if m.TLS != nil {
		listener = tls.NewListener(listener, m.TLS)
	}
	server := &http.Server{Handler: http.HandlerFunc(m.serve), ReadHeaderTimeout: headerTimeout}
	m.mu.Lock()
	m.setUp()
	m.server = server
	m.mu.Unlock()
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		_ = server.Serve(listener) // Ends with ErrServerClosed on Close.
	}()
	return bound, nil
}

// SetPeers replaces the address book. Links to peers that are gone or have
// moved are closed.
func (m *Messenger) SetPeers(peers []Peer) {
	next := make(map[identifier.InstanceID]Peer, len(peers))
	for _, p := range peers {
		if p.ID != m.Self.Instance {
			next[p.ID] = p
		}
	}
	m.mu.Lock()
	m.setUp()
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

// Peers returns the address book.
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
// an empty reply. It waits until the context ends, or two seconds without a
// deadline. An error other than [ErrRemote] leaves open whether the peer
// handled the request.
func (m *Messenger) Request(ctx context.Context, to identifier.InstanceID, body any) (any, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, requestTimeout)
		defer cancel()
	}
	l, err := m.link(to)
	if err != nil {
		return nil, err
	}
	return l.request(ctx, body)
}

// Connected reports whether a link to the peer stands. Without one it starts
// one, so that a later call may find it.
func (m *Messenger) Connected(to identifier.InstanceID) bool {
	l, err := m.link(to)
	if err != nil {
		return false
	}
	l.lastUse.Store(time.Now().UnixNano())
	select {
	case <-l.done:
		return false
	case <-l.ready:
		return true
	default:
		return false
	}
}

// Await waits until a link to the peer stands, at most for the time, and reports
// whether one does. It starts one if there is none.
func (m *Messenger) Await(to identifier.InstanceID, limit time.Duration) bool {
	l, err := m.link(to)
	if err != nil {
		return false
	}
	l.lastUse.Store(time.Now().UnixNano())
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-l.ready:
		return m.Connected(to)
	case <-l.done:
		return false
	case <-timer.C:
		return false
	}
}

// Check pings a peer that has sent nothing since the time and ends the link if
// no answer comes. A connection that has gone silent is found sooner by it than
// by the regular pings, and the requests on the link of a peer that is only
// slow are not lost.
func (m *Messenger) Check(to identifier.InstanceID, since time.Time) {
	m.mu.Lock()
	l, ok := m.links[to]
	m.mu.Unlock()
	if ok && l.lastAnswer.Load() < since.UnixNano() && l.checking.CompareAndSwap(false, true) {
		go l.check()
	}
}

// Close ends all links and waits for their tasks.
func (m *Messenger) Close() {
	m.mu.Lock()
	m.setUp()
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

// link returns the link to a peer and starts one if there is none.
func (m *Messenger) link(to identifier.InstanceID) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setUp()
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

// remove forgets a link that has ended, so that the next request dials anew.
func (m *Messenger) remove(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer.ID] == l {
		delete(m.links, l.peer.ID)
	}
}

func (m *Messenger) setUp() {
	if m.done == nil {
		m.done = make(chan struct{})
		m.links = map[identifier.InstanceID]*link{}
	}
}

func (m *Messenger) ping() time.Duration {
	if m.Ping > 0 {
		return m.Ping
	}
	return DefaultPing
}

func (m *Messenger) idle() time.Duration {
	if m.Idle > 0 {
		return m.Idle
	}
	return DefaultIdle
}
