package acceptor

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/protocol/refuser"
)

const (
	// initialReadTimeout is how long a response is awaited before the client's
	// connection is watched for disconnection, which costs a goroutine.
	initialReadTimeout = 20 * time.Millisecond
	// minStreamedRow is the size in bytes above which a row is forwarded in
	// parts instead of being buffered whole.
	minStreamedRow = 16 << 10
	// maxHeldBytes limits how much of the response to a write is withheld.
	maxHeldBytes = 1 << 20
)

// relayResponse forwards the response until all expected responses of the batch
// have arrived.
func (s *session) relayResponse(ctx *statementContext, b *batch) error {
	defer b.awaitWrite()
	c := s.lease.conn
	// The response to a batch that may commit is withheld until the check at
	// its end.
	wrote := b.class == classifier.Write || s.awaitingSync && s.txWrote
	b.confirmsWrite = b.onPrimary && (wrote && s.txStatus == 'I' || b.endsTx)
	for b.next < len(b.expected) {
		e := &b.expected[b.next]
		if e.synthetic != nil || b.skipToSync && e.kind != 'S' && e.kind != 'Q' {
			if err := s.completeWithoutServer(b, e); err != nil {
				return err
			}
			continue
		}
		if !c.Reader.HasFrame() {
			streamed, err := s.fillFrame(ctx, b)
			if err != nil {
				return err
			}
			if streamed {
				continue
			}
		}
		kind, frame, err := c.Reader.Next()
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if err := s.handleFrame(ctx, b, e, kind, frame); err != nil {
			return err
		}
	}
	return s.completeResponse(ctx, b)
}

// completeWithoutServer handles an expected response that the server does not
// send.
func (s *session) completeWithoutServer(b *batch, e *expectedResponse) error {
	b.next++
	if b.skipToSync {
		s.removeUnprepared(e)
		return nil
	}
	if e.role != roleForward || b.discardRest {
		return nil
	}
	if err := s.forwardKept(b, 0); err != nil {
		return err
	}
	return s.forwardOrHold(b, e.synthetic)
}

// removeUnprepared removes a statement that the server did not prepare from the
// session and from the connection.
func (s *session) removeUnprepared(e *expectedResponse) {
	if e.kind != 'P' || e.stmt == nil {
		return
	}
	delete(s.lease.conn.Prepared, e.stmt.key)
	if s.unnamedStatement == e.stmt {
		s.unnamedStatement = nil
	}
	for name, p := range s.prepared {
		if p == e.stmt && e.role == roleForward {
			s.removeStatement(name)
		}
	}
}

// fillFrame reads until the next frame is complete. A large row is forwarded in
// parts as it arrives instead, and fillFrame returns true.
func (s *session) fillFrame(ctx *statementContext, b *batch) (bool, error) {
	if err := s.forwardKept(b, 0); err != nil {
		return false, err
	}
	r := &s.lease.conn.Reader
	for r.Buffered() < framer.HeaderSize {
		if err := s.readMore(ctx, b, framer.HeaderSize); err != nil {
			return false, err
		}
	}
	kind, size, err := r.Peek()
	if err != nil {
		return false, errors.Wrap(err, "read answer")
	}
	e := &b.expected[b.next]
	if (kind == 'D' || kind == 'd') && size > minStreamedRow && e.role == roleForward && !b.discardRest {
		if _, allowed := e.classifyFrame(kind, nil); !allowed {
			return false, errors.Wrapf(errUnexpectedResponse, "type %q", kind)
		}
		return true, s.streamFrame(ctx, b, size)
	}
	for r.Buffered() < size {
		if err := s.readMore(ctx, b, size); err != nil {
			return false, err
		}
	}
	return false, nil
}

// streamFrame forwards a frame of size bytes in parts.
func (s *session) streamFrame(ctx *statementContext, b *batch, size int) error {
	r := &s.lease.conn.Reader
	for size > 0 {
		if r.Buffered() == 0 {
			if err := s.readMore(ctx, b, 0); err != nil {
				return err
			}
		}
		size -= len(r.TakeBytes(size))
		if err := s.forwardKept(b, 0); err != nil {
			return err
		}
	}
	return nil
}

