package acceptor

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// sendBatch checks the write right and whether the server may be used, and sends
// the batch.
func (s *session) sendBatch(ctx *statementContext, b *batch) error {
	l := s.lease
	if err := s.checkEvacuation(b); err != nil {
		return err
	}
	if l.choice.Primary && !s.holdsWriteRight(s.lease.choice.Term) {
		return errNoWriteRight
	}
	out := s.buildRequest(b, l.conn)
	if len(out) == 0 {
		return nil
	}
	wait := time.Now().Add(initialReadTimeout)
	if wait.After(ctx.deadline) {
		wait = ctx.deadline
	}
	if err := l.conn.SetReadDeadline(wait); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	l.conn.Status = 0
	b.sent = true
	if len(out) < concurrentSendSize {
		if _, err := l.conn.Write(out); err != nil {
			return s.connectionLost(err)
		}
		return nil
	}
	return s.sendConcurrently(ctx, b, out)
}

// sendConcurrently sends the batch on its own goroutine while the response is
// read.
func (s *session) sendConcurrently(ctx *statementContext, b *batch, out []byte) error {
	c := s.lease.conn
	if err := c.SetWriteDeadline(ctx.deadline); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	written := make(chan struct{})
	b.writeDone = written
	go func() {
		defer close(written)
		if _, err := c.Write(out); err != nil {
			// The goroutine that reads the response detects the closed
			// connection.
			_ = c.Close()
			return
		}
		_ = c.SetWriteDeadline(time.Time{})
	}()
	return nil
}

func (s *session) holdsWriteRight(term identifier.Term) bool {
	return s.acceptor.HoldsWriteRight != nil && s.acceptor.HoldsWriteRight(s.service, term)
}
