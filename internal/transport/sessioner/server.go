package sessioner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"oleanderpulley/internal/coordination/placer"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/lender"
	"oleanderpulley/internal/transport/reporter"
)

// Client is the connection of a client in the form of a protocol. Its function
// fields are set by the package that speaks the protocol.
type Client struct {
	// Startup reads the first message.
	Startup func(deadline time.Time) (requester.Startup, error)
	// Next reads the next statement. It returns [ErrInterrupted] after
	// Interrupt, and [ErrMalformed] for a message that is no statement.
	// A zero deadline is none; a passed one gives os.ErrDeadlineExceeded.
	Next func(deadline time.Time) (requester.Statement, error)
	// Reply answers the message read last.
	Reply func(r requester.Result) error
	// Refuse answers the first message and ends the connection.
	Refuse func(r requester.Result)
	// Interrupt ends a blocked Next. Other tasks may call it.
	Interrupt func()
	// Pending reports whether unread bytes have arrived.
	Pending func() bool
	// Close ends the connection after what was written.
	Close func()
}

// Server holds what the sessions of an instance share. Holder, Lender, Placer
// and Admit are required.
type Server struct {
	Holder   *cataloger.Holder
	Lender   *lender.Lender
	Placer   *placer.Placer
	Registry *reporter.Registry
	Logger   zerolog.Logger

	// Admit takes one operation from the rate of the workspace. It returns
	// the time after which to try again if the rate is used up.
	Admit func(w identifier.WorkspaceName, limit time.Duration) (retryAfter time.Duration, ok bool)
	// AskPeers fetches a position sample that a peer has of the service. Nil
	// asks nobody.
	AskPeers func(service identifier.ServiceName, since time.Time) bool

	// ParseMember reads the row that answers a status question.
	ParseMember func(row string) (requester.Member, error)
	// Need is told each service that needs a primary. Nil is not told.
	Need func(service identifier.ServiceName)

	// Homes returns the peers to forward the statements of a workspace to,
	// the best one first for what only the primary runs, or for reads. None
	// means that they run here.
	Homes func(service identifier.ServiceName, w identifier.WorkspaceName, primary bool) []identifier.InstanceID
	// Forward sends a statement to a peer. [ErrNotForwarded] means that the
	// peer has not seen it.
	Forward func(ctx context.Context, to identifier.InstanceID, f Forward) (Forwarded, error)

	// Draining makes the server refuse statements of peers that begin
	// something new.
	Draining atomic.Bool

	// Activity counts what the server has done.
	Activity Activity

	foreign foreignTransactions

	mu       sync.Mutex
	sessions map[*session]struct{}
	samplers map[identifier.ServiceName]*sampler.Sampler
	searched map[identifier.ServiceName]time.Time // When the last search for a primary ended.

	searches, questions singleflight.Group // By service.
}

// Sampler returns the position samples of a service.
func (s *Server) Sampler(service identifier.ServiceName) *sampler.Sampler {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.samplers == nil {
		s.samplers = map[identifier.ServiceName]*sampler.Sampler{}
	}
	k, ok := s.samplers[service]
	if !ok {
		k = &sampler.Sampler{}
		s.samplers[service] = k
	}
	return k
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Serve runs one session until it ends.
func (s *Server) Serve(c Client) {
	defer c.Close()
	n := &session{server: s, client: c}
	if !n.start() {
		return
	}
	s.add(n)
	defer s.remove(n)
	n.run()
}

func (s *Server) add(n *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions == nil {
		s.sessions = map[*session]struct{}{}
	}
	s.sessions[n] = struct{}{}
}

func (s *Server) remove(n *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, n)
}

// EndIdle closes at most the given number of sessions that are outside of a
// transaction and have no request outstanding, and returns how many sessions
// are left.
func (s *Server) EndIdle(most int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.sessions {
		if most <= 0 {
			break
		}
		if !n.leaving.Swap(true) {
			most--
			n.client.Interrupt()
		}
	}
	return len(s.sessions)
}

// EndTransactions makes every session end whose transaction is open.
func (s *Server) EndTransactions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.sessions {
		n.expired.Store(true)
		n.client.Interrupt()
	}
}
