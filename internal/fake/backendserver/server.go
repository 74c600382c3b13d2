package backendserver

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/fake/allocator"
)

// Server is one member of a database group. Set the exported fields before
// Start; their zero values mean no limit, no cost and no lag.
type Server struct {
	// ID identifies the member in its status, its records and its log lineage.
	ID         string
	DataCentre string
	// Group connects members of the same process directly. Other members are
	// reached over TCP.
	Group *Group
	// Primary is the address of the primary to follow. If empty, the member
	// starts as the primary of term 1.
	Primary string
	// Password is requested from clients in clear text. If empty, none is
	// requested.
	Password string
	// Slots limits the data statements that run concurrently; further ones
	// queue. Group statements and statements that control transactions, settings
	// or the connection take no slot.
	Slots int
	// ServiceTime is the time for which a data statement holds its slot.
	ServiceTime time.Duration
	// MaxConnections limits the open connections. Logins beyond it fail with
	// SQLSTATE 53300. Connections of replicas are not counted.
	MaxConnections int
	// ConnectCost is the delay added to each login.
	ConnectCost time.Duration
	// ReceiveLag and ApplyLag are the times after a commit at which a replica
	// receives and applies it. ReceiveLag is at most ApplyLag.
	ReceiveLag time.Duration
	ApplyLag   time.Duration
	// MaxRecords limits the statement records in memory; 0 means 1 << 18. When
	// it is reached, the older half is dropped, so that the first sequence
	// number is above 1.
	MaxRecords int
	// Listen opens the listener of an address; nil selects TCP.
	Listen func(address string) (net.Listener, error)

	mu               sync.Mutex
	stateChanged     chan struct{} // closed and replaced whenever the state changes
	ctx              context.Context
	cancel           context.CancelFunc
	listener         net.Listener
	address          string
	down             bool
	startCount       int
	incarnation      string
	lastPID          uint32
	slots            chan struct{}
	sessions         map[uint32]*session
	admittedSessions int // sessions that count against MaxConnections
	locks            map[string]*transaction
	advisoryLocks    map[int64]*advisoryLock
	faults           Faults
	member           memberState
	cancelFollowing  context.CancelFunc
	records          []*Record
	lastRecord       uint64
	logins           []Login
	goroutines       sync.WaitGroup
}

// Start listens on the address and serves until Close. It returns the address
// that it is bound to.
func (s *Server) Start(address string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stateChanged != nil {
		return "", errors.Errorf("backend server %s is already started", s.ID)
	}
	s.stateChanged = make(chan struct{})
	if s.Slots > 0 {
		s.slots = make(chan struct{}, s.Slots)
	}
	s.member = memberState{role: RoleReplica, promised: 1, store: newStore(), follows: s.Primary}
	if s.Primary == "" {
		s.member.role, s.member.term, s.member.history = RolePrimary, 1, []TermStart{{1, 0}}
		s.member.lineage = fmt.Sprintf("%s.%d", s.ID, time.Now().UnixNano())
	}
	s.address = address
	err := s.listen()
	return s.address, err
}

// listen binds the address and starts a new incarnation. The caller must hold
// s.mu.
func (s *Server) listen() error {
	listen := s.Listen
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	ln, err := listen(s.address)
	if err != nil {
		return errors.Wrapf(err, "backend server %s: listen", s.ID)
	}
	s.listener, s.address = ln, ln.Addr().String()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.startCount++
	s.incarnation = fmt.Sprintf("%s.%d.%d", s.ID, time.Now().UnixNano(), s.startCount)
	s.down = false
	s.sessions = map[uint32]*session{}
	s.locks = map[string]*transaction{}
	s.advisoryLocks = map[int64]*advisoryLock{}
	s.Group.add(s.address, s)
	s.goroutines.Add(2)
	go func(ctx context.Context) {
		defer s.goroutines.Done()
		s.accept(ctx, ln)
	}(s.ctx)
	go func(ctx context.Context) {
		defer s.goroutines.Done()
		s.applyLog(ctx)
	}(s.ctx)
	s.startFollowing()
	return nil
}

