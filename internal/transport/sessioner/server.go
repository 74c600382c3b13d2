package sessioner

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"oleanderpulley/internal/coordination/balancer"
	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/lender"
	"oleanderpulley/internal/transport/reporter"
)

// Client is a client connection, independent of the wire protocol. The package
// that implements the protocol sets the function fields.
type Client struct {
	// Startup reads the startup message, the first one of a connection.
	Startup func(deadline time.Time) (requester.Startup, error)
	// Next reads the next statement. It returns [ErrInterrupted] after
	// Interrupt, and [ErrMalformed] for a message that is not a statement.
	// A zero deadline means no deadline. After the deadline it returns
	// [os.ErrDeadlineExceeded].
	Next func(deadline time.Time) (requester.Statement, error)
	// Reply sends the result of the message that was read last.
	Reply func(r requester.Result) error
	// Refuse sends a refusal of the startup message and ends the connection.
	Refuse func(r requester.Result)
	// Interrupt makes a blocked Next return. It is safe to call from other
	// goroutines.
	Interrupt func()
	// Pending reports whether bytes have arrived that were not read yet.
	Pending func() bool
	// Gone reports whether the client has closed the connection, without reading
	// from it. It is safe to call from other goroutines. Nil means never.
	Gone func() bool
	// Close closes the connection once all written bytes were sent.
	Close func()
}

// Server holds the state that all sessions of an instance share. Holder,
// Fencer, Lender, Balancer and Admit are required.
type Server struct {
	Holder   *cataloger.Holder
	Fencer   *fencer.Fencer
	Lender   *lender.Lender
	Balancer *balancer.Balancer
	Registry *reporter.Registry
	Logger   zerolog.Logger

	// Regions has the region of each data centre, and Region is that of this
	// instance. They are required only if routes or workspaces are limited to
	// regions.
	Regions map[identifier.DataCentre]identifier.Region
	Region  identifier.Region

	// Admit charges one operation to the rate limit of the workspace, waiting
	// for at most limit. It refuses the operation with a
	// [*ratelimiter.RefusalError].
	Admit func(w identifier.WorkspaceName, limit time.Duration) error
	// FetchPeerSample fetches position samples of the service from the peers, until one
	// was taken at the clock reading since or later. If it is nil, peers are not
	// queried.
	FetchPeerSample func(service identifier.ServiceName, since time.Duration)

	// ParseServerStatus parses the row that a backend server returns for a
	// status query.
	ParseServerStatus func(row string) (requester.ServerStatus, error)
	// WatchPrimary is called with each service that clients use here, so that
	// its primary is monitored. It may be nil.
	WatchPrimary func(service identifier.ServiceName)

	// Homes returns the peers to forward the statements of a workspace to, in
	// order of preference. The order depends on whether the statement needs
	// the primary. If there are none, the statements run on this instance.
	Homes func(service identifier.ServiceName, w identifier.WorkspaceName, primary bool) []identifier.InstanceID
	// OpenLinks starts to open the link to the home that most statements of a
	// workspace use, ahead of the first statement. It may be nil.
	OpenLinks func(service identifier.ServiceName, w identifier.WorkspaceName)
	// RunsHere reports whether this instance may connect to the servers of the
	// service. If it may not, statements that no home takes are refused. Nil
	// means always.
	RunsHere func(service identifier.ServiceName) bool
	// Forward sends a statement to a peer and returns the reply. It returns
	// [ErrNotForwarded] if the statement did not reach the peer.
	Forward func(ctx context.Context, to identifier.InstanceID, f ForwardRequest) (ForwardReply, error)

	// Draining makes the server refuse forwarded statements, except those of
	// transactions that are already open.
	Draining atomic.Bool

	// Activity counts the statements of this server's sessions.
	Activity Activity

	stopping atomic.Bool // See EndReading.
	ended    atomic.Bool // See AnswerOpenRequests.

	forwarded        forwardedTransactions
	forwardedRunning atomic.Int64 // Statements of peers outside transactions that run.

	mu       sync.Mutex
	sessions map[*session]struct{}
	samplers map[identifier.ServiceName]*sampler.Sampler

	leaderLogs leaderLogs

	searchEnds, peerFetchEnds        serviceTimes       // When the last search for the primary, or request to peers, ended.
	lostLogLines                     serviceTimes       // When the last line about a lost log was written.
	searches, refreshes, peerFetches singleflight.Group // Keyed by service.
}

// Sampler returns the position samples of a service, creating the sampler on
// first use.
func (s *Server) Sampler(service identifier.ServiceName) *sampler.Sampler {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.samplers == nil {
		s.samplers = map[identifier.ServiceName]*sampler.Sampler{}
	}
	samples, ok := s.samplers[service]
	if !ok {
		samples = &sampler.Sampler{}
		s.samplers[service] = samples
	}
	return samples
}

// Sessions returns the number of open sessions, including those that begin or end.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Serve serves the session of a client until the session ends. A panic ends this
// session alone.
func (s *Server) Serve(c Client) {
	n := &session{server: s, client: c}
	isAdded := s.add(n)
	defer s.remove(n) // After Close, so that no connection is open once there are no sessions.
	defer c.Close()
	defer s.recoverSession()
	if !isAdded || !n.start() {
		return
	}
	n.started.Store(true)
	n.serveStatements()
}

// recoverSession logs and counts a panic of a session.
func (s *Server) recoverSession() {
	if p := recover(); p != nil {
		s.Activity.Panics.Add(1)
		s.Logger.Error().Str("event", "session_panicked").Interface("panic", p).Bytes("stack", debug.Stack()).Send()
	}
}

// add adds a session and reports whether it may begin.
func (s *Server) add(n *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		return false
	}
	if s.sessions == nil {
		s.sessions = map[*session]struct{}{}
	}
	s.sessions[n] = struct{}{}
	return true
}

func (s *Server) remove(n *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, n)
}

// EndIdle marks at most the given number of sessions to close as soon as they
// have no open transaction and no outstanding request. It returns the number of
// open sessions.
func (s *Server) EndIdle(most int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.sessions {
		if most <= 0 {
			break
		}
		if n.started.Load() && !n.closeWhenIdle.Swap(true) {
			most--
			n.client.Interrupt()
		}
	}
	return len(s.sessions)
}

// EndTransactions makes every session close as soon as it has no outstanding request,
// even with an open transaction.
func (s *Server) EndTransactions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.sessions {
		if !n.started.Load() {
			continue // Its startup message is answered first.
		}
		n.closeNow.Store(true)
		n.client.Interrupt()
	}
}
