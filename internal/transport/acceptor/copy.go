package acceptor

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/protocol/refuser"
)

// copyBufferSize is the size in bytes of the input buffer during COPY FROM
// STDIN.
const copyBufferSize = 32 << 10

// copyIn forwards the CopyInResponse and then the client's data. An error of
// the server is read only after the data: the server ignores data that follows
// an error.
func (s *session) copyIn(ctx *statementContext, b *batch, e *expectedResponse) error {
	if err := s.forwardKept(b, 0); err != nil {
		return err
	}
	if len(b.held) > 0 {
		if err := s.forwardHeld(b); err != nil {
			return err
		}
	}
	b.awaitWrite()
	if err := ctx.stopWatch(nil); err != nil {
		return err
	}
	s.input.Consume()
	s.input.Size = copyBufferSize
	err := s.forwardCopy(ctx, s.statementTimeout(b.settings))
	s.input.Size = 0
	if err == nil && e.kind == 'E' {
		err = s.forwardCopySync(b)
	}
	if err != nil {
		return err
	}
	return errors.Wrap(s.lease.conn.SetReadDeadline(time.Now().Add(initialReadTimeout)), "set deadline")
}

// forwardCopy forwards CopyData messages up to CopyDone or CopyFail. The limit is
// for the time between two messages, because a COPY may take long.
func (s *session) forwardCopy(ctx *statementContext, limit time.Duration) error {
	c := s.lease.conn
	for done := false; !done; {
		ctx.extendDeadline(time.Now().Add(limit))
		if err := s.conn.SetReadDeadline(ctx.deadline); err != nil {
			return &clientError{errors.Wrap(err, "set deadline")}
		}
		kind, frame, err := s.input.Next()
		if err != nil {
			return &clientError{errors.Wrap(err, "read copy data")}
		}
		switch kind {
		case 'd':
		case 'c', 'f':
			done = true
		case 'S', 'H':
			// The server ignores Sync and Flush in copy mode.
			if s.input.Unread(len(frame)); len(s.input.Retained()) > 0 {
				if err := s.sendCopy(ctx, c); err != nil {
					return err
				}
			}
			_, _, _ = s.input.Next()
			s.input.Consume()
			continue
		default:
			return refuser.New(refuser.Protocol, "unexpected message during COPY")
		}
		if done || !s.input.HasFrame() || len(s.input.Retained()) >= copyBufferSize {
			if err := s.sendCopy(ctx, c); err != nil {
				return err
			}
		}
	}
	return errors.Wrap(s.conn.SetReadDeadline(time.Time{}), "clear deadline")
}

func (s *session) sendCopy(ctx *statementContext, c interface {
	Write([]byte) (int, error)
	SetWriteDeadline(time.Time) error
}) error {
	if err := c.SetWriteDeadline(ctx.deadline); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	if _, err := c.Write(s.input.Retained()); err != nil {
		return s.connectionLost(err)
	}
	s.input.Consume()
	return errors.Wrap(c.SetWriteDeadline(time.Time{}), "clear deadline")
}

// forwardCopySync forwards the Sync that follows a COPY in the extended
// protocol. The server ignored any Sync that was sent before the data.
func (s *session) forwardCopySync(b *batch) error {
	kind, frame, err := s.input.Next()
	if err != nil {
		return &clientError{errors.Wrap(err, "read Sync after COPY")}
	}
	if kind != 'S' || len(frame) != framer.HeaderSize {
		return refuser.New(refuser.Protocol, "expected Sync after COPY")
	}
	if _, err := s.lease.conn.Write(frame); err != nil {
		return s.connectionLost(err)
	}
	s.input.Consume()
	b.terminator = 'S'
	b.expected = append(b.expected[:b.next+1], expectedResponse{kind: 'S'})
	return nil
}
