package acceptor

import (
	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/identifier"
)

// ErrEvacuated is wrapped by the errors of [Hooks.MayUse].
var ErrEvacuated = errors.New("data centre is evacuated")

// EndEvacuated ends what holds a connection to a backend server to which nothing
// may be sent any more. An open transaction is aborted, a session with state on
// the connection ends, and the connection of a running statement is closed. Such
// a statement runs elsewhere if it can be repeated; otherwise its outcome is
// unknown. The owner calls EndEvacuated repeatedly during an evacuation.
func (a *Acceptor) EndEvacuated() {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return
	}
	a.goroutines.Add(1)
	a.mu.Unlock()
	defer a.goroutines.Done()
	for _, s := range a.listSessions() {
		s.endEvacuated()
	}
}

// endEvacuated wakes the session if it is idle, so that it runs
// releaseEvacuated. Otherwise it interrupts the running statement.
func (s *session) endEvacuated() {
	s.mu.Lock()
	c, server, idle := s.activeConn, s.activeServer, s.idle
	s.mu.Unlock()
	if c == nil || s.mayUse(server, true) == nil {
		return
	}
	if idle {
		s.wake()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeConn != c || s.idle {
		return
	}
	c.MarkCancelled()
	// The connection is closed first: the error that the server sends for a
	// cancelled statement would otherwise reach the client.
	_ = c.Close()
	s.cancelAbandoned(c)
}

// releaseEvacuated gives up the connection that a session keeps between batches
// if nothing may be sent to its server any more. The client learns of the aborted
// transaction from the response to its next statement. It returns a refusal that
// ends the session if state of the session is lost with the connection.
func (s *session) releaseEvacuated() error {
	if s.lease == nil {
		return nil
	}
	err := s.mayUse(s.lease.choice.Server, true)
	if err == nil {
		return nil
	}
	if s.pinned || s.awaitingSync {
		return asFatal(refuser.New(refuser.Evacuated, err.Error()+"; the state of the session is lost"))
	}
	s.abortTransaction(err.Error())
	s.abortCause = refuser.New(refuser.Evacuated, err.Error()+"; the transaction was rolled back")
	return nil
}

// takeAbortCause returns the refusal that tells the client why the proxy aborted
// its transaction, and nil if the client knows already or is rolling back.
func (s *session) takeAbortCause(b *batch) error {
	cause := s.abortCause
	if cause == nil || b.class == classifier.Empty && b.terminator == 'S' {
		return nil
	}
	s.abortCause = nil
	if b.rollsBack {
		return nil
	}
	return cause
}

// checkEvacuation returns an error that wraps [ErrEvacuated] if the batch may not
// be sent on the session's connection.
func (s *session) checkEvacuation(b *batch) error {
	held := s.txStatus != 'I' || s.pinned || s.awaitingSync || s.needsPrimary(b)
	return s.mayUse(s.lease.choice.Server, held)
}

func (s *session) mayUse(server identifier.BackendServerID, held bool) error {
	if s.acceptor.MayUse == nil {
		return nil
	}
	return s.acceptor.MayUse(server, held)
}
