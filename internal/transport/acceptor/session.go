package acceptor

import (
	crand "crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/pooler"
)

// session serves one client connection. All fields except those below mu belong
// to the goroutine of the session.
type session struct {
	acceptor     *Acceptor
	conn         net.Conn
	input        framer.Reader
	processID    uint32
	cancelSecret [4]byte
	encrypted    bool

	service            identifier.ServiceName
	workspace          identifier.WorkspaceName
	key                identifier.KeyID
	keyHash            string // Hash of the key, because a key ID may be reassigned to a new key.
	openRoute          string // Name of the open route, which allows a session without a key.
	application        string
	startupSettings    [][2]string // Startup parameters to be set on the backend connection.
	settings           settings
	reportedParameters *pooler.Parameters // Values last reported to the client.

	// The floor is unknown at the start of the session and after a write, until
	// a sample whose query was sent after sampleAfter arrives.
	floor            identifier.Position
	floorKnown       bool
	sampleAfter      time.Time
	writeTerm        identifier.Term // Term of the last write without a sample; 0 if there is none.
	hasWritten       bool            // Set by the first write and never reset.
	positionGiven    bool            // The client supplied a position.
	reportedPosition identifier.Position

	lease        *lease // The connection in use; nil between batches unless it is kept.
	leaseStorage lease  // Backing storage for lease, which avoids an allocation.
	pinned       bool
	txStatus     byte                  // 'I', 'T' or 'E', as last reported to the client.
	txAborted    bool                  // The proxy aborted the transaction; only its end is accepted.
	abortCause   *refuser.RefusalError // Why the proxy aborted the transaction between batches; nil once the client was told.
	txWrote      bool                  // The open transaction may have written.
	txHasRecord  bool                  // The open transaction includes a record of a request ID.
	skipToSync   bool                  // After an error, messages are ignored up to the next Sync.
	prepared     map[string]*preparedStatement
	// preparedBytes is the total size of the statements in prepared.
	preparedBytes    int
	unnamedStatement *preparedStatement
	awaitingSync     bool // A Flush was answered and the Sync has not yet arrived.

	mu              sync.Mutex
	idle            bool
	wakeRequested   bool
	started         bool
	activeConn      *pooler.Conn
	activeServer    identifier.BackendServerID // Of activeConn.
	sampledPosition identifier.Position        // Position of the primary sampled after the last write.
}

// assignCancelKey generates a random cancel key whose process ID is not in use.
func (s *session) assignCancelKey(isFree func(uint32) bool) {
	for {
		var b [8]byte
		_, _ = crand.Read(b[:]) // Never returns an error, see crypto/rand.
		s.processID = binary.BigEndian.Uint32(b[:4]) >> 1
		copy(s.cancelSecret[:], b[4:])
		if s.processID != 0 && isFree(s.processID) {
			return
		}
	}
}

func (s *session) run() {
	defer s.acceptor.goroutines.Done()
	defer s.acceptor.removeSession(s)
	defer s.acceptor.sampleWaiters.remove(s)
	s.input.Source = s.conn
	s.sampleAfter = s.acceptor.now()
	err := s.startup()
	if err == nil {
		s.mu.Lock()
		s.started = true
		s.mu.Unlock()
		s.acceptor.Log.Debug().Str("event", "session_open").Str("workspace", string(s.workspace)).
			Str("service", string(s.service)).Str("peer", clientHost(s.conn)).Send()
		err = s.serve()
	}
	s.terminate(err)
}

