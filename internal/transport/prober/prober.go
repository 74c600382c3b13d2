package prober

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// ErrNotMember reports a backend server that is not a member of the service's group.
var ErrNotMember = errors.New("backend server is not a member of the group")

// Member is a backend server of a group.
type Member struct {
	Server  identifier.BackendServerID
	Address string // IP address and port.
}

// Intervals are the intervals, timeouts and thresholds of a prober. A zero field
// selects the default given with it.
type Intervals struct {
	Sample            time.Duration // Between periodic samples of a group in use: 400 ms.
	MinDemandInterval time.Duration // Minimum time between a sample and one on demand: 10 ms.
	Idle              time.Duration // A group counts as in use for this long after KeepSampled or RequestSample: 2 s.
	Disconnect        time.Duration // Until the connection to a member of an unused group is closed: 30 s.
	RepeatDelay       time.Duration // Until an unanswered query is repeated on a new connection: 300 ms.
	MaxRepeatDelay    time.Duration // Upper bound of that time for a member whose last answer was slow: 1 s.
	AnswerTimeout     time.Duration // Until a member is suspected that does not answer on a new connection: 2 s.
	Retry             time.Duration // Between attempts while a member cannot be queried: 200 ms.
	FailedAttempts    int           // Failed attempts in a row until the member is suspected: 3.
	Statement         time.Duration // Timeout of an administrative statement: 2 s.
}

// Counts are the totals of a prober's traffic since its start.
type Counts struct {
	Queries, Connections, Sent, Received uint64 // Sent and Received are in bytes.
}

// Prober samples the members of the groups in use. OnStatus must be set.
type Prober struct {
	User     string
	Password string // The proxy's own credential, not a client's.
	// Instance is sent as application_name and DataCentre as the startup
	// parameter oleanderpulley.data_centre. Both are visible in the backend
	// server's list of connections.
	Instance   identifier.InstanceID
	DataCentre identifier.DataCentre
	Times      Intervals

	// OnStatus is called with each status and the times at which its query was
	// sent and answered.
	OnStatus func(service identifier.ServiceName, st tracker.MemberStatus, sent, received time.Time)
	// OnConnectionLost, if not nil, is called when a member's connection was
	// closed or could not be opened, so that its last status is no longer used.
	OnConnectionLost func(service identifier.ServiceName, server identifier.BackendServerID)
	// OnSuspected, if not nil, is called when a member becomes suspected and
	// again after each further failed attempt. It gets the cause and the time
	// at which the last answered query was sent.
	OnSuspected func(service identifier.ServiceName, server identifier.BackendServerID, cause error, since time.Time)
	// OnReconnected, if not nil, is called when a query on a new connection
	// succeeds after an open connection broke or was not answered. Other
	// connections to the member that were opened earlier may be affected too
	// and should not be relied on.
	OnReconnected func(service identifier.ServiceName, server identifier.BackendServerID)
	// Dial opens a network connection; nil selects net.Dialer.
	Dial pgconn.DialFunc
	// Now returns the time of a monotonic clock; nil selects time.Now.
	Now func() time.Time

	mu     sync.Mutex
	closed bool
	groups sync.Map // identifier.ServiceName to *group.

	queries, connections, sent, received atomic.Uint64
}

// group holds the members of one service's group and when it was last used.
type group struct {
	lastUse atomic.Int64 // Unix nanoseconds of the last KeepSampled or RequestSample; 0 if never.
	members map[identifier.BackendServerID]*member
	// mu guards members. The map is replaced as a whole and never modified.
	mu sync.RWMutex
}

// SetGroup sets the members of a service's group. Sampling of members that are no
// longer listed ends and their connections are closed; nil removes the group.
func (p *Prober) SetGroup(service identifier.ServiceName, members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	v, _ := p.groups.LoadOrStore(service, &group{})
	g := v.(*group)
	next := map[identifier.BackendServerID]*member{}
	g.mu.RLock()
	old := g.members
	g.mu.RUnlock()
	for _, m := range members {
		if o := old[m.Server]; o != nil && o.Member == m {
			next[m.Server] = o
			continue
		}
		next[m.Server] = p.startMember(service, g, m)
	}
	g.mu.Lock()
	g.members = next
	g.mu.Unlock()
	for id, o := range old {
		if next[id] != o {
			o.close()
		}
	}
	if len(members) == 0 {
		p.groups.Delete(service)
	}
}

