package acceptor

import (
	"bytes"
	"context"
	"encoding/binary"
)

// forwardCancel forwards a CancelRequest to the backend connection that is
// running a statement of the session with this cancel key, if any.
func (a *Acceptor) forwardCancel(key []byte) {
	if len(key) != 8 {
		return
	}
	a.mu.Lock()
	s := a.sessions[binary.BigEndian.Uint32(key)]
	a.mu.Unlock()
	if s != nil && bytes.Equal(s.cancelSecret[:], key[4:]) {
		s.cancelStatement()
	}
}

// cancelStatement sends a cancel request for the session's running statement to
// the backend server. The connection is marked first, so that the pooler does
// not lend it to another session while the cancellation is in progress.
func (s *session) cancelStatement() {
	s.mu.Lock()
	c := s.activeConn
	if c != nil {
		c.MarkCancelled()
	}
	s.mu.Unlock()
	if c == nil {
		return
	}
	err := s.acceptor.Pooler.Cancel(context.Background(), c)
	s.acceptor.Log.Info().Str("event", "cancel_forwarded").Str("workspace", string(s.workspace)).Err(err).Send()
}