// terminate sends a fatal refusal, if err is one, and releases the session's
// connections.
func (s *session) terminate(err error) {
	var r *refuser.RefusalError
	switch {
	case errors.As(err, &r):
		_ = s.writeToClient(r.AppendTo(nil))
		s.acceptor.Log.Info().Str("event", "session_refused").Str("workspace", string(s.workspace)).
			Str("state", r.SQLState()).Str("reason", r.Error()).Send()
	case err != nil && !errors.Is(err, errConnectionEnded) && !errors.Is(err, io.EOF):
		s.acceptor.Log.Debug().Str("event", "session_broken").Str("workspace", string(s.workspace)).Err(err).Send()
	}
	if s.lease != nil {
		s.closeLease("session ended")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.conn.Close()
}

// serve handles batches until the connection ends.
func (s *session) serve() error {
	for {
		if err := s.awaitInput(); err != nil {
			return err
		}
		b := getBatch()
		err := s.readBatch(b)
		if err == nil {
			err = s.handleBatch(b)
		}
		putBatch(b)
		if err != nil {
			return err
		}
		s.input.Consume()
	}
}

// awaitInput blocks until the client sends something. It returns an error if
// the session must end.
func (s *session) awaitInput() error {
	for {
		if err := s.checkTermination(); err != nil {
			return err
		}
		if err := s.releaseEvacuated(); err != nil {
			return err
		}
		if err := s.forwardNotices(); err != nil {
			return err
		}
		if s.input.Buffered() > 0 {
			return nil
		}
		if !s.enterIdle() {
			continue
		}
		stop := s.watchNotices()
		_, _, err := s.input.Peek()
		stop()
		woken := s.leaveIdle()
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return s.inputError(err)
		}
		if !woken && s.txStatus != 'I' {
			return refuser.New(refuser.IdleTransaction, "")
		}
	}
}

// checkTermination returns a refusal that ends the session if its key was
// withdrawn, or if the instance is draining and no transaction is open or the drain
// is about to end.
func (s *session) checkTermination() error {
	if v, err := s.acceptor.View(); err == nil && s.accessRevoked(v) {
		s.acceptor.Log.Info().Str("event", "key_withdrawn").Str("workspace", string(s.workspace)).Send()
		return refuser.New(refuser.KeyWithdrawn, "")
	}
	if s.acceptor.isEnding() || s.txStatus == 'I' && s.acceptor.isDraining() {
		return refuser.New(refuser.Draining, "")
	}
	return nil
}

// enterIdle returns false if a wake-up is pending and must be handled first.
func (s *session) enterIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wakeRequested {
		s.wakeRequested = false
		return false
	}
	s.idle = true
	if s.txStatus != 'I' {
		_ = s.conn.SetReadDeadline(time.Now().Add(orDefault(s.acceptor.TransactionIdle, defaultTransactionIdle)))
	}
	return true
}

// leaveIdle reports whether the session was woken while idle.
func (s *session) leaveIdle() bool {
	s.mu.Lock()
	s.idle = false
	woken := s.wakeRequested
	s.wakeRequested = false
	s.mu.Unlock()
	if woken || s.txStatus != 'I' {
		_ = s.conn.SetReadDeadline(time.Time{})
	}
	return woken
}

// wake interrupts the wait for input if the session is idle, so that it runs
// checkTermination and forwards notices.
func (s *session) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		return
	}
	s.wakeRequested = true
	if s.idle {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// closeActiveConn interrupts the running statement when the acceptor closes.
func (s *session) closeActiveConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeConn != nil {
		_ = s.activeConn.Close()
	}
}

// writeToClient writes with a deadline. Without it, a client that does not read
// could occupy a backend connection forever.
func (s *session) writeToClient(b []byte) error {
	limit := orDefault(s.acceptor.WriteTimeout, defaultWriteTimeout)
	if err := s.conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return &clientError{errors.Wrap(err, "set write deadline")}
	}
	if _, err := s.conn.Write(b); err != nil {
		return &clientError{errors.Wrap(err, "write to client")}
	}
	return nil
}

// clientError is a failure of the client connection. No response can be sent
// after it.
type clientError struct{ error }

func (e *clientError) Unwrap() error { return e.error }

// inputError converts protocol violations found while reading frames to
// refusals.
func (s *session) inputError(err error) error {
	switch {
	case errors.Is(err, framer.ErrTooLarge):
		return refuser.New(refuser.TooLarge, "")
	case errors.Is(err, framer.ErrLength):
		return refuser.New(refuser.Protocol, err.Error())
	}
	return err
}

// currentView returns the current configuration after verifying that the
// session still has access.
func (s *session) currentView() (configurer.View, error) {
	v, err := s.acceptor.View()
	if err != nil {
		return v, refuser.From(err)
	}
	if s.accessRevoked(v) {
		return v, refuser.New(refuser.KeyWithdrawn, "")
	}
	return v, nil
}
