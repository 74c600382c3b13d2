package sessioner

import (
	"sync"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
)

// stoppingText is the reason of refusals and last answers of an instance that stops.
const stoppingText = "the instance is stopping; use another instance"

// errAnswered reports that [Server.AnswerOpenRequests] has answered the request.
var errAnswered = errors.New("the request was answered when the instance stopped")

// openRequest is a message of the client that was read and not answered yet.
type openRequest struct {
	id    requester.StatementID // Empty for a message that is not a statement.
	state requester.TransactionState
}

// beginRequest records that a message was read, which must be answered.
func (n *session) beginRequest(id requester.StatementID) {
	n.request.Store(&openRequest{id, n.state()})
}

// answer answers the message that was read last, unless it was answered meanwhile.
func (n *session) answer(r requester.Result) error {
	if n.takeRequest() == nil {
		return errAnswered
	}
	return n.client.Reply(r)
}

// takeRequest returns the open request, or nil. Whoever gets it answers it.
func (n *session) takeRequest() *openRequest {
	r := n.request.Load()
	if r == nil || !n.request.CompareAndSwap(r, nil) {
		return nil
	}
	return r
}

// OpenRequests returns the number of messages of clients that were read and not
// answered yet.
func (s *Server) OpenRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for n := range s.sessions {
		if n.request.Load() != nil {
			count++
		}
	}
	return count
}

// EndReading makes the server run no further statement, of clients or in transactions of
// peers: those that have arrived are refused at once, and every session ends as soon
// as it has no open request. No session begins any more. The requests that run go on.
func (s *Server) EndReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping.Store(true)
	for n := range s.sessions {
		n.closeNow.Store(true)
		n.client.Interrupt()
	}
}

// AnswerOpenRequests answers the requests that still run with an unknown outcome and closes
// all connections of clients: the process is about to end, and what it has read must be
// answered. Nothing is read any more. It returns the number of requests, and a channel
// that is closed once all connections are.
func (s *Server) AnswerOpenRequests() (count int, done <-chan struct{}) {
	s.ended.Store(true)
	closed := make(chan struct{})
	var tasks sync.WaitGroup
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.sessions {
		r := n.takeRequest()
		if r != nil {
			count++
		}
		tasks.Go(func() { n.end(r) })
	}
	go func() {
		tasks.Wait()
		close(closed)
	}()
	return count, closed
}

// end answers the request, if there is one, and closes the connection.
func (n *session) end(r *openRequest) {
	defer n.client.Close()
	if r == nil {
		return
	}
	state := r.state
	if state == requester.InTransaction {
		state = requester.Failed
	}
	err := n.client.Reply(requester.Result{Code: requester.OutcomeUnknown, Text: stoppingText, State: state})
	n.server.Logger.Info().Str("event", "request_given_up").Str("id", string(r.id)).Str("database", n.database).Str("reason", stoppingText).Err(err).Send()
}

// refuseStopping refuses a statement that would be run while the instance stops, and
// reports whether it does so. A transaction is rolled back.
func (n *session) refuseStopping(st requester.Statement) (requester.Result, bool) {
	switch st.Kind {
	case requester.Set, requester.Prepare, requester.Deallocate, requester.Rollback:
		return requester.Result{}, false
	}
	if n.tx == nil {
		r := n.refusal(requester.Overloaded, stoppingText)
		n.logRefused("statement_refused", st.ID, operation{}, r)
		return r, true
	}
	r := n.fail(st.ID, n.refusal(requester.Aborted, stoppingText))
	if st.Kind == requester.Commit {
		n.tx = nil
		r.State = requester.Idle
	}
	return r, true
}