// readMore reads once from the backend server. After initialReadTimeout it also
// watches the client's connection.
func (s *session) readMore(ctx *statementContext, b *batch, size int) error {
	c := s.lease.conn
	for {
		err := c.Reader.FillFor(size)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return s.connectionLost(err)
		}
		if cause := ctx.Err(); errors.Is(cause, errClientDisconnected) {
			return &clientError{cause}
		} else if cause != nil {
			return errors.Wrap(cause, "no answer in time")
		}
		next := ctx.deadline
		if !b.writeFinished() {
			// The batch is still being sent from the input buffer, which a
			// watch would modify.
			next = time.Now().Add(initialReadTimeout)
		}
		if err := c.SetReadDeadline(next); err != nil {
			return errors.Wrap(err, "set deadline")
		}
		if b.writeFinished() {
			ctx.watchWhileReading(c)
		}
	}
}

// connectionLost logs the cause, which includes addresses, and returns an error
// that may be sent to the client.
func (s *session) connectionLost(cause error) error {
	s.acceptor.Log.Info().Str("event", "backend_connection_lost").Str("workspace", string(s.workspace)).
		Str("server", string(s.lease.choice.Server)).Err(cause).Send()
	return errConnectionLost
}

// handleFrame handles one frame of the response.
func (s *session) handleFrame(ctx *statementContext, b *batch, e *expectedResponse, kind byte, frame []byte) error {
	c := s.lease.conn
	if b.confirmsWrite && (kind == 'C' || kind == 's') && !b.holding && e.role == roleForward {
		if err := s.forwardKept(b, len(frame)); err != nil {
			return err
		}
		b.holding = true
	}
	if kind == 'Z' {
		if len(frame) != framer.HeaderSize+1 {
			return errors.Wrap(errUnexpectedResponse, "malformed ReadyForQuery")
		}
		c.Status = frame[framer.HeaderSize]
	}
	switch {
	case framer.IsAsynchronous(kind):
		return nil
	case kind == 'E':
		return s.handleErrorResponse(b, e, frame)
	case kind == 'G':
		if _, allowed := e.classifyFrame(kind, frame); !allowed || e.role != roleForward {
			return errors.Wrapf(errUnexpectedResponse, "type %q", kind)
		}
		return s.copyIn(ctx, b, e)
	}
	return s.advanceExpected(b, e, kind, frame)
}

// advanceExpected checks that the frame belongs to the expected response, and
// advances to the next one if this frame completes it.
func (s *session) advanceExpected(b *batch, e *expectedResponse, kind byte, frame []byte) error {
	ends, allowed := e.classifyFrame(kind, frame)
	if !allowed {
		return errors.Wrapf(errUnexpectedResponse, "type %q", kind)
	}
	if ends {
		b.next++
		b.skipToSync = b.skipToSync && kind != 'Z'
	}
	last := b.next == len(b.expected)
	if kind == 'Z' && last {
		return nil
	}
	// The client must receive only the last ReadyForQuery of a batch.
	if kind == 'Z' || e.role != roleForward || b.discardRest && !last {
		return s.discardFrame(b, len(frame))
	}
	return nil
}

// handleErrorResponse handles an ErrorResponse from the server.
func (s *session) handleErrorResponse(b *batch, e *expectedResponse, frame []byte) error {
	state := framer.ErrorField(frame, 'C')
	if framer.IsFatal(frame) {
		return errors.Errorf("backend server ended the connection: %s", state)
	}
	if state == sqlStateReadOnly && !b.onPrimary && !b.forwarded && s.txStatus == 'I' && s.openRoute == "" && !s.awaitingSync && b.isIdempotent() {
		return errRefusedByReplica
	}
	if !e.mayFail() || e.kind == 'S' && b.skipToSync {
		return errors.Wrapf(errUnexpectedResponse, "second outcome %s", state)
	}
	e.failed = true
	if e.kind != 'Q' && e.kind != 'S' {
		b.skipToSync = true
		s.removeUnprepared(e)
		b.next++
	}
	switch {
	case b.discardRest:
		return s.discardFrame(b, len(frame))
	case e.role == rolePrelude:
		if b.recordRequest && state == sqlStateUniqueViolation {
			b.refusal = refuser.New(refuser.AlreadyRun, "")
		}
		b.errorFrame = append([]byte(nil), frame...)
		b.discardRest = true
		return s.discardFrame(b, len(frame))
	case e.role == rolePostlude:
		b.errorFrame = append([]byte(nil), frame...)
		b.discardRest = true
		return s.discardFrame(b, len(frame))
	}
	b.errorForwarded = true
	return nil
}

const (
	sqlStateReadOnly        = "25006"
	sqlStateUniqueViolation = "23505"
)