// KeepSampled marks the group as in use. If it was not, its members are sampled
// at once.
func (p *Prober) KeepSampled(service identifier.ServiceName) {
	g := p.group(service)
	if g == nil {
		return
	}
	now := p.now()
	last := g.lastUse.Swap(now.UnixNano())
	if now.UnixNano()-last > int64(p.idleTimeout()) {
		g.requestSamples()
	}
}

// RequestSample marks the group as in use and requests a sample of each of its
// members as soon as possible.
func (p *Prober) RequestSample(service identifier.ServiceName) {
	if g := p.group(service); g != nil {
		g.lastUse.Store(p.now().UnixNano())
		g.requestSamples()
	}
}

// Suspected reports whether the member is currently suspected of having failed.
func (p *Prober) Suspected(service identifier.ServiceName, server identifier.BackendServerID) bool {
	m, err := p.member(service, server)
	return err == nil && m.suspected.Load()
}

// Counts returns the totals since the start.
func (p *Prober) Counts() Counts {
	return Counts{
		Queries: p.queries.Load(), Connections: p.connections.Load(),
		Sent: p.sent.Load(), Received: p.received.Load(),
	}
}

// Close ends all goroutines, closes their connections and waits for them.
func (p *Prober) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.groups.Range(func(_, v any) bool {
		g := v.(*group)
		g.mu.RLock()
		defer g.mu.RUnlock()
		for _, m := range g.members {
			m.cancel()
		}
		for _, m := range g.members {
			<-m.done
		}
		return true
	})
}

func (p *Prober) group(service identifier.ServiceName) *group {
	v, ok := p.groups.Load(service)
	if !ok {
		return nil
	}
	return v.(*group)
}

func (p *Prober) member(service identifier.ServiceName, server identifier.BackendServerID) (*member, error) {
	if g := p.group(service); g != nil {
		g.mu.RLock()
		defer g.mu.RUnlock()
		if m := g.members[server]; m != nil {
			return m, nil
		}
	}
	return nil, errors.Wrapf(ErrNotMember, "backend server %s, service %s", server, service)
}

// requestSamples wakes the goroutine of each member to take a sample. A request
// that is already pending is not repeated.
func (g *group) requestSamples() {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, m := range g.members {
		select {
		case m.sampleRequest <- struct{}{}:
		default:
		}
	}
}

func (p *Prober) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

func (p *Prober) idleTimeout() time.Duration { return orDefault(p.Times.Idle, 2*time.Second) }

// orDefault returns v, or otherwise if v is zero.
func orDefault[T int | time.Duration](v, otherwise T) T {
	if v == 0 {
		return otherwise
	}
	return v
}

// connect opens a connection to a member for status queries or a statement.
func (p *Prober) connect(ctx context.Context, service identifier.ServiceName, address string) (*pgconn.PgConn, error) {
	config, err := p.config(service, address)
	if err != nil {
		return nil, err
	}
	p.connections.Add(1)
	conn, err := pgconn.ConnectConfig(ctx, config)
	return conn, errors.Wrapf(err, "connection to %s", address)
}

func (p *Prober) config(service identifier.ServiceName, address string) (*pgconn.Config, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	config, err := pgconn.ParseConfig("sslmode=disable host=" + host + " port=" + port)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	config.User, config.Password, config.Database = p.User, p.Password, string(service)
	config.RuntimeParams = map[string]string{"application_name": string(p.Instance)}
	if p.DataCentre != "" {
		config.RuntimeParams["oleanderpulley.data_centre"] = string(p.DataCentre)
	}
	config.Fallbacks = nil
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	// When a connection breaks, pgconn dials again to send a cancel request. The
	// second dial is refused here, because it would add a connection to a server
	// that already does not answer.
	dialed := false
	config.DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dialed {
			return nil, net.ErrClosed
		}
		dialed = true
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, prober: p}, nil
	}
	return config, nil
}

// countingConn adds the bytes of a connection to the prober's totals.
type countingConn struct {
	net.Conn
	prober *Prober
}

// Read implements [net.Conn].
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.prober.received.Add(uint64(n))
	return n, err
}

// Write implements [net.Conn].
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.prober.sent.Add(uint64(n))
	return n, err
}
