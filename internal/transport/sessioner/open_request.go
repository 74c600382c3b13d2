package sessioner

import "oleanderpulley/internal/protocol/requester"

// openRequest is a message of the client that was read and not answered yet.
type openRequest struct {
	id    requester.StatementID // Empty for a message that is not a statement.
	state requester.TransactionState
}

// beginRequest records that a message was read, which must be answered.
func (n *session) beginRequest(id requester.StatementID) {
	n.request.Store(&openRequest{id, n.state()})
}

// answer answers the message that was read last.
func (n *session) answer(r requester.Result) error {
	n.request.Store(nil)
	return n.client.Reply(r)
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