// Close closes all connections and waits for the goroutines of the server.
func (s *Server) Close() error { return s.Kill(true) }

// Kill simulates the death of the server process: the port refuses connections,
// open connections are reset and open transactions are lost. With keepState,
// the log, the term and the promised term survive until Restart.
func (s *Server) Kill(keepState bool) error {
	s.mu.Lock()
	if s.down || s.listener == nil {
		s.mu.Unlock()
		return nil
	}
	s.down = true
	err := s.listener.Close()
	s.stopFollowing()
	s.cancel()
	for _, ss := range s.sessions {
		ss.reset()
	}
	if !keepState {
		s.member = memberState{role: RoleReplica, store: newStore()}
	}
	s.notify()
	s.mu.Unlock()
	s.goroutines.Wait()
	return errors.Wrapf(err, "backend server %s: close listener", s.ID)
}

// Restart starts a killed server on its previous address as a new incarnation.
// It ends a Paused fault, because a process freeze does not outlast the
// process.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		return errors.Errorf("backend server %s is running", s.ID)
	}
	s.faults.Paused = false
	return s.listen()
}

// Address returns the address that the server is bound to.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// SetLag changes ReceiveLag and ApplyLag while the server runs.
func (s *Server) SetLag(receive, apply time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ReceiveLag, s.ApplyLag = receive, apply
	s.notify()
}

// SetServiceTime changes ServiceTime while the server runs.
func (s *Server) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ServiceTime = d
}

func (s *Server) accept(ctx context.Context, ln net.Listener) {
	for ctx.Err() == nil {
		conn, err := ln.Accept()
		if err != nil {
			continue
		}
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			_ = conn.Close()
			return
		}
		s.lastPID++
		ss := newSession(s, conn, s.lastPID)
		s.sessions[ss.pid] = ss
		s.goroutines.Add(1)
		s.mu.Unlock()
		go func() {
			defer s.goroutines.Done()
			ss.serve()
		}()
	}
}

// notify wakes all goroutines that wait for a change of state. The caller must
// hold s.mu.
func (s *Server) notify() {
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

// waitUntil blocks until the condition, which is evaluated with s.mu held, is
// true or the context ends.
func (s *Server) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		s.mu.Lock()
		ok, changed := condition(), s.stateChanged
		s.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Group contains the members of a database group that run in one process.
type Group struct {
	mu        sync.Mutex
	byAddress map[string]*Server
	servers   []*Server
	allocated []string // Addresses that Close releases.
}

// StartGroup starts n members with the IDs name-1 to name-n on loopback. The
// first one is the primary. Configure, if not nil, is called on each member
// before it starts. No other socket gets the address of a member while it is
// down.
func StartGroup(name string, n int, configure func(*Server)) (*Group, error) {
	g := &Group{}
	primary := ""
	for i := range n {
		s := &Server{ID: fmt.Sprintf("%s-%d", name, i+1), Group: g, Primary: primary}
		if configure != nil {
			configure(s)
		}
		address, err := allocator.FreeAddress()
		if err == nil {
			g.allocated = append(g.allocated, address)
			_, err = s.Start(address)
		}
		if err != nil {
			_ = g.Close()
			return nil, err
		}
		if i == 0 {
			primary = address
		}
	}
	return g, nil
}

// Servers returns the members in the order in which they were started.
func (g *Group) Servers() []*Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Server{}, g.servers...)
}

// Close closes all members and returns the first error. The members cannot be
// restarted afterwards.
func (g *Group) Close() error {
	var first error
	for _, s := range g.Servers() {
		if err := s.Close(); err != nil && first == nil {
			first = err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, address := range g.allocated {
		allocator.Release(address)
	}
	g.allocated = nil
	return first
}

func (g *Group) add(address string, s *Server) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byAddress == nil {
		g.byAddress = map[string]*Server{}
	}
	if g.byAddress[address] == nil {
		g.servers = append(g.servers, s)
	}
	g.byAddress[address] = s
}

// serverAt returns the member with the address, or nil if it is not in this
// process.
func (g *Group) serverAt(address string) *Server {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byAddress[address]
}
